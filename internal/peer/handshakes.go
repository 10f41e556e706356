package peer

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"sync"
)

// handshakes holds the accepted connections that have not sent their hello yet, the oldest
// first. Anybody may open one. It is safe for concurrent use.
type handshakes struct {
	maximum int

	mu    sync.Mutex
	conns *list.List
}

// newHandshakes returns an empty list; a maximum of 0 stands for no bound.
func newHandshakes(maximum int) *handshakes {
	return &handshakes{maximum: maximum, conns: list.New()}
}

// begin adds a connection. If there are too many it closes the oldest one, as members send
// their hello at once.
func (h *handshakes) begin(conn net.Conn) *list.Element {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.maximum > 0 && h.conns.Len() >= h.maximum {
		oldest := h.conns.Front()
		_ = oldest.Value.(net.Conn).Close()
		h.conns.Remove(oldest)
	}
	return h.conns.PushBack(conn)
}

// end removes a connection, unless it was closed to make room.
func (h *handshakes) end(position *list.Element) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns.Remove(position)
}

// accept makes a link of a connection whose position among the handshakes is given.
func (n *Network) accept(ctx context.Context, conn net.Conn, position *list.Element) {
	if n.config.TLS != nil {
		conn = tls.Server(conn, n.config.TLS)
	}
	l, err := newLink(conn, false, n.hello(), &n.Traffic)
	n.handshakes.end(position)
	if err != nil {
		_ = conn.Close()
		return
	}
	n.mu.Lock()
	n.openLinks.Add(l)
	if _, found := n.links[l.vm]; !found {
		n.links[l.vm] = l
	}
	n.mu.Unlock()
	n.loop(ctx, l)
}
