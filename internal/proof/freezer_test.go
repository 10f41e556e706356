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
	// cut holds the source IPs that nothing passes from, for open and new
	// connections alike.
	cut map[string]bool
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

// cutOff lets nothing pass between the sources and the target, until it is
// called again with none.
func (f *freezer) cutOff(sources ...string) {
	f.mu.Lock()
	f.cut = map[string]bool{}
	for _, source := range sources {
		f.cut[source] = true
	}
	f.mu.Unlock()
	// Connections that were open cannot come back whole.
	f.freeze()
}

// dark reports whether a source is cut off.
func (f *freezer) dark(source net.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[source.(*net.TCPAddr).IP.String()]
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
		if f.dark(inward.RemoteAddr()) {
			go hold(inward)
			continue
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

// hold reads a connection that leads nowhere.
func hold(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}
