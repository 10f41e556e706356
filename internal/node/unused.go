package node

import (
	"net"
	"net/http"
	"sync"
)

// unusedConnections holds the callers' connections on which no request has come yet.
// http.Server would wait for them when it shuts down, read the requests that come
// meanwhile and drop them.
type unusedConnections struct {
	mu  sync.Mutex
	all map[net.Conn]struct{}
	// closed is true once such connections are closed at once.
	closed bool
}

func newUnusedConnections() *unusedConnections {
	return &unusedConnections{all: map[net.Conn]struct{}{}}
}

// track follows the state of a connection; it is an http.Server's ConnState.
func (u *unusedConnections) track(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state != http.StateNew {
		delete(u.all, c)
		return
	}
	if u.closed {
		_ = c.Close()
		return
	}
	u.all[c] = struct{}{}
}

// close closes the connections, and all that are opened later.
func (u *unusedConnections) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	for c := range u.all {
		_ = c.Close()
	}
	u.all = nil
}
