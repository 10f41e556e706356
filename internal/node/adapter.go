package node

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/internal/quota"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/member"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// Adapter connects a node to a platform other than the product's own: it reads
// configurations and upstreams, and serves callers in their protocol. The node
// maintains membership, gossips configurations and shuts down gracefully.
type Adapter interface {
	// Run follows the platform's configuration and upstreams until the context
	// ends.
	Run(ctx context.Context) error
	// Handler serves callers.
	Handler() http.Handler
	// Configure applies a configuration. It is called with increasing versions,
	// from one goroutine.
	Configure(version uint64, value []byte) error
	// Ready reports whether callers can be served.
	Ready() bool
	// MarkUpstreamLeaving handles a notice, from this or another node, that an
	// upstream is leaving. It is called from one goroutine.
	MarkUpstreamLeaving(upstream, incarnation string)
	// Upstreams returns what this node knows of the upstreams, to send it to another
	// node. The revision is 0 while this node has not read the store.
	Upstreams() upstream.Snapshot
	// ApplyEvacuated handles a change of the evacuated availability zones, or of the
	// revision as of which they are known. It is called with increasing revisions, from one
	// goroutine, for which it must not wait.
	ApplyEvacuated(upstream.EvacuatedZones)
	// CallerTimeouts returns how long a caller may take to send the head of a request,
	// and how long its connection may be idle; 0 where the configuration says nothing.
	CallerTimeouts() (header, idle time.Duration)
	callerFront
	// Collectors returns the metrics to register.
	Collectors() []prometheus.Collector
}

