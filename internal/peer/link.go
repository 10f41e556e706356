package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/memory"
)

// Limits of a link.
const (
	// handshakeTimeout bounds the exchange of hello messages.
	handshakeTimeout = time.Second
	// writeTimeout is how long a write may block before it fails. A link on which
	// a call can't be sent is then closed.
	writeTimeout = 2 * time.Second
	// livenessTimeout is how long a link with open calls may receive nothing before
	// it is pinged, and how long the peer has to answer the ping.
	livenessTimeout = 400 * time.Millisecond
	// retiredIdleTimeout is how long a retired link stays open without a call: the peer
	// may still use it.
	retiredIdleTimeout = 5 * time.Second
	acceptBacklog      = 256
	streamWindowBytes  = 1 << 20
	replyBufferBytes   = 4 << 10
	streamCloseTimeout = 5 * time.Second
	callBufferBytes    = 4 << 10
	// maxHelloBytes limits a hello, which anybody may send.
	maxHelloBytes = 4 << 10
)

// meteredConn is a connection that counts its bytes, keeps the time of its last
// read and joins a frame's header and body into one write.
type meteredConn struct {
	net.Conn
	traffic *Traffic
	// opened is read with the steady clock only: a link's silence must not be judged by
	// the time of day.
	opened time.Time
	// lastRead is the time from opened to the last read, in nanoseconds.
	lastRead atomic.Int64
	// pendingHeader holds a frame header until its body is written. The hello, which
	// is written before the session starts, is never taken for such a header: either
	// its length prefix has one byte and the byte at typeOffset is a protobuf tag,
	// which is not 0, or it is longer than a header.
	pendingHeader []byte
}

func newMeteredConn(conn net.Conn, traffic *Traffic) *meteredConn {
	return &meteredConn{Conn: conn, traffic: traffic, opened: time.Now()}
}

// idle returns the time since the last read.
func (c *meteredConn) idle(now time.Time) time.Duration {
	return now.Sub(c.opened) - time.Duration(c.lastRead.Load())
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.opened)))
		c.traffic.received.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn. The session writes a frame as a header and then, if
// it has one, a body. A header that a body follows is buffered and reported as
// written; the next write sends it together with the body in one system call.
// Write needs no lock: after the hello only the session's send goroutine writes.
func (c *meteredConn) Write(b []byte) (int, error) {
	if len(c.pendingHeader) == 0 && isHeaderWithBody(b) {
		c.pendingHeader = append(c.pendingHeader, b...)
		return len(b), nil
	}
	if len(c.pendingHeader) == 0 {
		n, err := c.Conn.Write(b)
		c.traffic.sent.Add(int64(n))
		return n, err
	}
	c.pendingHeader = append(c.pendingHeader, b...)
	n, err := c.Conn.Write(c.pendingHeader)
	c.traffic.sent.Add(int64(n))
	c.pendingHeader = c.pendingHeader[:0]
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// Layout of a yamux frame header: version (1 byte), type (1), flags (2), stream
// ID (4), length (4).
const (
	headerBytes  = 12
	typeOffset   = 1
	lengthOffset = 8
	// dataFrame is the frame type whose length field is the length of a body; in
	// the other types it holds another value.
	dataFrame = 0
)

// isHeaderWithBody reports whether b is a frame header that a body follows.
func isHeaderWithBody(b []byte) bool {
	return len(b) == headerBytes && b[typeOffset] == dataFrame && binary.BigEndian.Uint32(b[lengthOffset:]) > 0
}

// link is a connection to another member, dialled or accepted, with its yamux
// session.
type link struct {
	// vm comes from the hello of the other member.
	vm      string
	conn    *meteredConn
	session *yamux.Session
	// pingPending is true while a ping is unanswered.
	pingPending atomic.Bool
	// retired is true once no new call of this node uses the link; the peer's may. It is
	// guarded by the mutex of the network.
	retired bool
}

// newLink exchanges hello messages over the connection and starts a session on
// it. dialled says which side this is. On error the caller closes conn.
func newLink(conn net.Conn, dialled bool, hello *wire.Hello, traffic *Traffic) (l *link, err error) {
	metered := newMeteredConn(conn, traffic)
	// An error in setting the deadline shows up in the first read or write.
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := wire.Write(metered, hello); err != nil {
		return nil, err
	}
	remote := &wire.Hello{}
	if err := readHello(metered, remote); err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	l = &link{vm: remote.GetVm(), conn: metered}
	config := yamuxConfig()
	if dialled {
		l.session, err = yamux.Client(metered, config)
	} else {
		l.session, err = yamux.Server(metered, config)
	}
	return l, errors.WithStack(err)
}

// readHello reads the hello one byte at a time, so that it consumes none of the
// bytes after it, which belong to the session.
func readHello(conn net.Conn, hello *wire.Hello) error {
	return wire.Read(bufio.NewReaderSize(&byteReader{conn}, 16), hello, wire.Allowance{MaxBytes: maxHelloBytes})
}

// byteReader reads at most one byte at a time.
type byteReader struct{ r io.Reader }

// Read implements io.Reader.
func (b *byteReader) Read(p []byte) (int, error) {
	return b.r.Read(p[:min(1, len(p))])
}

func yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.AcceptBacklog = acceptBacklog
	config.ConnectionWriteTimeout = writeTimeout
	config.MaxStreamWindowSize = streamWindowBytes
	config.StreamCloseTimeout = streamCloseTimeout
	config.LogOutput = io.Discard
	return config
}

