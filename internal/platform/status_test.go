package platform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestInvalidStatusIsNoResponse guards against a platform, or what answers in its place, whose
// response has no valid status: the outcome of the call is unknown, and the call ends in time
// also if the response switches protocols and then says nothing.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 X", "HTTP/1.0 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 +20 X", "HTTP/1.1 -00 X",
		"HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x",
	} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				_, _ = io.WriteString(c, line+"\r\n"+VersionHeader+": 7\r\nContent-Length: 2\r\n\r\n[]")
				_, _ = c.Read(make([]byte, 1))
			}))
			t.Cleanup(server.CloseClientConnections)
			c := NewClient(Config{URL: server.URL})
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			done := make(chan error, 3)
			go func() {
				_, err := c.Get(ctx, "k")
				done <- err
				_, err = c.Put(ctx, "k", []byte("v"), 6)
				done <- err
				_, err = c.ListVMs(ctx)
				done <- err
			}()
			for range cap(done) {
				select {
				case err := <-done:
					if !errors.Is(err, ErrUnavailable) {
						t.Errorf("%v, want ErrUnavailable", err)
					}
				case <-time.After(4 * time.Second):
					t.Fatal("a call did not end at its deadline")
				}
			}
		})
	}
}
