package node

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/timer"
)

const (
	// connSweepInterval is the time between two checks for connections whose time is over.
	connSweepInterval = 250 * time.Millisecond
	// stalledHeadTime is how long the head of a request may take before its connection
	// makes room for a new one.
	stalledHeadTime = 500 * time.Millisecond
)

// callerConnsConfig configures callerConns.
type callerConnsConfig struct {
	// Timeouts returns how long a caller may take to send the head of a request, and how
	// long its connection may be idle.
	Timeouts func() (header, idle time.Duration)
	// Maximum is the number of connections that may be open at the same time.
	Maximum int
	Timers  *timer.Service
	Log     logr.Logger
}

// connState is what a connection of a caller is doing.
type connState uint8

// The states of a connection.
const (
	// connIdle has received no byte of the next request.
	connIdle connState = iota
	// connReading has received a part of the head of a request.
	connReading
	// connActive has received the head of a request that is not answered yet.
	connActive
	// connGivenUp is closed by this node; bytes that still arrive are not read.
	connGivenUp
)

// callerConns bounds the connections of callers in number and in time. To make room for
// a new one it gives up the one that has been idle for longest, or else the one whose head
// has been arriving for longest, if that has stalled. A connection on which a request has
// begun to arrive is not given up as idle.
type callerConns struct {
	config callerConnsConfig

	mu   sync.Mutex
	open int
	// refused counts the connections that were refused since the last log line of them.
	refused int
	// closing is true once idle connections are closed at once.
	closing bool
	// idle and reading hold the connections in these states, by the time at which they
	// entered them.
	idle, reading *list.List
}

func newCallerConns(config callerConnsConfig) *callerConns {
	return &callerConns{config: config, idle: list.New(), reading: list.New()}
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	owner *callerConns

	// The fields below are guarded by the owner's lock. position is the place in the
	// list of its state; nil if the connection is active or given up.
	state    connState
	since    time.Time
	position *list.Element
	closed   bool
}

// callerListener accepts connections into callerConns.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept returns the next connection. If too many are open and none makes room, it closes
// new ones unread.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.conns.add(conn, time.Now()); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// add registers a connection; nil if there is no room for it or the node ends.
func (cs *callerConns) add(conn net.Conn, now time.Time) *callerConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.closing {
		return nil
	}
	if cs.open >= cs.config.Maximum && !cs.makeRoom(now) {
		cs.refused++
		return nil
	}
	cs.open++
	c := &callerConn{Conn: conn, owner: cs}
	cs.enter(c, connIdle, now)
	return c
}

// makeRoom gives up a connection for a new one; false if none may be given up.
func (cs *callerConns) makeRoom(now time.Time) bool {
	longest := cs.idle.Front()
	if longest == nil {
		longest = cs.reading.Front()
		if longest == nil || now.Sub(longest.Value.(*callerConn).since) < stalledHeadTime {
			return false
		}
	}
	cs.giveUp(longest.Value.(*callerConn))
	return true
}

// enter changes the state of a connection.
func (cs *callerConns) enter(c *callerConn, state connState, now time.Time) {
	if c.position != nil {
		cs.listOf(c.state).Remove(c.position)
		c.position = nil
	}
	c.state, c.since = state, now
	if l := cs.listOf(state); l != nil {
		c.position = l.PushBack(c)
	}
}

// listOf returns the list of the connections in the state; nil for states without one.
func (cs *callerConns) listOf(state connState) *list.List {
	switch state {
	case connIdle:
		return cs.idle
	case connReading:
		return cs.reading
	default:
		return nil
	}
}

// giveUp closes a connection.
func (cs *callerConns) giveUp(c *callerConn) {
	cs.enter(c, connGivenUp, c.since)
	cs.release(c)
	_ = c.Conn.Close()
}

// release stops counting a connection as open.
func (cs *callerConns) release(c *callerConn) {
	if !c.closed {
		c.closed = true
		cs.open--
	}
}

// stateChanged follows the server's view of a connection.
func (cs *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	c := underlyingConn(conn)
	if c == nil {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.state == connGivenUp {
		return
	}
	switch state {
	case http.StateActive:
		cs.enter(c, connActive, time.Now())
	case http.StateIdle:
		cs.enter(c, connIdle, time.Now())
	default:
	}
}

// underlyingConn returns the connection that callerListener accepted, also below TLS.
func underlyingConn(conn net.Conn) *callerConn {
	if secure, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secure.NetConn()
	}
	c, _ := conn.(*callerConn)
	return c
}

// Read reads from the connection. The first bytes of a request end its idle time; those
// that arrive after the connection was given up are not passed on.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.owner.received(c) {
		return 0, net.ErrClosed
	}
	return n, err
}

// received records that bytes arrived. It returns false if the connection was given up.
func (cs *callerConns) received(c *callerConn) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.state == connIdle {
		cs.enter(c, connReading, time.Now())
	}
	return c.state != connGivenUp
}

// Close closes the connection.
func (c *callerConn) Close() error {
	cs := c.owner
	cs.mu.Lock()
	cs.enter(c, connGivenUp, c.since)
	cs.release(c)
	cs.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the writing side, so that the server can let a caller read the answer
// to a request that it hasn't read whole.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// run gives up connections whose time is over until the context ends.
func (cs *callerConns) run(ctx context.Context) error {
	subscription := cs.config.Timers.Subscribe(connSweepInterval)
	defer cs.config.Timers.Cancel(subscription)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case tick := <-subscription.C:
			cs.sweep(tick.Now)
		}
	}
}

// sweep gives up the connections whose time is over, and logs how many were refused since
// the last time.
func (cs *callerConns) sweep(now time.Time) {
	header, idle := cs.config.Timeouts()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.sweepList(cs.reading, now.Add(-header))
	cs.sweepList(cs.idle, now.Add(-idle))
	if cs.refused > 0 {
		cs.config.Log.Info("callerConnsRefused", "refused", cs.refused, "open", cs.open)
		cs.refused = 0
	}
}

// close gives up all idle connections, and those that are accepted later. An http.Server
// that shuts down waits for those on which no request has come yet, reads the requests
// that come meanwhile and drops them.
func (cs *callerConns) close() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closing = true
	for e := cs.idle.Front(); e != nil; e = cs.idle.Front() {
		cs.giveUp(e.Value.(*callerConn))
	}
}

// sweepList gives up the connections that entered their state before the given time.
func (cs *callerConns) sweepList(l *list.List, before time.Time) {
	for e := l.Front(); e != nil; e = l.Front() {
		c := e.Value.(*callerConn)
		if !c.since.Before(before) {
			return
		}
		cs.giveUp(c)
	}
}
