package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/member"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// Adapter connects a node to a platform other than the product's own: it brings
// in configuration and upstreams, and serves callers in their protocol. The node
// keeps members, spreads configurations between them and leaves in peace.
type Adapter interface {
	// Run brings in what the platform knows until the context ends.
	Run(ctx context.Context) error
	// Handler serves callers.
	Handler() http.Handler
	// Configure puts a configuration in force. It is called with versions that
	// rise, by one goroutine.
	Configure(version uint64, value []byte) error
	// Ready reports whether callers can be served.
	Ready() bool
	// NoteLeaving takes in that another node has learnt that an upstream leaves.
	// It is called by one goroutine.
	MarkUpstreamLeaving(upstream, incarnation string)
	// Registrations returns the upstreams as of a revision of the store, to tell
	// them to another node; 0 if this node can't vouch for them.
	Registrations() (revision uint64, registrations []upstream.Registration)
	// Leave makes answers tell callers to connect elsewhere.
	Leave()
	// InProgress returns the number of requests without an answer.
	InProgress() int64
	// Collectors returns the metrics to register.
	Collectors() []prometheus.Collector
}

// Host is what a node does for its adapter.
type Host interface {
	// View returns the members and what else control published last.
	View() *entry.View
	// OfferConfig hands over a configuration that the platform holds. It is put
	// in force if its version is higher than that of the present one.
	OfferConfig(version uint64, value []byte)
	// SpreadLeaving tells the other nodes that an upstream leaves. The
	// incarnation tells this event from others of the same upstream.
	AnnounceLeaving(upstream, incarnation string)
	// AskUpstreams asks a peer for the upstreams that it knows of as of a later
	// revision of the store; without any if it knows none.
	RequestUpstreams(ctx context.Context, known uint64) (revision uint64, registrations []upstream.Registration, err error)
	// Watching reports whether this node is one of those that follow the store
	// closely; the others hear of what is urgent from their peers.
	IsWatchingStore() bool
	// NoteStore tells whether the last call on the platform's store was answered.
	ReportStoreCall(err error)
	// Options returns the node's settings.
	Options() Options
	// Log is the node's log.
	Log() logr.Logger
	// Registry gathers the node's metrics.
	Registry() *prometheus.Registry
}

var _ Host = (*Node)(nil)

// Options returns the node's settings.
func (n *Node) Options() Options {
	return n.options
}

// Log returns the node's log.
func (n *Node) Log() logr.Logger {
	return n.log
}

// Registry returns the node's metrics.
func (n *Node) Registry() *prometheus.Registry {
	return n.registry
}

// OfferConfig hands over a configuration that the platform holds.
func (n *Node) OfferConfig(version uint64, value []byte) {
	n.control.post(configOffered{version: version, value: value})
}

// configOffered is a configuration that the platform holds.
type configOffered struct {
	version uint64
	value   []byte
}

func (e configOffered) apply(_ context.Context, c *control, now time.Time) {
	c.adopt(e.version, e.value)
	if e.version <= c.version.Load() {
		c.confirmed = now
	}
}

// SpreadLeaving tells the other nodes that an upstream leaves.
func (n *Node) AnnounceLeaving(upstream, incarnation string) {
	n.control.post(upstreamLeaves{upstream: upstream, incarnation: incarnation})
}

// upstreamLeaves is news from the store that an upstream leaves.
type upstreamLeaves struct {
	upstream    string
	incarnation string
}

func (e upstreamLeaves) apply(_ context.Context, c *control, now time.Time) {
	c.notice(now, &wire.Notice{Upstream: e.upstream, Incarnation: e.incarnation, Sequence: uint64(now.UnixNano())})
}

// ErrAlone means that there is no peer to ask.
var ErrNoPeer = errors.New("no peer is known")

// askTimeout bounds a question to a peer.
const askTimeout = 500 * time.Millisecond

