package relay

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

const (
	// dialTimeout bounds how long a connection to an upstream may take.
	dialTimeout = 300 * time.Millisecond
	// bufferLength is the size of a connection's buffers in bytes.
	bufferLength = 2 << 10
)

// target is a replica with the node's connections to it.
type target = replica.Replica[*pool]

// group is the replicas of one service.
type group = replica.Group[*pool]

func newGroup(service, zone string) *group {
	return replica.NewGroup(replica.GroupConfig[*pool]{
		Service:          service,
		AvailabilityZone: zone,
		NewData:          func(r upstream.Registration) *pool { return &pool{address: r.Address} },
	})
}

// connection is one connection to an upstream. It carries one exchange at a
// time and nothing is ever sent on it twice.
type connection struct {
	net    net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleUntil is when the upstream may close it.
	idleUntil time.Time
}

// pool keeps the idle connections to one upstream.
type pool struct {
	address string

	mu     sync.Mutex
	idle   []*connection
	closed bool
}

// take returns an idle connection that is open and holds no bytes; nil if
// there is none.
func (p *pool) take(now time.Time) *connection {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && c.quiet() {
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
	return c
}

// put keeps a connection for later. If there are enough, it takes the place of
// the one that has been idle for longest and that the upstream closes first.
func (p *pool) put(c *connection, keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || keep < 1 {
		c.close()
		return
	}
	for len(p.idle) >= keep {
		p.idle[0].close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.idle = append(p.idle, c)
}

// expire closes the connections that the upstream may close soon.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.idleUntil) {
			kept = append(kept, c)
			continue
		}
		c.close()
	}
	p.idle = kept
}

// closeIdle closes what is idle and what becomes so.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

func dial(address string, timeout time.Duration) (*connection, error) {
	socket, err := net.DialTimeout("tcp4", address, min(dialTimeout, timeout))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	c := &connection{
		net:    socket,
		reader: bufio.NewReaderSize(socket, bufferLength),
		writer: bufio.NewWriterSize(socket, bufferLength),
	}
	if system, ok := socket.(syscall.Conn); ok {
		c.raw, err = system.SyscallConn()
	}
	return c, errors.WithStack(err)
}

// quiet reports whether the connection is open and nothing has arrived on it.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	var one [1]byte
	err := c.raw.Read(func(descriptor uintptr) bool {
		_, err := syscall.Read(int(descriptor), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// close gives the connection up. A failed close has no effect on anyone.
func (c *connection) close() {
	_ = c.net.Close()
}
