package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestInvalidStatusOfANodeIsAnError guards against a node, or what answers at its address,
// whose response has valid JSON but no valid status, and against one that sends interim
// responses without end: no command takes them for the node's state.
func TestInvalidStatusOfANodeIsAnError(t *testing.T) {
	const body = `{"vm": "vm-1"}`
	for _, line := range []string{"HTTP/1.1 000 X", "HTTP/1.0 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 +20 X", "HTTP/1.1 101 X"} {
		t.Run(line, func(t *testing.T) {
			server := newRawServer(t, fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body), "")
			if code, out := runMain("status", "-nodes", strings.TrimPrefix(server.URL, "http://")); code == exitDone {
				t.Errorf("exit code %d: %s", code, out)
			}
		})
	}
	t.Run("interim", func(t *testing.T) {
		server := newRawServer(t, "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000))
		if code, out := runMain("status", "-nodes", strings.TrimPrefix(server.URL, "http://")); code == exitDone {
			t.Errorf("exit code %d: %s", code, out)
		}
	})
}

// newRawServer returns a server that sends the text to all requests, and then the repeated
// one, if it is not empty, until the connection closes.
func newRawServer(t *testing.T, text, repeated string) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		_, err = io.WriteString(c, text)
		for err == nil && repeated != "" {
			_, err = io.WriteString(c, repeated)
		}
	}))
	t.Cleanup(server.Close)
	return server
}
