// Package node assembles the components of one process: the HTTP entry, the
// gates, the peer network, gossip membership and configuration.
package node

// Data flow between the components:
//
//	callers ──HTTP──▶ entry ──batches──▶ gates of this node ──HTTP──▶ upstreams
//	                    │ └──batches──▶ network ──▶ gates of other nodes
//	                    │
//	        failed calls│            ┌──exchanges, fetches, probes── network
//	                    ▼            ▼
//	platform ─configuration─▶ control ──View──▶ entry
//	         ─VM list───▶      │
//	timers ──ticks────────▶    ├──acquire, step down, tick, leaving notices──▶ gates
//	                           └──events──▶ timeline (all components record)
//
// The control goroutine owns the member table, the configuration and the
// assignment. Request handlers read the immutable View that it publishes.

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzereach/bronzereach/internal/claim"
	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/internal/gate"
	"github.com/bronzereach/bronzereach/internal/keys"
	"github.com/bronzereach/bronzereach/internal/peer"
	"github.com/bronzereach/bronzereach/internal/platform"
	"github.com/bronzereach/bronzereach/internal/quota"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/timer"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/member"
	"github.com/bronzereach/bronzereach/pkg/memory"
)

// Limits of the HTTP server that callers connect to.
const (
	// headerTimeout and idleTimeout apply where the configuration has no others, see
	// callerConns.
	headerTimeout = 2 * time.Second
	idleTimeout   = time.Minute
	bodyTimeout   = 10 * time.Second
	// serverIdleTimeout is above any idle timeout of a configuration.
	serverIdleTimeout = 24 * time.Hour
	// maxHeaderBytes is above what configurations allow.
	maxHeaderBytes = 64 << 10
	// callerDescriptorShare is the share of the process's file descriptors that
	// connections of callers may use; the others are for upstreams, peers and the store.
	callerDescriptorShare = 0.5
	// handshakeDescriptorShare is the share of those that accepted connections of peers may
	// use before their hello.
	handshakeDescriptorShare = 1.0 / 8
	// shutdownTimeout bounds the time to write the last answers.
	shutdownTimeout = 2 * time.Second
)

