package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// newInvalidStatusServer returns an upstream that is healthy by its state. Its reply to a
// query begins with the line, and says that it shed the request. If it is endless, it sends
// the line again and again instead, until the connection closes. It counts the queries.
func newInvalidStatusServer(t *testing.T, line string, endless bool, queries *atomic.Int64) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{"incarnation": "1", "healthy": true}`)
			return
		}
		queries.Add(1)
		var request upstream.Request
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			t.Error(err)
			return
		}
		end := 0
		body, err := json.Marshal(upstream.Reply{
			RequestID: request.RequestID, Attempt: request.Attempt, Shard: request.Shard,
			Version: request.Version, Outcome: upstream.Shed, End: &end,
		})
		if err != nil {
			t.Error(err)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		if !endless {
			_, _ = fmt.Fprintf(c, "%s\r\nRetry-After: 60\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body)
		}
		for err == nil && endless {
			_, err = io.WriteString(c, line)
		}
		_, _ = c.Read(make([]byte, 1))
	}))
	t.Cleanup(server.Close)
	return server
}

// TestInvalidStatusIsNoReply guards against an upstream whose reply has no valid status: a
// gate does not take it, nor its statement that it shed the request, so that the request is
// not said not to have run. Interim replies without an end are given up by their length.
func TestInvalidStatusIsNoReply(t *testing.T) {
	for name, line := range map[string]string{
		"zero":        "HTTP/1.1 000 X",
		"zero10":      "HTTP/1.0 000 X",
		"leadingZero": "HTTP/1.1 099 X",
		"600":         "HTTP/1.1 600 X",
		"plus":        "HTTP/1.1 +20 X",
		"twoDigits":   "HTTP/1.1 20 X",
		"switching":   "HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x",
		"interim":     strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			var queries atomic.Int64
			var addresses []string
			for range 2 {
				server := newInvalidStatusServer(t, line, name == "interim", &queries)
				addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
			}
			g := startGatesOf(t, "vm-1", addresses[0], addresses[1])
			g.Acquire(context.Background(), "orders", nil)
			start := time.Now()
			reply := serveRequest(g, "1")
			if queries.Load() == 0 {
				t.Fatal("no query arrived")
			}
			if reply.GetRun() != wire.RunStatus_RUN_STATUS_UNKNOWN {
				t.Errorf("run status %s, reason %s", reply.GetRun(), reply.GetReason())
			}
			if took := time.Since(start); took > 3*time.Second {
				t.Errorf("the request ended after %s", took)
			}
		})
	}
}
