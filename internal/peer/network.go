// Package peer carries calls between the nodes: yamux over TCP, one stream a
// call, protobuf messages. A link that goes silent under open calls is closed.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/timer"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/internal/wire"
)

// dialTimeout bounds how long a connection to a peer may take.
const dialTimeout = 400 * time.Millisecond

// ErrUnreachable means that no byte of a call can have reached the peer.
var ErrUnreachable = errors.New("peer unreachable")

// Handler serves the calls of other members.
type Handler interface {
	// Handle answers one call. Its context ends when the caller closes the
	// call. send may be called from one goroutine at a time.
	Handle(ctx context.Context, call *wire.Call, send func(*wire.Reply) error)
}

// Traffic counts the bytes of all links.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	calls    atomic.Int64
}

// Totals returns the bytes sent and received and the calls made.
func (t *Traffic) Totals() (sent, received, calls int64) {
	return t.sent.Load(), t.received.Load(), t.calls.Load()
}

// Config describes a node's end of the links.
type Config struct {
	VM          string
	Incarnation uint64
	Clock       *timeline.Clock
	Timers      *timer.Service
	Handler     Handler
	// Source is the IP that links are dialled from; nil for any.
	SourceIP net.IP
	// TLS is nil for plain TCP; otherwise both sides must show a certificate.
	TLS *tls.Config
}

// Network holds the links to the other members.
type Network struct {
	config Config
	// Traffic counts what the links carry.
	Traffic Traffic

	mu sync.Mutex
	// links holds the link to use for each VM. Both ends may have dialled, so
	// calls may still be open on others.
	links map[string]*link
	// dialling holds a channel for each VM being dialled, closed at the end.
	dialling map[string]chan struct{}
	// all holds every open link.
	all util.Set[*link]
}

// NewNetwork returns a network without links.
func NewNetwork(config Config) *Network {
	return &Network{
		config:   config,
		links:    map[string]*link{},
		dialling: map[string]chan struct{}{},
		all:      util.NewSet[*link](),
	}
}

// Serve accepts links until the listener closes.
func (n *Network) Serve(ctx context.Context, listener net.Listener) error {
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.WithStack(err)
		}
		go n.accept(ctx, conn)
	}
}

func (n *Network) accept(ctx context.Context, conn net.Conn) {
	if n.config.TLS != nil {
		conn = tls.Server(conn, n.config.TLS)
	}
	l, err := newLink(conn, false, n.hello(), &n.Traffic)
	if err != nil {
		_ = conn.Close()
		return
	}
	n.mu.Lock()
	n.all.Add(l)
	if _, found := n.links[l.vm]; !found {
		n.links[l.vm] = l
	}
	n.mu.Unlock()
	n.loop(ctx, l)
}

func (n *Network) hello() *wire.Hello {
	return &wire.Hello{Vm: n.config.VM, Incarnation: n.config.Incarnation}
}

// loop serves the calls that come over a link until it closes.
func (n *Network) loop(ctx context.Context, l *link) {
	defer n.forget(l)
	for {
		stream, err := l.session.AcceptStream()
		if err != nil {
			return
		}
		go n.serve(ctx, stream)
	}
}

func (n *Network) forget(l *link) {
	l.close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.all, l)
	if n.links[l.vm] == l {
		delete(n.links, l.vm)
	}
}

func (n *Network) serve(ctx context.Context, stream *yamux.Stream) {
	defer stream.Close()
	reader := bufio.NewReaderSize(stream, callReadLength)
	call := &wire.Call{}
	if err := wire.Read(reader, call); err != nil {
		return
	}
	n.config.Clock.Observe(timeline.Stamp(call.GetClock()))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go watchEnd(reader, cancel)
	n.config.Handler.Handle(ctx, call, func(reply *wire.Reply) error {
		reply.Clock = uint64(n.config.Clock.Now())
		return wire.Write(stream, reply)
	})
}

// watchEnd cancels a call when its caller closes it: nothing follows the call
// on its stream but the end.
func watchEnd(reader *bufio.Reader, cancel context.CancelFunc) {
	_, _ = reader.ReadByte()
	cancel()
}