// Node is one process of the system: it serves callers and may be the gate of
// services.
type Node struct {
	options Options
	// process identifies this process among all that run under the VM's name. It never
	// changes and has no order; the incarnation in the member table is another number.
	process  uint64
	log      logr.Logger
	recorder *timeline.Recorder
	timers   *timer.Service
	platform *platform.Client
	network  *peer.Network
	gates    *gate.Gates
	entry    *entry.Entry
	control  *control
	registry *prometheus.Registry
	keys     *keys.Store
	// adapter connects to another platform; nil on the product's own.
	adapter           Adapter
	unreadableNotices *unreadableNotices
	// quotas keeps the quotas of teams; nil on the product's own platform, which has none.
	quotas *quota.Manager
	// memoryLimit is how much memory the process may have; 0 if that is not known. memory
	// bounds what it holds for others; nil then.
	memoryLimit memory.Bytes
	memory      *memory.Account
	// handling is the number of callers' requests whose body is being read, that are in
	// progress, or whose answer is being written.
	handling atomic.Int64
	// aborted is the number of requests that Stop has ended early.
	aborted atomic.Int64

	view         atomic.Pointer[entry.View]
	callers      net.Listener
	peers        net.Listener
	callerConns  *callerConns
	callerServer *http.Server
	// writeBy is when the last answers must be written, once the node was told to leave;
	// nil if that is not known.
	writeBy atomic.Pointer[time.Time]
	// ending ends when Run is to end the node; cancel ends it.
	ending context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

// New opens the node's listeners and creates its components. An address with
// port 0 is replaced by the one that the operating system assigns.
func New(options Options, log logr.Logger) (n *Node, err error) {
	defer util.Annotate(&err, "node %s", options.VM)
	n = &Node{
		options:  options,
		process:  newProcess(),
		log:      log,
		recorder: timeline.NewRecorder(options.VM, log),
		timers:   timer.NewService(),
		platform: platform.NewClient(platform.Config{URL: options.Platform}),
		done:     make(chan struct{}),

		unreadableNotices: newUnreadableNotices(log),
	}
	n.ending, n.cancel = context.WithCancel(context.Background())
	if n.memoryLimit = options.memoryLimit(); n.memoryLimit > 0 {
		n.memory = memory.NewAccount(memory.AccountSize(n.memoryLimit, 1))
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	if err := n.loadKeys(); err != nil {
		return nil, err
	}
	n.buildParts()
	return n, nil
}

func (n *Node) listen() (err error) {
	n.callers, n.options.CallerAddress, err = listen(n.options.CallerListen, n.options.CallerAddress)
	if err != nil {
		return err
	}
	n.peers, n.options.PeerAddress, err = listen(n.options.PeerListen, n.options.PeerAddress)
	if err != nil {
		_ = n.callers.Close()
	}
	return err
}

// listen opens a listener on listenAddress, or on advertised if that is empty,
// and returns the address to advertise.
func listen(listenAddress, advertised string) (listener net.Listener, address string, err error) {
	if listenAddress != "" {
		listener, err = net.Listen("tcp", listenAddress)
		return listener, advertised, errors.WithStack(err)
	}
	listener, err = net.Listen("tcp", advertised)
	if err != nil {
		return nil, "", errors.WithStack(err)
	}
	return listener, listener.Addr().String(), nil
}

func (n *Node) loadKeys() (err error) {
	if n.options.Keys.Certificate == "" {
		n.log.Info("keysMissing", "vm", n.options.VM, "detail", "callers and peers are served without encryption")
		return nil
	}
	n.keys, err = keys.NewStore(n.options.Keys)
	return err
}

// buildParts creates the components in the order of their dependencies.
func (n *Node) buildParts() {
	n.view.Store(&entry.View{})
	var mutualTLS *tls.Config
	if n.keys != nil {
		mutualTLS = n.keys.MutualTLSConfig()
	}
	n.network = peer.NewNetwork(peer.Config{
		VM:       n.options.VM,
		Process:  n.process,
		Clock:    n.recorder.Clock,
		Timers:   n.timers,
		Handler:  n,
		SourceIP: n.peerSourceIP(),
		TLS:      mutualTLS,
		Memory:   n.memory,
		Log:      n.log,

		MaxHandshakes: int(handshakeDescriptorShare * float64(n.MaxDescriptors())),
	})
	n.gates = gate.New(gate.Config{
		VM:          n.options.VM,
		Process:     n.process,
		Recorder:    n.recorder,
		Mode:        n.options.Mode,
		DirectNodes: n.options.DirectNodes,
		Seed:        n.process,
		Memory:      n.memory,
	})
	n.control = newControl(n)
	n.entry = entry.New(entry.Config{
		VM:            n.options.VM,
		Process:       n.process,
		Recorder:      n.recorder,
		Network:       n.network,
		Gates:         n.gates,
		Claims:        claim.NewClaims(n.platform, n.options.VM, n.process),
		View:          n.view.Load,
		Serve:         n.serveBatch,
		ReportFailure: n.control.reportFailedCall,
		Direct:        n.options.Mode == gate.Direct,
		Memory:        n.memory,
		OutcomeMemory: memory.OutcomeLimit(n.memoryLimit),
	})
	n.registry = prometheus.NewRegistry()
	n.registerMetrics()
	n.registry.MustRegister(memoryCollectors(n.memory)...)
	handler := n.handler()
	if n.options.NewAdapter != nil {
		n.quotas = n.newQuotas()
		n.registry.MustRegister(n.quotas.Collectors()...)
		n.adapter = n.options.NewAdapter(n)
		n.registry.MustRegister(n.adapter.Collectors()...)
		handler = n.adapter.Handler()
	}
	n.callerConns = newCallerConns(callerConnsConfig{
		Timeouts: n.callerTimeouts,
		Maximum:  n.maxCallerConns(),
		Timers:   n.timers,
		Log:      n.log,
	})
	n.callerServer = &http.Server{
		Handler:        n.countRequests(handler),
		ReadTimeout:    bodyTimeout,
		IdleTimeout:    serverIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      n.callerConns.stateChanged,
	}
}

// callerTimeouts returns how long a caller may take to send the head of a request, and
// how long its connection may be idle.
func (n *Node) callerTimeouts() (header, idle time.Duration) {
	if n.adapter != nil {
		header, idle = n.adapter.CallerTimeouts()
	}
	if header <= 0 {
		header = headerTimeout
	}
	if idle <= 0 {
		idle = idleTimeout
	}
	return header, idle
}

// defaultDescriptors is assumed if the limit of file descriptors can't be read.
const defaultDescriptors = 1024

// MaxDescriptors returns how many file descriptors the process may have.
func (n *Node) MaxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Memory returns the account of what the node holds for others; nil if it is not bounded.
func (n *Node) Memory() *memory.Account {
	return n.memory
}

// resizeMemory lets the account follow the size of the fleet.
func (n *Node) resizeMemory(members int) {
	n.memory.Resize(memory.AccountSize(n.memoryLimit, members))
}

// maxCallerConns returns how many connections callers may have.
func (n *Node) maxCallerConns() int {
	byDescriptors := int(callerDescriptorShare * float64(n.MaxDescriptors()))
	if n.memoryLimit <= 0 {
		return byDescriptors
	}
	return min(byDescriptors, memory.MaxConnections(n.memoryLimit))
}

// countRequests returns a handler that counts the requests that it passes on.
func (n *Node) countRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.handling.Add(1)
		defer n.handling.Add(-1)
		handler.ServeHTTP(w, r)
	})
}

