package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/timer"
	"github.com/bronzereach/bronzereach/internal/wire"
)

// stallingListener accepts connections whose writes block while it is stalled.
type stallingListener struct {
	net.Listener
	mu sync.RWMutex
}

func (l *stallingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &stallingConn{Conn: conn, listener: l}, err
}

// stall blocks the writes of all connections; it returns the function that ends
// this.
func (l *stallingListener) stall() (resume func()) {
	l.mu.Lock()
	return l.mu.Unlock
}

type stallingConn struct {
	net.Conn
	listener *stallingListener
}

func (c *stallingConn) Write(b []byte) (int, error) {
	c.listener.mu.RLock()
	defer c.listener.mu.RUnlock()
	return c.Conn.Write(b)
}

// stallingHandler sends three replies over a connection that blocks until the
// first of them has failed, and records the errors.
type stallingHandler struct {
	listener *stallingListener
	errors   chan error
}

func (h *stallingHandler) Handle(_ context.Context, _ *wire.Call, send func(*wire.Reply) error) {
	resume := h.listener.stall()
	h.errors <- send(&wire.Reply{})
	resume()
	h.errors <- send(&wire.Reply{})
	h.errors <- send(&wire.Reply{})
}

// TestNothingIsSentAfterAFailedReply: once a reply could not be sent in time, the
// later replies of the same call fail too. The stream would report the late result
// of the first one for them and reuse a header that is still being sent.
func TestNothingIsSentAfterAFailedReply(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stalling := &stallingListener{Listener: listener}
	handler := &stallingHandler{listener: stalling, errors: make(chan error, 3)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := NewNetwork(testConfig("vm-1", handler))
	go func() { _ = server.Serve(ctx, stalling) }()
	stream, err := NewNetwork(testConfig("vm-2", nil)).Call(ctx, "vm-1", listener.Addr().String(), &wire.Call{})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for i := range 3 {
		select {
		case err := <-handler.errors:
			if err == nil {
				t.Errorf("reply %d counts as sent", i)
			}
		case <-time.After(4 * writeTimeout):
			t.Fatalf("reply %d neither sent nor failed", i)
		}
	}
}

// TestSilentLinkIsNotConfirmed: a member whose link has gone silent is reported as
// unreachable in time, and a new link to it is confirmed.
func TestSilentLinkIsNotConfirmed(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stalling := &stallingListener{Listener: listener}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = NewNetwork(testConfig("vm-1", panickingHandler{})).Serve(ctx, stalling) }()
	caller := NewNetwork(testConfig("vm-2", nil))
	if err := caller.Confirm(ctx, "vm-1", listener.Addr().String()); err != nil {
		t.Fatalf("a link that answers is not confirmed: %v", err)
	}
	resume := stalling.stall()
	started := time.Now()
	if err := caller.Confirm(ctx, "vm-1", listener.Addr().String()); !errors.Is(err, ErrUnreachable) {
		t.Errorf("a silent link was confirmed: %v", err)
	}
	if took := time.Since(started); took > 2*livenessTimeout {
		t.Errorf("it took %v to tell", took)
	}
	resume()
	if err := caller.Confirm(ctx, "vm-1", listener.Addr().String()); err != nil {
		t.Errorf("the new link is not confirmed: %v", err)
	}
}

func testConfig(vm string, handler Handler) Config {
	return Config{VM: vm, Process: 1, Clock: &timeline.Clock{}, Timers: timer.NewService(), Handler: handler, Log: logr.Discard()}
}

// panickingHandler fails on a probe and answers any other call.
type panickingHandler struct{}

func (panickingHandler) Handle(_ context.Context, call *wire.Call, send func(*wire.Reply) error) {
	if call.GetProbe() != nil {
		panic("unexpected message")
	}
	_ = send(&wire.Reply{})
}

// TestUnexpectedMessageEndsOnlyItsCall: a message that makes the handler panic ends
// its own call; the process and the link go on.
func TestUnexpectedMessageEndsOnlyItsCall(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := NewNetwork(testConfig("vm-1", panickingHandler{}))
	go func() { _ = server.Serve(ctx, listener) }()
	caller := NewNetwork(testConfig("vm-2", nil))
	for range 3 {
		probe := &wire.Call{Body: &wire.Call_Probe{Probe: &wire.Probe{}}}
		if _, err := caller.CallUnary(ctx, "vm-1", listener.Addr().String(), probe); err == nil {
			t.Error("the unexpected message was answered")
		}
		if _, err := caller.CallUnary(ctx, "vm-1", listener.Addr().String(), &wire.Call{}); err != nil {
			t.Errorf("the next call failed: %v", err)
		}
	}
}
