package relay

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// openConnection returns one end of a connection and a function that reports
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

// TestPoolKeepsTheNewest: a full pool closes the connection that has been idle for
// longest. When it closed the newest instead, it filled up with connections that the
// upstream had long closed (18 descriptors a second in a soak test).
func TestPoolKeepsTheNewest(t *testing.T) {
	now := time.Now()
	p := &pool{}
	oldest, oldestClosed := openConnection(t, now.Add(time.Second))
	newest, newestClosed := openConnection(t, now.Add(2*time.Second))
	p.put(oldest, 1)
	p.put(newest, 1)
	if !oldestClosed() || newestClosed() {
		t.Error("the pool closed the newest connection instead of the oldest")
	}
}

// TestTickClosesExpired: connections that upstreams are about to close are closed
// even if no request uses the pool.
func TestTickClosesExpired(t *testing.T) {
	s := newSingleSlotService()
	p := s.service.replicaGroup.Replicas()[0].Data
	c, closed := openConnection(t, time.Now().Add(-time.Millisecond))
	p.put(c, 4)
	r := s.service.relay
	r.routingState.Store(&routingState{services: map[string]*service{"s": s.service}})
	r.Tick()
	if !closed() || len(p.idle) != 0 {
		t.Error("expired connection is still open or in the pool")
	}
}

// TestArrivedReplyIsReadAfterTheDeadline checks that the deadline of an attempt, noticed
// late by a process that was suspended, doesn't hide a reply that has arrived.
func TestArrivedReplyIsReadAfterTheDeadline(t *testing.T) {
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
	upstream, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer upstream.Close()
	if err := c.net.SetDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 8)
	if n, err := c.net.Read(buffer); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("with nothing there: %d bytes, %v", n, err)
	}
	_, _ = upstream.Write([]byte("reply"))
	time.Sleep(10 * time.Millisecond)
	if n, err := c.net.Read(buffer); err != nil || string(buffer[:n]) != "reply" {
		t.Errorf("read %q, %v", buffer[:n], err)
	}
	if n, err := c.net.Read(buffer); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after all was read: %d bytes, %v", n, err)
	}
}