// peerSourceIP returns the source IP of outgoing peer connections: the IP of
// the peer listener, or nil if that listens on all interfaces.
func (n *Node) peerSourceIP() net.IP {
	address, ok := n.peers.Addr().(*net.TCPAddr)
	if !ok || address.IP.IsUnspecified() {
		return nil
	}
	return address.IP
}

// initialMember returns the node's own entry in the member table at start.
func (n *Node) initialMember() member.Member {
	return member.Member{
		VM:               n.options.VM,
		Incarnation:      firstIncarnation(n.process),
		Revision:         1,
		State:            member.Joining,
		AvailabilityZone: n.options.AvailabilityZone,
		Region:           n.options.Region,
		CallerAddress:    n.options.CallerAddress,
		PeerAddress:      n.options.PeerAddress,
		Capacity:         uint32(n.options.Cores * capacityPerCore),
	}
}

// capacityPerCore converts cores to a member's capacity, which is in
// thousandths of a core.
const capacityPerCore = 1000

// CallerAddress returns the address that callers connect to.
func (n *Node) CallerAddress() string {
	return n.options.CallerAddress
}

// PeerAddress returns the address that other nodes connect to.
func (n *Node) PeerAddress() string {
	return n.options.PeerAddress
}

// View returns the view that the control goroutine published last.
func (n *Node) View() *entry.View {
	return n.view.Load()
}

// Run serves until the context ends or a component fails.
func (n *Node) Run(ctx context.Context) (err error) {
	defer util.Annotate(&err, "node %s", n.options.VM)
	defer close(n.done)
	ctx, cancel := context.WithCancel(ctx)
	defer context.AfterFunc(n.ending, cancel)()
	var group run.Group
	parts := []func(context.Context) error{
		n.timers.Run,
		n.network.Run,
		n.control.run,
		n.callerConns.run,
		func(ctx context.Context) error { return n.network.Serve(ctx, n.peers) },
	}
	if n.adapter != nil {
		parts = append(parts, n.adapter.Run, n.control.peerLoop)
	} else {
		parts = append(parts, n.control.watchLoop, n.control.vmLoop, n.control.statusLoop)
	}
	for _, part := range parts {
		group.Add(func() error { return part(ctx) }, func(error) { cancel() })
	}
	group.Add(n.serveCallers, func(error) { n.stopCallers() })
	err = group.Run()
	n.platform.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (n *Node) serveCallers() error {
	patient := util.NewPatientListener(n.callers, func(err error, pause time.Duration) {
		n.log.Info("callerNotAccepted", "error", err.Error(), "pauseMs", pause.Milliseconds())
	})
	var listener net.Listener = callerListener{Listener: patient, conns: n.callerConns}
	if n.keys != nil {
		listener = tls.NewListener(listener, n.keys.ServerTLSConfig())
	}
	err := n.callerServer.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithStack(err)
}

func (n *Node) stopCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), n.shutdownTime())
	defer cancel()
	n.callerConns.close()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.log.Info("callersCut", "vm", n.options.VM, "inProgress", n.inProgress(), "error", err.Error())
		_ = n.callerServer.Close()
	}
}

// shutdownTime returns how long the last answers may take to be written.
func (n *Node) shutdownTime() time.Duration {
	if writeBy := n.writeBy.Load(); writeBy != nil {
		return min(shutdownTimeout, time.Until(*writeBy))
	}
	return shutdownTimeout
}

// Stop ends the node at once. Requests in progress are answered with what is known of
// them.
func (n *Node) Stop() {
	n.aborted.Store(n.inProgress())
	n.front().AnswerNow(time.Now().Add(n.shutdownTime()))
	n.cancel()
}

// Aborted returns the number of requests that Stop has ended early.
func (n *Node) Aborted() int64 {
	return n.aborted.Load()
}

// Done is closed when Run has returned.
func (n *Node) Done() <-chan struct{} {
	return n.done
}
