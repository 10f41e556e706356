package proof

import (
	"io"
	"net"
	"sync"
	"testing"
)

// freezer is a TCP relay that can make its open connections go silent for good
// while new ones work, as a middle box does that has lost track of them. The
// proxy library can only treat all connections of a proxy alike.
type freezer struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// frozen is closed for the connections opened before a freeze.
	frozen chan struct{}
}

func newFreezer(t *testing.T, target string) *freezer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &freezer{listener: listener, target: target, frozen: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go f.run()
	return f
}

// freeze silences the connections that are open now.
func (f *freezer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.frozen)
	f.frozen = make(chan struct{})
}

func (f *freezer) run() {
	for {
		inward, err := f.listener.Accept()
		if err != nil {
			return
		}
		outward, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = inward.Close()
			continue
		}
		f.mu.Lock()
		frozen := f.frozen
		f.mu.Unlock()
		go loop(inward, outward, frozen)
		go loop(outward, inward, frozen)
	}
}

// loop copies one direction; after a freeze it reads on and drops.
func loop(from, to net.Conn, frozen <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		select {
		case <-frozen:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}
