// Package peer carries calls between nodes as protobuf messages over yamux and
// TCP, with one stream per call. A link that has open calls but no longer
// answers pings is closed.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/timer"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/memory"
)

// dialTimeout bounds the TCP connect to a peer.
const dialTimeout = 400 * time.Millisecond

// ErrUnreachable means that no byte of the call can have reached the peer.
var ErrUnreachable = errors.New("peer unreachable")

// unreachable returns an error that is both ErrUnreachable and its cause.
func unreachable(cause error) error {
	return errors.WithStack(fmt.Errorf("%w: %w", ErrUnreachable, cause))
}

// Handler serves the calls of other members.
type Handler interface {
	// Handle answers one call by sending its replies. ctx ends when the calling
	// node closes the call. send must not be called concurrently.
	Handle(ctx context.Context, call *wire.Call, send func(*wire.Reply) error)
}

// Traffic counts the bytes of all links and the calls made. It is safe for
// concurrent use.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	calls    atomic.Int64
}

// Totals returns the bytes sent, the bytes received and the number of calls made.
func (t *Traffic) Totals() (sent, received, calls int64) {
	return t.sent.Load(), t.received.Load(), t.calls.Load()
}

// Config configures a Network.
type Config struct {
	// VM and Process identify this node and its process in its hello messages.
	VM      string
	Process uint64
	// Clock stamps outgoing messages and observes the stamps of incoming ones.
	Clock   *timeline.Clock
	Timers  *timer.Service
	Handler Handler
	Log     logr.Logger
	// SourceIP is the local address to dial from; nil for any.
	SourceIP net.IP
	// TLS is nil for plain TCP. With TLS both sides present a certificate.
	TLS *tls.Config
	// Memory bounds what the messages of other nodes take; nil for no bound.
	Memory *memory.Account
	// MaxHandshakes is the number of accepted connections that have not sent their hello
	// yet; 0 for no bound.
	MaxHandshakes int
}

// openLease opens a lease for messages of a VM. They never give way, but wait for memory.
func (c Config) openLease(vm string) *memory.Lease {
	return c.Memory.Open(memory.Holder{
		Kind: memory.Messages, Groups: []memory.Group{{Name: "peer " + vm, Share: memory.PeerShare}}, Urgent: true, Essential: true,
	})
}

// Network holds the links to the other members. It is safe for concurrent use.
type Network struct {
	config Config
	// Traffic counts the bytes and calls of all links.
	Traffic    Traffic
	handshakes *handshakes

	mu sync.Mutex
	// links holds the link that new calls to a VM use. Both nodes may have dialled,
	// so there may be further links to the VM that still have open calls.
	links map[string]*link
	// dialling holds the dials in progress by VM.
	dialling map[string]*dial
	// openLinks holds every open link, also those that are not in links.
	openLinks util.Set[*link]
}

// NewNetwork returns a network without links.
func NewNetwork(config Config) *Network {
	return &Network{
		config:     config,
		handshakes: newHandshakes(config.MaxHandshakes),
		links:      map[string]*link{},
		dialling:   map[string]*dial{},
		openLinks:  util.NewSet[*link](),
	}
}

// Serve accepts links until the listener is closed or the context ends, then returns the
// error. It closes the listener when the context ends. Any other error passes.
func (n *Network) Serve(ctx context.Context, listener net.Listener) error {
	patient := util.NewPatientListener(listener, func(err error, pause time.Duration) {
		n.config.Log.Info("peerNotAccepted", "error", err.Error(), "pauseMs", pause.Milliseconds())
	})
	context.AfterFunc(ctx, func() { _ = patient.Close() })
	for {
		conn, err := patient.Accept()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			return errors.WithStack(err)
		}
		// The oldest connections make room, so the order is that of their arrival.
		go n.accept(ctx, conn, n.handshakes.begin(conn))
	}
}

func (n *Network) hello() *wire.Hello {
	return &wire.Hello{Vm: n.config.VM, Incarnation: n.config.Process}
}

// loop serves the calls that arrive on a link until it closes.
func (n *Network) loop(ctx context.Context, l *link) {
	defer n.removeLink(l)
	for {
		stream, err := l.session.AcceptStream()
		if err != nil {
			return
		}
		go n.serve(ctx, l.vm, stream)
	}
}

// removeLink closes a link and removes it from the tables.
func (n *Network) removeLink(l *link) {
	l.close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.openLinks, l)
	if n.links[l.vm] == l {
		delete(n.links, l.vm)
	}
}

