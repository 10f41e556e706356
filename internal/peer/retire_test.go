package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/wire"
)

// waitingHandler answers a call once released is closed.
type waitingHandler struct {
	released chan struct{}
}

func (h waitingHandler) Handle(_ context.Context, _ *wire.Call, send func(*wire.Reply) error) {
	<-h.released
	_ = send(&wire.Reply{})
}

// openLinkCount returns how many links of the network are open.
func openLinkCount(n *Network) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.openLinks)
}

// awaitLinks waits until the network has so many open links.
func awaitLinks(t *testing.T, n *Network, want int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for openLinkCount(n) != want {
		if time.Now().After(deadline) {
			t.Fatalf("%d open links, want %d", openLinkCount(n), want)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestRetiredLinkServesItsCalls: a call in progress ends on the link that it began on, a
// new one dials, and the retired link is closed once neither side uses it.
func TestRetiredLinkServesItsCalls(t *testing.T) {
	released := make(chan struct{})
	listener := listenFor(t, waitingHandler{released})
	listener.answer()
	address := listener.Addr().String()
	network := NewNetwork(testConfig("vm-2", nil))
	stream, err := network.Call(t.Context(), "vm-1", address, &wire.Call{})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	network.Retire("vm-1")
	network.checkLiveness(time.Now().Add(2 * retiredIdleTimeout))
	close(released)
	if _, err := network.CallUnary(t.Context(), "vm-1", address, &wire.Call{}); err != nil {
		t.Errorf("the call after: %v", err)
	}
	if _, err := stream.Receive(); err != nil {
		t.Errorf("the call in progress: %v", err)
	}
	stream.Close()
	network.checkLiveness(time.Now())
	if open := openLinkCount(network); open != 2 {
		t.Errorf("%d open links, want the retired one and another", open)
	}
	deadline := time.Now().Add(10 * time.Second)
	for openLinkCount(network) != 1 && time.Now().Before(deadline) {
		network.checkLiveness(time.Now().Add(2 * retiredIdleTimeout))
		time.Sleep(5 * time.Millisecond)
	}
	awaitLinks(t, network, 1)
}

// TestSilentRetiredLinkIsClosed: a retired link without calls on which nothing comes back
// is closed.
func TestSilentRetiredLinkIsClosed(t *testing.T) {
	plain, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &stallingListener{Listener: plain}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = NewNetwork(testConfig("vm-1", echoHandler{})).Serve(ctx, listener) }()
	network := NewNetwork(testConfig("vm-2", nil))
	if err := network.Confirm(ctx, "vm-1", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	defer listener.stall()()
	network.Retire("vm-1")
	awaitLinks(t, network, 0)
}
