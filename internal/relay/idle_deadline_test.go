package relay

import (
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// TestIdleConnectionOutlivesTheDeadlineOfItsLastRequest: an idle connection was thrown away
// once the deadline of the request before had passed, and the next request dialled.
func TestIdleConnectionOutlivesTheDeadlineOfItsLastRequest(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c, err := dial(listener.Addr().String(), time.Second, prometheus.NewCounter(prometheus.CounterOpts{}))
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	if err := c.net.SetDeadline(time.Now().Add(10 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	p := &pool{}
	c.idleUntil = time.Now().Add(time.Minute)
	p.put(c, 1)
	time.Sleep(30 * time.Millisecond)
	if p.takeIdle(time.Now()) == nil {
		t.Error("an open idle connection was not used again")
	}
}