// serve reads the call of one stream and passes it to the handler.
func (n *Network) serve(ctx context.Context, vm string, stream *yamux.Stream) {
	defer stream.Close()
	reader := bufio.NewReaderSize(stream, callBufferBytes)
	call := &wire.Call{}
	lease := n.config.openLease(vm)
	defer lease.Close()
	if err := wire.Read(reader, call, wire.Allowance{MaxBytes: wire.MaxMessageBytes, Lease: lease}); err != nil {
		n.logDenied(vm, err)
		return
	}
	n.config.Clock.Observe(timeline.Stamp(call.GetClock()))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go cancelOnStreamEnd(reader, cancel)
	replies := &replyWriter{stream: stream, clock: n.config.Clock}
	if err := n.handle(ctx, call, replies); err != nil {
		n.config.Log.Error(err, "peerCallPanicked")
	}
}

// logDenied logs that a call was not read for lack of memory.
func (n *Network) logDenied(vm string, err error) {
	if memory.IsDenied(err) {
		n.config.Log.Info("peerCallDeniedMemory", "from", vm, "cause", err.Error(), "heldBytes", int64(n.config.Memory.Held(memory.Messages)))
	}
}

// handle passes a call to the handler. A panic ends the call, not the process.
func (n *Network) handle(ctx context.Context, call *wire.Call, replies *replyWriter) (err error) {
	defer util.RecoverError(&err)
	n.config.Handler.Handle(ctx, call, replies.write)
	return nil
}

// replyWriter writes the replies of one call.
type replyWriter struct {
	stream io.Writer
	clock  *timeline.Clock
	// failed is the first error of a write. Nothing is written after it: the frame
	// may still be queued, and the stream would take its late result for the result
	// of the next write and overwrite a header that is being sent.
	failed error
}

func (w *replyWriter) write(reply *wire.Reply) error {
	if w.failed != nil {
		return w.failed
	}
	reply.Clock = uint64(w.clock.Now())
	w.failed = wire.Write(w.stream, reply)
	return w.failed
}

// cancelOnStreamEnd cancels a call when the calling node closes its stream.
// Nothing follows the call on the stream, so the read returns only at its end.
func cancelOnStreamEnd(reader *bufio.Reader, cancel context.CancelFunc) {
	_, _ = reader.ReadByte()
	cancel()
}

// Call sends a call to a member and returns the stream of its replies,
// which the caller must close. It dials the address if there is no link to the
// VM. ErrUnreachable means that the call was not sent.
func (n *Network) Call(ctx context.Context, vm, address string, call *wire.Call) (stream *Stream, err error) {
	n.Traffic.calls.Add(1)
	l, err := n.linkTo(ctx, vm, address)
	if err != nil {
		return nil, unreachable(err)
	}
	stream, err = l.openStream(ctx, call, n.config)
	if err == nil || ctx.Err() != nil {
		return stream, err
	}
	n.removeLink(l)
	return nil, err
}

// Confirm checks that a member answers on the link that the next call to it uses. If it
// does not, Confirm closes the link, or retires it if something else has arrived on it, and
// returns ErrUnreachable. A dial may take livenessTimeout, and goes on afterwards. Confirm
// is meant for calls that must not be sent again: of one that is sent on a silent link
// nobody can tell whether it arrived.
func (n *Network) Confirm(ctx context.Context, vm, address string) error {
	dialCtx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	l, err := n.linkTo(dialCtx, vm, address)
	if err != nil {
		return unreachable(err)
	}
	if l.answersPing() {
		return nil
	}
	if l.isSilent() {
		n.removeLink(l)
	} else {
		n.retire(l)
	}
	return errors.WithMessage(ErrUnreachable, "the link is silent")
}

// CallUnary sends a call to a member and returns its single reply. Its errors are
// those of Call and Stream.Receive.
func (n *Network) CallUnary(ctx context.Context, vm, address string, call *wire.Call) (reply *wire.Reply, err error) {
	stream, err := n.Call(ctx, vm, address, call)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	return stream.Receive()
}

// Retire takes the link to a member out of use for new calls, so that the next one dials.
// The calls in progress go on, as the member may be slow rather than cut off; a ping
// tells, and the link is closed if it is not answered.
func (n *Network) Retire(vm string) {
	if l := n.openLink(vm); l != nil {
		n.retire(l)
	}
}