// AskUpstreams asks a peer for the upstreams that it knows of: one of those that
// follow the store closely, or any other, as it may be those that are cut off.
func (n *Node) RequestUpstreams(ctx context.Context, known uint64) (revision uint64, registrations []upstream.Registration, err error) {
	defer util.Annotate(&err, "ask a peer for upstreams")
	peer, found := n.informedPeer()
	if !found {
		return 0, nil, ErrNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	call := &wire.Call{Body: &wire.Call_FetchUpstreams{FetchUpstreams: &wire.FetchUpstreams{KnownRevision: known}}}
	answer, err := n.network.Ask(ctx, peer.VM, peer.PeerAddress, call)
	if err != nil {
		return 0, nil, err
	}
	return answer.GetUpstreams().GetRevision(), registrationsFromWire(answer.GetUpstreams().GetRegistrations()), nil
}

// informedPeer returns another member that is ready, every other time one of
// those that follow the store closely.
func (n *Node) informedPeer() (member.Member, bool) {
	members := slices.Collect(maps.Values(n.View().Members))
	if rand.IntN(2) == 0 {
		members = member.Watchers(members)
	}
	peers := slices.DeleteFunc(members, func(m member.Member) bool {
		return m.State != member.Ready || m.VM == n.options.VM
	})
	if len(peers) == 0 {
		return member.Member{}, false
	}
	return peers[rand.IntN(len(peers))], true
}

// handleFetchUpstreams tells another node of the upstreams.
func (n *Node) handleFetchUpstreams(fetch *wire.FetchUpstreams, send func(*wire.Reply) error) {
	upstreams := &wire.Upstreams{}
	if n.adapter != nil {
		revision, registrations := n.adapter.Registrations()
		if revision > fetch.GetKnownRevision() {
			upstreams = &wire.Upstreams{Revision: revision, Registrations: registrationsToWire(registrations)}
		}
	}
	reply(send, &wire.Reply{Body: &wire.Reply_Upstreams{Upstreams: upstreams}})
}

func registrationsToWire(registrations []upstream.Registration) []*wire.Registration {
	converted := make([]*wire.Registration, len(registrations))
	for i, r := range registrations {
		converted[i] = &wire.Registration{
			Id:               r.ID,
			Service:          r.Service,
			Address:          r.Address,
			AvailabilityZone: r.AvailabilityZone,
			Slots:            uint32(r.Slots),
			Born:             r.Born,
			Leaving:          r.Leaving,
			ColdMillis:       uint32(r.ColdRemaining.Milliseconds()),
		}
	}
	return converted
}

func registrationsFromWire(registrations []*wire.Registration) []upstream.Registration {
	converted := make([]upstream.Registration, len(registrations))
	for i, r := range registrations {
		converted[i] = upstream.Registration{
			ID:               r.GetId(),
			Service:          r.GetService(),
			Address:          r.GetAddress(),
			AvailabilityZone: r.GetAvailabilityZone(),
			Slots:            int(r.GetSlots()),
			Born:             r.GetBorn(),
			Leaving:          r.GetLeaving(),
			ColdRemaining:    time.Duration(r.GetColdMillis()) * time.Millisecond,
		}
	}
	return converted
}

// Watching reports whether this node follows the store closely.
func (n *Node) IsWatchingStore() bool {
	return n.control.watching.Load()
}

const (
	// hearingWindow is how recently a peer must have been heard to be relied on
	// for urgent news.
	hearingWindow = 1500 * time.Millisecond
	// hearingPeers is the number of such peers that are enough.
	hearingPeers = 3
	// settleTime is how long after its start a node does not judge whether it can
	// rely on its peers; it has just read the store.
	settleTime = 2 * time.Second
)

// updateWatching decides whether the node follows the store closely: as one of
// the watchers of its availability zone, or because it can't rely on its peers.
func (c *control) updateWatching(now time.Time) {
	if c.node.adapter == nil {
		return
	}
	c.chooseWatchers()
	heard := 0
	for _, at := range c.contacts {
		if now.Sub(at) < hearingWindow {
			heard++
		}
	}
	c.watching.Store(followsClosely(now.Sub(c.started), c.chosen, heard))
}

// followsClosely decides whether a node that runs for the time, is one of the
// watchers or not, and has just heard the number of peers follows the store
// closely. It answers the load of a fleet whose nodes all start at once.
func followsClosely(running time.Duration, chosen bool, heard int) bool {
	return running >= settleTime && (chosen || heard < hearingPeers)
}

// NoteStore tells whether the last call on the platform's store was answered.
func (n *Node) ReportStoreCall(err error) {
	n.control.post(storeNoted{err: err})
}

// storeNoted tells whether a call on the platform's store was answered.
type storeNoted struct {
	err error
}

func (e storeNoted) apply(_ context.Context, c *control, _ time.Time) {
	c.storeTried = true
	detail := ""
	if e.err != nil {
		detail = e.err.Error()
	}
	c.recordStore(e.err != nil, detail)
}

// peerLoop looks for peers while the node knows of none.
func (c *control) peerLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		c.post(peersMissed{})
		util.Sleep(ctx, vmInterval)
	}
	return ctx.Err()
}

// peersMissed asks for links to the peers of the settings if the node knows of
// fewer members than those.
type peersMissed struct{}

func (peersMissed) apply(ctx context.Context, c *control, now time.Time) {
	var missing []string
	for _, address := range c.peers {
		if !c.reachable(address) {
			missing = append(missing, address)
		}
	}
	peersWanted{addresses: missing}.apply(ctx, c, now)
}

// reachable reports whether a member that is not dead has the address.
func (c *control) reachable(address string) bool {
	for _, m := range c.table.Members() {
		if m.PeerAddress == address && m.State != member.Dead {
			return true
		}
	}
	return false
}

// configured reports whether the node has a configuration to serve by.
func (c *control) configured() bool {
	if c.node.adapter != nil {
		return c.node.adapter.Ready()
	}
	return c.document != nil
}

// Reload takes over the settings that may change while the node runs: the peers.
func (n *Node) Reload(options Options) {
	n.control.post(reloaded{peers: options.Peers})
}

// reloaded brings settings that have changed.
type reloaded struct {
	peers []string
}

func (e reloaded) apply(_ context.Context, c *control, _ time.Time) {
	c.peers = e.peers
}