// checkLiveness starts a ping if the link has open calls and has received
// nothing for livenessTimeout. One ping runs at a time.
func (l *link) checkLiveness(now time.Time) {
	if l.session.NumStreams() == 0 || l.conn.idle(now) < livenessTimeout {
		return
	}
	l.startPing()
}

// startPing starts a ping that closes the link if it is not answered.
func (l *link) startPing() {
	if !l.pingPending.Swap(true) {
		go l.loop()
	}
}

// unused reports whether the link has no open calls and has received nothing for
// retiredIdleTimeout.
func (l *link) unused(now time.Time) bool {
	return l.session.NumStreams() == 0 && l.conn.idle(now) >= retiredIdleTimeout
}

// loop sends one ping and closes the link if it fails or is not answered in time, unless
// something else has arrived meanwhile: the answer may wait behind a long reply, or not
// have been read yet.
func (l *link) loop() {
	defer l.pingPending.Store(false)
	if !l.answersPing() && l.isSilent() {
		l.close()
	}
}

// isSilent reports whether nothing has arrived on the link for livenessTimeout, or it is
// closed.
func (l *link) isSilent() bool {
	return l.session.IsClosed() || l.conn.idle(time.Now()) >= livenessTimeout
}

// answersPing reports whether the peer answers a ping in time.
func (l *link) answersPing() bool {
	pinged := make(chan error, 1)
	go func() {
		_, err := l.session.Ping()
		pinged <- err
	}()
	select {
	case err := <-pinged:
		return err == nil
	case <-time.After(livenessTimeout):
		return false
	}
}

func (l *link) close() {
	// The connection is closed first, because closing the session waits for its
	// pending writes.
	_ = l.conn.Close()
	_ = l.session.Close()
}

// Stream is one call in progress. It carries the replies.
type Stream struct {
	stream *yamux.Stream
	reader *bufio.Reader
	clock  *timeline.Clock
	// lease holds the memory of the replies.
	lease *memory.Lease
	// stopContextWatch ends the watch for the end of the call's context.
	stopContextWatch func() bool
}

// openStream opens a stream on the link and sends the call. When ctx ends, reads
// and writes of the stream fail. They never fail by its deadline before ctx has ended:
// callers tell by ctx whether the peer failed or their own time is over.
func (l *link) openStream(ctx context.Context, call *wire.Call, config Config) (*Stream, error) {
	stream, err := l.session.OpenStream()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := &Stream{stream: stream, reader: bufio.NewReaderSize(stream, replyBufferBytes), clock: config.Clock, lease: config.openLease(l.vm)}
	s.stopContextWatch = context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	call.Clock = uint64(config.Clock.Now())
	if err := wire.Write(stream, call); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Receive returns the next reply of the call, or io.EOF after the last one.
func (s *Stream) Receive() (*wire.Reply, error) {
	reply := &wire.Reply{}
	if err := wire.Read(s.reader, reply, wire.Allowance{MaxBytes: wire.MaxMessageBytes, Lease: s.lease}); err != nil {
		return nil, err
	}
	s.clock.Observe(timeline.Stamp(reply.GetClock()))
	return reply, nil
}

// Close ends the call. The peer then cancels the context of its handler.
func (s *Stream) Close() {
	s.stopContextWatch()
	_ = s.stream.Close()
	s.lease.Close()
}
