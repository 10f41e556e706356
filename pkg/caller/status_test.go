package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/query"
)

// startRawNode returns the address of a node that sends the same bytes to all requests, and
// then repeats unit, if it is not empty, until the connection closes. It adds to sent.
func startRawNode(t *testing.T, start, unit string, sent *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go sendRaw(c, start, unit, sent)
		}
	}()
	return listener.Addr().String()
}

// sendRaw serves a connection until the client closes it.
func sendRaw(c net.Conn, start, unit string, sent *atomic.Int64) {
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, err = io.WriteString(c, start)
	for err == nil && unit != "" {
		var n int
		n, err = io.WriteString(c, strings.Repeat(unit, 1000))
		sent.Add(int64(n))
	}
	_, _ = c.Read(make([]byte, 1))
}

// invalidStatusLines are first lines of responses that net/http accepts.
var invalidStatusLines = []string{
	"HTTP/1.1 000 X", "HTTP/1.0 000 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 +20 X", "HTTP/1.1 -00 X",
	"HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x",
}

// TestInvalidStatusIsNoAnswer guards against a node, or what answers at its address, whose
// response has an answer but no valid status: the answer is not taken, and the call ends in
// time also if the response switches protocols.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const body = `{"status": "notRun", "addresses": ["127.0.0.1:1"], "tickets": ["t"]}`
	for _, line := range invalidStatusLines {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			address := startRawNode(t, line+"\r\nContent-Length: 68\r\n\r\n"+body, "", nil)
			c := New(Config{Seeds: []string{address}})
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			done := make(chan struct{})
			go func() {
				defer close(done)
				if a, err := c.Query(ctx, query.Request{Kind: "order"}); err == nil {
					t.Errorf("accepted the answer %+v", a)
				}
				if tickets, err := c.Tickets(ctx, 1); err == nil {
					t.Errorf("accepted the tickets %v", tickets)
				}
			}()
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Error("the call did not end at its deadline")
			}
		})
	}
}

// TestEndlessInterimResponsesAreGivenUp guards against a node that sends interim responses
// without end: the client reads little of them.
func TestEndlessInterimResponsesAreGivenUp(t *testing.T) {
	var sent atomic.Int64
	address := startRawNode(t, "", "HTTP/1.1 103 Early Hints\r\n\r\n", &sent)
	c := New(Config{Seeds: []string{address}})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if a, err := c.send(ctx, address, query.Request{Kind: "order"}); err == nil {
		t.Errorf("accepted the answer %+v", a)
	}
	if ctx.Err() != nil {
		t.Error("the response was given up by time alone")
	}
	// What the sockets hold comes in addition to what is read.
	if got := sent.Load(); got > 8<<20 {
		t.Errorf("%d bytes were sent", got)
	}
}
