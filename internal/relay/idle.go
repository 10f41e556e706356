package relay

import (
	"container/list"
	"sync"
)

// idleConnections bounds the idle connections to all upstreams together: each uses up a file
// descriptor. It is safe for concurrent use; nil has no bound.
type idleConnections struct {
	// maximum is the number of connections that may be idle at the same time.
	maximum int

	mu sync.Mutex
	// byAge holds the connections, each an idleConnection, that which has been idle for longest first.
	byAge *list.List
}

// newIdleConnections returns nil for a maximum of 0, which is none.
func newIdleConnections(maximum int) *idleConnections {
	if maximum <= 0 {
		return nil
	}
	return &idleConnections{maximum: maximum, byAge: list.New()}
}

// idleConnection is a connection in the pool that holds it.
type idleConnection struct {
	*connection
	owner *pool
}

// add adds a connection of a pool. If there are too many then, it takes out the one that
// has been idle for longest, which its pool must give up; found is false otherwise.
func (ic *idleConnections) add(c *connection, owner *pool) (longest idleConnection, found bool) {
	if ic == nil {
		return longest, false
	}
	ic.mu.Lock()
	defer ic.mu.Unlock()
	c.position = ic.byAge.PushBack(idleConnection{connection: c, owner: owner})
	if ic.byAge.Len() <= ic.maximum {
		return longest, false
	}
	longest = ic.byAge.Front().Value.(idleConnection)
	ic.removeLocked(longest.connection)
	return longest, true
}

// remove removes a connection that is no longer idle or closed.
func (ic *idleConnections) remove(c *connection) {
	if ic == nil {
		return
	}
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.removeLocked(c)
}

// removeLocked is remove for a caller that holds mu.
func (ic *idleConnections) removeLocked(c *connection) {
	if c.position != nil {
		ic.byAge.Remove(c.position)
		c.position = nil
	}
}
