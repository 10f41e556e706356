package relay

import (
	"bufio"
	"container/list"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

const (
	// dialTimeout bounds the time to connect to an upstream.
	dialTimeout = 300 * time.Millisecond
	// bufferLength is the size of a connection's read and write buffers in bytes.
	bufferLength = 2 << 10
)

// upstreamReplica is a replica with this node's pool of connections to it.
type upstreamReplica = replica.Replica[*pool]

// replicaGroup is the group of all replicas of one service.
type replicaGroup = replica.Group[*pool]

func newReplicaGroup(service, zone string, idle *idleConnections) *replicaGroup {
	return replica.NewGroup(replica.GroupConfig[*pool]{
		Service:          service,
		AvailabilityZone: zone,
		NewData:          func(r upstream.Registration) *pool { return newPool(r, idle) },
	})
}

// connection is a connection to an upstream. It carries one exchange at a time
// and no request is sent on it twice.
type connection struct {
	net    net.Conn
	raw    syscall.RawConn
	reader *ReplyReader
	writer *bufio.Writer
	// idleUntil is the time from which the upstream may close the idle
	// connection.
	idleUntil time.Time

	// position is the place among all idle connections, guarded by their lock; nil if the
	// connection is not idle.
	position *list.Element
}

// pool holds the idle connections to one upstream, the oldest first.
type pool struct {
	// registration is the first one that was known of the upstream, and is not changed.
	registration upstream.Registration
	// shared bounds the idle connections of all pools. Its lock is taken after mu.
	shared *idleConnections
	// groups are those of the upstream's replies among all that take memory.
	groups []memory.Group

	mu     sync.Mutex
	idle   []*connection
	closed bool
}

func newPool(registration upstream.Registration, shared *idleConnections) *pool {
	return &pool{registration: registration, shared: shared, groups: []memory.Group{
		{Name: "upstream " + registration.ID, Share: memory.UpstreamShare},
		{Name: "service " + registration.Service, Share: memory.ServiceShare},
	}}
}

// takeIdle removes and returns the newest idle connection that is still open and
// has no unread bytes; nil if there is none.
func (p *pool) takeIdle(now time.Time) *connection {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && c.isIdle() {
			return c
		}
		c.close()
	}
}

func (p *pool) pop() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	p.shared.remove(c)
	return c
}

// put adds an idle connection. If the pool is full, it closes the connections that
// have been idle for longest, because the upstream closes those first. If there are too
// many in all pools, it closes the one that has been idle for longest of those.
func (p *pool) put(c *connection, maxIdle int) {
	if longest, found := p.insert(c, maxIdle); found {
		longest.owner.giveUp(longest.connection)
	}
}

// insert adds an idle connection to this pool and returns the one that its pool must give
// up for it; found is false if there is room.
func (p *pool) insert(c *connection, maxIdle int) (longest idleConnection, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || maxIdle < 1 {
		c.close()
		return longest, false
	}
	for len(p.idle) >= maxIdle {
		p.closeIdle(p.idle[0])
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.idle = append(p.idle, c)
	return p.shared.add(c, p)
}

// giveUp closes a connection unless it is no longer idle.
func (p *pool) giveUp(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if position := slices.Index(p.idle, c); position >= 0 {
		p.idle = slices.Delete(p.idle, position, position+1)
		p.closeIdle(c)
	}
}

// closeIdle closes a connection that is taken from idle. The caller holds mu.
func (p *pool) closeIdle(c *connection) {
	p.shared.remove(c)
	c.close()
}

// closeExpired closes the idle connections whose idleUntil has passed, as the
// upstream may close them at any time.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.idleUntil) {
			kept = append(kept, c)
			continue
		}
		p.closeIdle(c)
	}
	p.idle = kept
}

// shutDown closes all idle connections, and any connection that is put later.
func (p *pool) shutDown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.closeIdle(c)
	}
	p.idle = nil
}

// byteCounter counts the bytes of connections.
type byteCounter interface {
	Add(float64)
}

// countingConn is a connection that counts its bytes, and of which everything can be read
// that has arrived by the deadline.
type countingConn struct {
	net.Conn
	raw   syscall.RawConn
	bytes byteCounter
}

// Read implements net.Conn. After the deadline it returns what has arrived, if anything: if
// the process did not run for a while, the deadline may be noticed before a reply that has
// come long before it.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if arrived := c.readArrived(b); arrived > 0 {
			n, err = arrived, nil
		}
	}
	c.bytes.Add(float64(n))
	return n, err
}

// readArrived reads without waiting and returns the number of bytes.
func (c countingConn) readArrived(b []byte) (arrived int) {
	// An error shows up in the next read of the connection.
	_ = c.raw.Control(func(descriptor uintptr) {
		n, err := syscall.Read(int(descriptor), b)
		if err == nil {
			arrived = n
		}
	})
	return arrived
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(float64(n))
	return n, err
}

func dial(address string, timeout time.Duration, bytes byteCounter) (*connection, error) {
	socket, err := net.DialTimeout("tcp4", address, min(dialTimeout, timeout))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	raw, err := socket.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = socket.Close()
		return nil, errors.WithStack(err)
	}
	counted := countingConn{Conn: socket, raw: raw, bytes: bytes}
	return &connection{
		net:    counted,
		raw:    raw,
		reader: NewReplyReader(counted),
		writer: bufio.NewWriterSize(counted, bufferLength),
	}, nil
}

// isIdle reports whether the connection is open and has no unread bytes. An
// EAGAIN from a non-blocking read shows both.
func (c *connection) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	isIdle := false
	var buffer [1]byte
	// Not by raw.Read, which fails once the deadline of the last exchange has passed.
	err := c.raw.Control(func(descriptor uintptr) {
		_, err := syscall.Read(int(descriptor), buffer[:])
		isIdle = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && isIdle
}

// close closes the connection. Errors are ignored: the connection is not used
// afterwards.
func (c *connection) close() {
	_ = c.net.Close()
}
