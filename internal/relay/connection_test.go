package relay

import (
	"net"
	"testing"
	"time"
)

// openConnection returns one end of a connection and a function that tells
// whether that end is closed.
func openConnection(t *testing.T, idleUntil time.Time) (*connection, func() bool) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	return &connection{net: near, idleUntil: idleUntil}, func() bool {
		if err := far.SetReadDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
			return true
		}
		_, err := far.Read(make([]byte, 1))
		timeout, ok := err.(net.Error)
		return !ok || !timeout.Timeout()
	}
}

// TestPoolKeepsTheNewest: a full pool gives up the connection that has been idle
// for longest. It used to close the newest, while those at the bottom had long
// been closed by the upstream (found by the soak: 18 descriptors a second).
func TestPoolKeepsTheNewest(t *testing.T) {
	now := time.Now()
	p := &pool{}
	old, oldClosed := openConnection(t, now.Add(time.Second))
	young, youngClosed := openConnection(t, now.Add(2*time.Second))
	p.put(old, 1)
	p.put(young, 1)
	if !oldClosed() || youngClosed() {
		t.Error("the newest was given up")
	}
}

// TestTickClosesExpired: connections that upstreams are about to close are
// closed, also if nobody asks for them.
func TestTickClosesExpired(t *testing.T) {
	o := newOverload()
	p := o.service.group.Replicas()[0].Data
	c, closed := openConnection(t, time.Now().Add(-time.Millisecond))
	p.put(c, 4)
	r := o.service.relay
	r.state.Store(&state{services: map[string]*service{"s": o.service}})
	r.Tick()
	if !closed() || len(p.idle) != 0 {
		t.Error("still open")
	}
}
