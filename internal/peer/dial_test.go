package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/wire"
)

// silentListener accepts connections and reads what arrives on them, but sends nothing
// until answer is called. It then serves them as a network would.
type silentListener struct {
	net.Listener
	answered chan struct{}
}

func listenSilently(t *testing.T) *silentListener {
	t.Helper()
	return listenFor(t, echoHandler{})
}

func listenFor(t *testing.T, handler Handler) *silentListener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &silentListener{Listener: listener, answered: make(chan struct{})}
	server := NewNetwork(testConfig("vm-1", handler))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, l) }()
	return l
}

func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: conn, listener: l}, nil
}

func (l *silentListener) answer() { close(l.answered) }

type silentConn struct {
	net.Conn
	listener *silentListener
}

func (c *silentConn) Write(b []byte) (int, error) {
	<-c.listener.answered
	return c.Conn.Write(b)
}

// echoHandler answers each call with an empty reply.
type echoHandler struct{}

func (echoHandler) Handle(_ context.Context, _ *wire.Call, send func(*wire.Reply) error) {
	_ = send(&wire.Reply{})
}

// TestCallEndsInTimeWhileTheDialHangs: a call to a member that accepts connections and
// stays silent took the whole handshakeTimeout, whatever time the call had. So a cut-off
// gate was suspected, and replaced, seconds late.
func TestCallEndsInTimeWhileTheDialHangs(t *testing.T) {
	const timeout = 100 * time.Millisecond
	listener := listenSilently(t)
	defer listener.answer()
	network := NewNetwork(testConfig("vm-2", nil))
	var calls sync.WaitGroup
	// The first call dials, the second one waits for its dial.
	for range 2 {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			started := time.Now()
			_, err := network.CallUnary(ctx, "vm-1", listener.Addr().String(), &wire.Call{})
			if !errors.Is(err, ErrUnreachable) {
				t.Errorf("got error %v, want ErrUnreachable", err)
			}
			if took := time.Since(started); took > handshakeTimeout/2 {
				t.Errorf("a call with a timeout of %v took %v", timeout, took)
			}
		})
	}
	calls.Wait()
}

// TestDialOutlivesTheCallThatStartedIt: a call with more time uses the dial of one whose
// time is over.
func TestDialOutlivesTheCallThatStartedIt(t *testing.T) {
	listener := listenSilently(t)
	network := NewNetwork(testConfig("vm-2", nil))
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := network.CallUnary(short, "vm-1", listener.Addr().String(), &wire.Call{}); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("got error %v, want ErrUnreachable", err)
	}
	listener.answer()
	if _, err := network.CallUnary(t.Context(), "vm-1", listener.Addr().String(), &wire.Call{}); err != nil {
		t.Error(err)
	}
	network.mu.Lock()
	defer network.mu.Unlock()
	if open := len(network.openLinks); open != 1 {
		t.Errorf("%d open links, want the one that the first call dialled", open)
	}
}

// TestSilentDialIsNotConfirmed: an order waited the whole handshakeTimeout for a gate
// that was cut off, although another one had been assigned.
func TestSilentDialIsNotConfirmed(t *testing.T) {
	listener := listenSilently(t)
	defer listener.answer()
	network := NewNetwork(testConfig("vm-2", nil))
	started := time.Now()
	if err := network.Confirm(t.Context(), "vm-1", listener.Addr().String()); !errors.Is(err, ErrUnreachable) {
		t.Errorf("got error %v, want ErrUnreachable", err)
	}
	if took := time.Since(started); took > 2*livenessTimeout {
		t.Errorf("it took %v to tell", took)
	}
}