// Call sends a call to a member. An ErrUnreachable means that it was not sent.
func (n *Network) Call(ctx context.Context, vm, address string, call *wire.Call) (stream *Stream, err error) {
	n.Traffic.calls.Add(1)
	l, err := n.linkTo(ctx, vm, address)
	if err != nil {
		return nil, errors.WithMessage(ErrUnreachable, err.Error())
	}
	stream, err = l.open(ctx, call, n.config.Clock)
	if err == nil || ctx.Err() != nil {
		return stream, err
	}
	n.forget(l)
	return nil, err
}

// Ask sends a call and returns its single reply.
func (n *Network) CallUnary(ctx context.Context, vm, address string, call *wire.Call) (reply *wire.Reply, err error) {
	stream, err := n.Call(ctx, vm, address, call)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	return stream.Receive()
}

// Drop closes the link to a member, so that the next call makes a new one.
func (n *Network) Disconnect(vm string) {
	n.mu.Lock()
	l := n.links[vm]
	n.mu.Unlock()
	if l != nil {
		n.forget(l)
	}
}

func (n *Network) linkTo(ctx context.Context, vm, address string) (*link, error) {
	for {
		n.mu.Lock()
		l, found := n.links[vm]
		if found && !l.session.IsClosed() {
			n.mu.Unlock()
			return l, nil
		}
		wait, busy := n.dialling[vm]
		if !busy {
			wait = make(chan struct{})
			n.dialling[vm] = wait
		}
		n.mu.Unlock()
		if !busy {
			return n.dial(ctx, vm, address, wait)
		}
		select {
		case <-wait:
			if ctx.Err() != nil || n.lacks(vm) {
				return nil, errors.New("dial failed")
			}
		case <-ctx.Done():
			return nil, errors.WithStack(ctx.Err())
		}
	}
}

func (n *Network) lacks(vm string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, found := n.links[vm]
	return !found
}

// dial makes a link and wakes those who wait for it. It is not tied to the
// deadline of the call that needed it first.
func (n *Network) dial(ctx context.Context, vm, address string, wait chan struct{}) (l *link, err error) {
	defer func() {
		n.mu.Lock()
		delete(n.dialling, vm)
		if err == nil {
			n.links[vm] = l
			n.all.Add(l)
		}
		n.mu.Unlock()
		close(wait)
	}()
	conn, err := n.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	l, err = newLink(conn, true, n.hello(), &n.Traffic)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if l.vm != vm {
		l.close()
		return nil, errors.Errorf("%s answers as %q, not as %q", address, l.vm, vm)
	}
	go n.loop(context.WithoutCancel(ctx), l)
	return l, nil
}

// Introduce makes a link to an address whose VM is not known yet and returns
// the name of the VM that answers.
func (n *Network) DialAddress(ctx context.Context, address string) (vm string, err error) {
	defer util.Annotate(&err, "introduce to %s", address)
	conn, err := n.connect(ctx, address)
	if err != nil {
		return "", err
	}
	l, err := newLink(conn, true, n.hello(), &n.Traffic)
	if err != nil {
		_ = conn.Close()
		return "", err
	}
	n.mu.Lock()
	n.links[l.vm] = l
	n.all.Add(l)
	n.mu.Unlock()
	go n.loop(context.WithoutCancel(ctx), l)
	return l.vm, nil
}

func (n *Network) connect(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if n.config.SourceIP != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: n.config.SourceIP}
	}
	conn, err := dialer.DialContext(context.WithoutCancel(ctx), "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if n.config.TLS != nil {
		return tls.Client(conn, n.config.TLS), nil
	}
	return conn, nil
}

// Reach reports whether the address accepts a connection now.
func (n *Network) Reachable(ctx context.Context, address string) bool {
	conn, err := n.connect(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Run checks the links for silence until the context ends.
func (n *Network) Run(ctx context.Context) error {
	return n.run(ctx)
}

func (n *Network) run(ctx context.Context) error {
	subscription := n.config.Timers.Subscribe(silence / 4)
	defer n.config.Timers.Cancel(subscription)
	for {
		select {
		case <-ctx.Done():
			n.closeAll()
			return ctx.Err()
		case tick := <-subscription.C:
			n.check(tick.Now)
		}
	}
}

func (n *Network) check(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.all {
		l.check(now)
	}
}

func (n *Network) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.all {
		l.close()
	}
}