// Host is the part of a node that its adapter uses.
type Host interface {
	// View returns the view that the node published last, with its members.
	View() *entry.View
	// OfferConfig passes on a configuration read from the platform. It is applied
	// if its version is higher than the current one.
	OfferConfig(version uint64, value []byte)
	// AnnounceLeaving tells the other nodes that an upstream is leaving. The
	// incarnation distinguishes this event from others of the same upstream.
	AnnounceLeaving(upstream, incarnation string)
	// AnnounceEvacuated passes on the evacuated availability zones as read from the store.
	// They are applied, and gossiped, unless later ones are known.
	AnnounceEvacuated(upstream.EvacuatedZones)
	// Evacuated returns the evacuated availability zones that this node knows.
	Evacuated() upstream.EvacuatedZones
	// RequestUpstreams asks a peer for its upstreams if it has a revision of the
	// store later than known; it returns none otherwise.
	RequestUpstreams(ctx context.Context, known upstream.Revision) (upstream.Snapshot, error)
	// WatchesStoreClosely reports whether this node is one of those that must read
	// current data from the store. The others may read stale data, which costs the
	// store less, and get urgent news from their peers.
	WatchesStoreClosely() bool
	// ReportStoreCall reports the outcome of a call to the platform's store; err
	// is nil if it was answered.
	ReportStoreCall(err error)
	// ServeAuxiliary serves an address besides that for callers' requests until the context
	// ends or the address can't be used.
	ServeAuxiliary(ctx context.Context, address string, handler http.Handler) error
	// MaxDescriptors returns how many file descriptors the process may have.
	MaxDescriptors() int
	// Memory returns the account of what the node holds for others; nil if it is not
	// bounded.
	Memory() *memory.Account
	// Quotas returns what keeps the quotas of teams.
	Quotas() *quota.Manager
	// Options returns the node's settings.
	Options() Options
	// Log returns the node's log.
	Log() logr.Logger
	// Registry returns the registry of the node's metrics.
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

// Registry returns the registry of the node's metrics.
func (n *Node) Registry() *prometheus.Registry {
	return n.registry
}

// OfferConfig passes on a configuration read from the platform.
func (n *Node) OfferConfig(version uint64, value []byte) {
	n.control.post(configOffered{version: version, value: value})
}

// configOffered brings a configuration that the adapter read from the platform.
type configOffered struct {
	version uint64
	value   []byte
}

func (e configOffered) apply(_ context.Context, c *control, now time.Time) {
	c.adopt(e.version, e.value)
	if e.version <= c.version.Load() {
		c.configConfirmedAt = now
	}
}

// AnnounceLeaving tells the other nodes that an upstream is leaving.
func (n *Node) AnnounceLeaving(upstream, incarnation string) {
	n.control.announcements.Put(upstreamLeaving{upstream: upstream, incarnation: incarnation})
}

// upstreamLeaving is the adapter's report that an upstream is leaving.
type upstreamLeaving struct {
	upstream    string
	incarnation string
}

// announce tells the other nodes what the adapter has reported.
func (c *control) announce(now time.Time) {
	for _, report := range c.announcements.Take() {
		c.broadcast(now, &wire.Notice{Upstream: report.upstream, Incarnation: report.incarnation, Sequence: uint64(now.UnixNano())})
	}
}

// ErrNoPeer is returned by RequestUpstreams if no ready peer is known.
var ErrNoPeer = errors.New("no peer is known")

// requestUpstreamsTimeout limits a request for upstreams to a peer.
const requestUpstreamsTimeout = 500 * time.Millisecond

// RequestUpstreams asks a peer for its upstreams. It picks a watcher or any ready
// peer at random, because the watchers themselves may be cut off.
func (n *Node) RequestUpstreams(ctx context.Context, known upstream.Revision) (upstreams upstream.Snapshot, err error) {
	defer util.Annotate(&err, "ask a peer for upstreams")
	peer, found := n.randomReadyPeer()
	if !found {
		return upstreams, ErrNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, requestUpstreamsTimeout)
	defer cancel()
	call := &wire.Call{Body: &wire.Call_FetchUpstreams{FetchUpstreams: &wire.FetchUpstreams{KnownRevision: uint64(known)}}}
	answer, err := n.network.CallUnary(ctx, peer.VM, peer.PeerAddress, call)
	if err != nil {
		return upstreams, err
	}
	upstreams, unreadable := snapshotFromWire(answer.GetUpstreams())
	n.unreadableNotices.note(peer.VM, unreadable)
	return upstreams, nil
}

// randomReadyPeer returns a random other member that is ready; half of the time
// it picks among the watchers only.
func (n *Node) randomReadyPeer() (member.Member, bool) {
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

// handleFetchUpstreams sends the upstreams to another node if this node has a
// later revision.
func (n *Node) handleFetchUpstreams(fetch *wire.FetchUpstreams, send func(*wire.Reply) error) {
	upstreams := &wire.Upstreams{}
	if n.adapter != nil {
		if known := n.adapter.Upstreams(); known.Revision > upstream.Revision(fetch.GetKnownRevision()) {
			upstreams = snapshotToWire(known)
		}
	}
	reply(send, &wire.Reply{Body: &wire.Reply_Upstreams{Upstreams: upstreams}})
}

func snapshotToWire(snapshot upstream.Snapshot) *wire.Upstreams {
	notices := make([]*wire.Notice, len(snapshot.Reports))
	for i, report := range snapshot.Reports {
		notices[i] = &wire.Notice{Upstream: report.ID, Incarnation: report.Revision.Encode()}
	}
	return &wire.Upstreams{Revision: uint64(snapshot.Revision), Registrations: registrationsToWire(snapshot.Registrations), Notices: notices}
}

// snapshotFromWire also returns the notices that can't be read, which it leaves out.
func snapshotFromWire(upstreams *wire.Upstreams) (snapshot upstream.Snapshot, unreadable []*wire.Notice) {
	snapshot = upstream.Snapshot{Revision: upstream.Revision(upstreams.GetRevision()), Registrations: registrationsFromWire(upstreams.GetRegistrations())}
	for _, notice := range upstreams.GetNotices() {
		revision, err := upstream.DecodeRevision(notice.GetIncarnation())
		if err != nil {
			unreadable = append(unreadable, notice)
			continue
		}
		snapshot.Reports = append(snapshot.Reports, upstream.LeaveReport{ID: notice.GetUpstream(), Revision: revision})
	}
	return snapshot, unreadable
}

func registrationsToWire(registrations []upstream.Registration) []*wire.Registration {
	converted := make([]*wire.Registration, len(registrations))
	for i, r := range registrations {
		converted[i] = &wire.Registration{
			Id:               r.ID,
			Service:          r.Service,
			Address:          r.Address,
			AvailabilityZone: r.AvailabilityZone,
			Slots:            saturateUint32(int64(r.Slots)),
			Born:             r.Born,
			Leaving:          r.Leaving,
			ColdMillis:       saturateUint32(r.ColdRemaining.Milliseconds()),
		}
	}
	return converted
}

// saturateUint32 converts a value, or returns the nearest one that can be represented.
func saturateUint32(value int64) uint32 {
	return uint32(min(max(value, 0), math.MaxUint32))
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

// WatchesStoreClosely reports whether this node must read current data from the
// store.
func (n *Node) WatchesStoreClosely() bool {
	return n.control.watching.Load()
}

const (
	// recentContactWindow is how recently a peer must have been in contact to be
	// relied on for urgent news.
	recentContactWindow = 1500 * time.Millisecond
	// sufficientRecentPeers is the number of such peers that make watching the
	// store closely unnecessary.
	sufficientRecentPeers = 3
	// watchGracePeriod is how long after its start a node is too young for its contacts
	// to tell whether it can rely on its peers.
	watchGracePeriod = 2 * time.Second
	// watcherSettleTime is how long after its start a node hears of other members
	// before it watches the store closely as the watcher among them.
	watcherSettleTime = 500 * time.Millisecond
	// loneWatcherSettleTime is the same for a node that no peer has been in contact with.
	loneWatcherSettleTime = 1500 * time.Millisecond
)

// updateStoreWatching decides whether a node with an adapter watches the store
// closely: as one of the watchers, or because it has had contact with too few peers
// recently to rely on them for urgent news.
func (c *control) updateStoreWatching(now time.Time) {
	if c.node.adapter == nil {
		return
	}
	c.updateWatcherRole()
	recentContacts := 0
	for _, at := range c.lastContact {
		if now.Sub(at) < recentContactWindow {
			recentContacts++
		}
	}
	c.watching.Store(followsStoreClosely(now.Sub(c.started), c.isWatcher, recentContacts))
}

// followsStoreClosely reports whether a node watches the store closely, given its
// uptime, whether it is a watcher among the members that it knows, and the number of
// peers recently in contact. A node that knows only some members may take itself for a
// watcher, but a watcher never takes itself for none. So somebody watches closely soon
// after a fleet has started at once, and the settle times keep all others from it.
func followsStoreClosely(uptime time.Duration, isWatcher bool, recentContacts int) bool {
	switch {
	case uptime >= watchGracePeriod:
		return isWatcher || recentContacts < sufficientRecentPeers
	case recentContacts > 0:
		return isWatcher && uptime >= watcherSettleTime
	default:
		return isWatcher && uptime >= loneWatcherSettleTime
	}
}

// ReportStoreCall reports the outcome of a call to the platform's store.
func (n *Node) ReportStoreCall(err error) {
	n.control.post(storeCallReported{err: err})
}

// storeCallReported is the outcome of an adapter's call to the platform's store.
type storeCallReported struct {
	err error
}

func (e storeCallReported) apply(_ context.Context, c *control, _ time.Time) {
	c.storeQueried = true
	detail := ""
	if e.err != nil {
		detail = e.err.Error()
	}
	c.recordStoreState(e.err != nil, detail)
}

// peerLoop regularly contacts the peers of the settings that are not live
// members.
func (c *control) peerLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		c.post(missingPeersRequested{})
		util.Sleep(ctx, vmInterval)
	}
	return ctx.Err()
}

// missingPeersRequested asks to contact each peer of the settings that no live
// member has the address of.
type missingPeersRequested struct{}

func (missingPeersRequested) apply(ctx context.Context, c *control, now time.Time) {
	var missing []string
	for _, address := range c.peers {
		if !c.hasLiveMemberAt(address) {
			missing = append(missing, address)
		}
	}
	introductionRequested{addresses: missing}.apply(ctx, c, now)
}

// hasLiveMemberAt reports whether a member that is not dead has the address.
func (c *control) hasLiveMemberAt(address string) bool {
	for _, m := range c.table.Members() {
		if m.PeerAddress == address && m.State != member.Dead {
			return true
		}
	}
	return false
}

// configured reports whether the node has a configuration to serve callers with.
func (c *control) configured() bool {
	if c.node.adapter != nil {
		return c.node.adapter.Ready()
	}
	return c.document != nil
}

// Reload applies the settings that may change while the node runs: the peers.
func (n *Node) Reload(options Options) {
	n.control.post(settingsReloaded{peers: options.Peers})
}

// settingsReloaded brings changed settings.
type settingsReloaded struct {
	peers []string
}

func (e settingsReloaded) apply(_ context.Context, c *control, _ time.Time) {
	c.peers = e.peers
}