// retire is Retire for one link.
func (n *Network) retire(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links[l.vm] == l {
		delete(n.links, l.vm)
	}
	l.retired = true
	l.startPing()
}

// linkTo returns the link to a VM. If there is none, it waits for a dial, which it starts
// unless another call has done so, until ctx ends. If a dial fails, all calls that wait
// for it fail instead of dialling one after the other, unless the VM has dialled this
// node meanwhile.
func (n *Network) linkTo(ctx context.Context, vm, address string) (*link, error) {
	l, d := n.linkOrDial(ctx, vm, address)
	if l != nil {
		return l, nil
	}
	select {
	case <-d.done:
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
	if d.err == nil {
		return d.link, nil
	}
	if l := n.openLink(vm); l != nil {
		return l, nil
	}
	return nil, d.err
}

// linkOrDial returns the open link to a VM, or else the dial in progress, which it starts
// if there is none.
func (n *Network) linkOrDial(ctx context.Context, vm, address string) (*link, *dial) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.openLinkLocked(vm); l != nil {
		return l, nil
	}
	d, inProgress := n.dialling[vm]
	if !inProgress {
		d = &dial{network: n, vm: vm, address: address, done: make(chan struct{})}
		n.dialling[vm] = d
		go d.run(context.WithoutCancel(ctx))
	}
	return nil, d
}

// openLink returns the link that new calls to a VM use; nil if there is none.
func (n *Network) openLink(vm string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.openLinkLocked(vm)
}

// openLinkLocked is openLink for callers that hold n.mu.
func (n *Network) openLinkLocked(vm string) *link {
	if l, found := n.links[vm]; found && !l.session.IsClosed() {
		return l
	}
	return nil
}

// dial is an attempt to open a link to a VM, shared by the calls that wait for it. It
// outlives the call that started it, as others may have more time.
type dial struct {
	network     *Network
	vm, address string
	// done is closed once the dial has ended; link or err is set before.
	done chan struct{}
	link *link
	err  error
}

// run dials, and adds the link to those of the network.
func (d *dial) run(ctx context.Context) {
	defer close(d.done)
	n := d.network
	d.link, d.err = n.dialLink(ctx, d.vm, d.address)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dialling, d.vm)
	if d.err != nil {
		return
	}
	n.links[d.vm] = d.link
	n.openLinks.Add(d.link)
	go n.loop(ctx, d.link)
}

// dialLink opens a link to the VM at the address.
func (n *Network) dialLink(ctx context.Context, vm, address string) (l *link, err error) {
	conn, err := n.connectTo(ctx, address)
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
		return nil, errors.Errorf("peer at %s identifies as VM %q, want %q", address, l.vm, vm)
	}
	return l, nil
}

// DialAddress opens a link to an address whose VM is not known yet and returns
// the name of the VM that answers.
func (n *Network) DialAddress(ctx context.Context, address string) (vm string, err error) {
	defer util.Annotate(&err, "dial peer at %s", address)
	conn, err := n.connectTo(ctx, address)
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
	n.openLinks.Add(l)
	n.mu.Unlock()
	go n.loop(context.WithoutCancel(ctx), l)
	return l.vm, nil
}

// connectTo opens a connection, with TLS if configured. dialTimeout bounds it; the
// end of ctx does not.
func (n *Network) connectTo(ctx context.Context, address string) (net.Conn, error) {
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

// Reachable reports whether the address accepts a TCP connection now. It makes no
// handshake.
func (n *Network) Reachable(ctx context.Context, address string) bool {
	conn, err := n.connectTo(ctx, address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Run checks the liveness of the links until the context ends, then closes all
// links and returns the error of the context.
func (n *Network) Run(ctx context.Context) error {
	return n.run(ctx)
}

func (n *Network) run(ctx context.Context) error {
	subscription := n.config.Timers.Subscribe(livenessTimeout / 4)
	defer n.config.Timers.Cancel(subscription)
	for {
		select {
		case <-ctx.Done():
			n.closeAll()
			return ctx.Err()
		case tick := <-subscription.C:
			n.checkLiveness(tick.Now)
		}
	}
}

// checkLiveness checks all links, and closes the retired ones that are no longer used.
func (n *Network) checkLiveness(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.openLinks {
		if l.retired && l.unused(now) {
			l.close()
			continue
		}
		l.checkLiveness(now)
	}
}

func (n *Network) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.openLinks {
		l.close()
	}
}
