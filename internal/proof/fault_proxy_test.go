package proof

import (
	"io"
	"net"
	"sync"
	"testing"
)

// faultProxy is a TCP proxy that can silence its open connections permanently
// while new ones work, as a stateful firewall or NAT does after losing its
// connection table. toxiproxy can't do this: it treats all connections of a
// proxy alike.
type faultProxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// silenced is closed to silence the connections opened since it was made.
	silenced chan struct{}
	// blocked holds the source IPs whose connections, open or new, pass no data.
	blocked map[string]bool
}

func newFaultProxy(t *testing.T, target string) *faultProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faultProxy{listener: listener, target: target, silenced: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go f.run()
	return f
}

// blockSources blocks all data between the given source IPs and the target. A later
// call replaces the sources; without arguments it unblocks all. Each call also
// silences the open connections of all sources, see silenceOpen.
func (f *faultProxy) blockSources(sources ...string) {
	f.mu.Lock()
	f.blocked = map[string]bool{}
	for _, source := range sources {
		f.blocked[source] = true
	}
	f.mu.Unlock()
	// A blocked connection has lost data, so it must stay silent even after its
	// source is unblocked.
	f.silenceOpen()
}

// isBlocked reports whether a source is blocked.
func (f *faultProxy) isBlocked(source net.Addr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked[source.(*net.TCPAddr).IP.String()]
}

// silenceOpen permanently silences the connections that are open now.
func (f *faultProxy) silenceOpen() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.silenced)
	f.silenced = make(chan struct{})
}

func (f *faultProxy) run() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		if f.isBlocked(client.RemoteAddr()) {
			go discard(client)
			continue
		}
		server, err := net.Dial("tcp", f.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		f.mu.Lock()
		silenced := f.silenced
		f.mu.Unlock()
		go loop(client, server, silenced)
		go loop(server, client, silenced)
	}
}

// loop copies data in one direction. Once silenced is closed, it discards what it
// reads and keeps both connections open.
func loop(from, to net.Conn, silenced <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		select {
		case <-silenced:
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

// discard reads and drops all data of a blocked connection until the other side
// closes it.
func discard(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}
