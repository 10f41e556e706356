package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/quota"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/assignment"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/member"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// Intervals and limits of the control goroutine.
const (
	controlInterval = 50 * time.Millisecond
	gossipInterval  = 250 * time.Millisecond
	gateInterval    = 100 * time.Millisecond
	// confirmationInterval is the time between two checks of which peers have been
	// in contact.
	confirmationInterval = 500 * time.Millisecond
	// pauseThreshold is the gap between two ticks that means that the process was
	// suspended, so that its assignment of gates may be out of date.
	pauseThreshold = 1500 * time.Millisecond
	// slowTickGap is the gap between two ticks above which the node counts as slow.
	slowTickGap = 250 * time.Millisecond
	// contactWindow is how long after an exchange a peer counts as in contact.
	contactWindow = 5 * time.Second
	// sufficientContacts is the number of peers in contact within contactWindow that
	// are enough to confirm that the configuration is the newest. In a small cluster
	// half of the peers are enough.
	sufficientContacts = 3
	// joinTimeout is how long a new node waits for peers and the store before it
	// goes on without them.
	joinTimeout = 3 * time.Second
	// eventBacklog is the capacity of the control goroutine's event queue.
	eventBacklog = 1024
)

// event is applied to the state of control by its goroutine.
type event interface {
	apply(ctx context.Context, c *control, now time.Time)
}

// control owns the member table, the configuration and the assignment. Only its
// run goroutine accesses the fields below events, except the atomic ones.
type control struct {
	node   *Node
	events chan event
	// announcements are from the adapter, to which run sends notices itself: neither may
	// wait for the other.
	announcements *util.Mailbox[upstreamLeaving]
	random        *rand.Rand
	// watching is whether the node calls the platform on behalf of others; with an
	// adapter, whether it watches the store closely (see updateStoreWatching). The
	// watch loops read it.
	watching atomic.Bool
	// isWatcher is whether the node is one of the watchers, as of
	// watchersGeneration of the member table.
	isWatcher          bool
	watchersGeneration uint64
	// joining is whether the node is still looking for peers. The VM loop reads it.
	joining atomic.Bool
	// version is the version of the current configuration. It never decreases.
	// The watch loop reads it.
	version atomic.Uint64

	table *member.Table
	// health extends timeouts while this node itself is slow.
	health   member.LocalHealth
	document *document.Document
	// value is the configuration record as stored on the platform.
	value []byte
	// delta is the difference between previousVersion and the current version;
	// nil if there is none.
	delta           *wire.Document
	previousVersion uint64
	// needsFullConfig is set after a delta could not be applied.
	needsFullConfig bool
	services        *assignment.Services
	assigned        *assignment.Table
	// assignedGeneration is the member table's generation at the last assignment.
	assignedGeneration uint64
	// releasedSince is when a service was first seen released that this node is the
	// gate of by its assignment, and nextReview when that is looked at next.
	releasedSince map[string]time.Time
	nextReview    time.Time
	// nextAssignment is the earliest time of the next assignment. It limits the
	// CPU time spent on assignments in a burst of changes.
	nextAssignment time.Time
	// publishedGeneration is the member table's generation of the last view.
	publishedGeneration uint64
	// assignmentTrusted is false from a pause of the process until the next
	// contact with a peer.
	assignmentTrusted bool
	started           time.Time
	lastTick          time.Time
	// lastContact holds the time of the last exchange with each member.
	lastContact map[string]time.Time
	// exchanged is true once there was an exchange with any member, and lastExchange when
	// the last one was, by a clock that goes on during suspensions.
	exchanged    bool
	lastExchange time.Duration
	// quotaView is the view that quotaCluster is of.
	quotaView    *entry.View
	quotaCluster quota.Cluster
	// storeQueried is true once a call to the store has ended, even with an error.
	storeQueried bool
	// configConfirmedAt is when version was last known to be the newest.
	configConfirmedAt time.Time
	pendingContacts   util.Set[string]
	fetching          bool
	nextGossip        time.Time
	nextGates         time.Time
	// nextConfirmation is the time of the next call of updateConfigConfirmed that
	// takes effect.
	nextConfirmation time.Time
	notices          *member.GossipQueue[string, *wire.Notice]
	// vmsListed is true once a list of VMs was handled with a configuration.
	vmsListed atomic.Bool
	// earlyNotices are those that came before the first configuration.
	earlyNotices     []*wire.Notice
	seenNotices      util.Set[string]
	storeUnavailable bool
	// peers are the peer addresses from the settings.
	peers []string
	// evacuated is the set of evacuated availability zones. Its revision never decreases.
	evacuated upstream.EvacuatedZones
	// publishedEvacuated is evacuated for the adapter's goroutines.
	publishedEvacuated atomic.Pointer[upstream.EvacuatedZones]
}

func newControl(n *Node) *control {
	now := time.Now()
	c := &control{
		node:              n,
		events:            make(chan event, eventBacklog),
		announcements:     util.NewMailbox[upstreamLeaving](),
		random:            rand.New(rand.NewPCG(n.process, 2)),
		table:             member.NewTable(n.initialMember(), now),
		assignmentTrusted: true,
		started:           now,
		lastTick:          now,
		releasedSince:     map[string]time.Time{},
		lastContact:       map[string]time.Time{},
		pendingContacts:   util.NewSet[string](),
		notices:           member.NewGossipQueue[string, *wire.Notice](),
		seenNotices:       util.NewSet[string](),
		peers:             n.options.Peers,
	}
	c.joining.Store(true)
	c.watching.Store(n.options.Foreign != nil)
	c.publish()
	return c
}

// post queues an event for the control goroutine.
func (c *control) post(e event) {
	select {
	case c.events <- e:
	case <-c.node.done:
	}
}

// run is the control goroutine.
func (c *control) run(ctx context.Context) error {
	subscription := c.node.timers.Subscribe(controlInterval)
	defer c.node.timers.Cancel(subscription)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.events:
			e.apply(ctx, c, time.Now())
		case <-c.announcements.Ready():
			c.announce(time.Now())
		case tick := <-subscription.C:
			c.tick(ctx, tick.Now)
		}
	}
}

// tick runs the periodic tasks: failure detection, gossip, assignment, gates and
// publishing.
func (c *control) tick(ctx context.Context, now time.Time) {
	c.handlePause(now)
	changed, due := c.table.Tick(now, c.health.TimeoutFactor())
	c.recordMemberChanges(changed)
	for _, suspect := range due {
		c.startFinalProbe(ctx, suspect)
	}
	c.runGossip(ctx, now)
	c.declareReady(now)
	c.runAssignment(ctx)
	c.reviewGates(ctx, now)
	if !now.Before(c.nextGates) {
		c.nextGates = now.Add(gateInterval)
		c.node.gates.Tick(ctx, now)
		c.node.entry.Tick(now)
	}
	c.updateConfigConfirmed(now)
	c.publish()
	c.updateQuotas()
}

// handlePause gives up every gate after the process was suspended for
// pauseThreshold or longer: other nodes have taken them over meanwhile.
func (c *control) handlePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap > slowTickGap {
		c.health.RecordFailure()
		c.node.recorder.Record(timeline.Event{Name: timeline.ProcessPaused, Detail: gap.String()})
	}
	if gap < pauseThreshold {
		return
	}
	c.assignmentTrusted = c.isOnlyLiveMember()
	c.lastContact = map[string]time.Time{}
	if c.assignmentTrusted {
		return
	}
	for _, service := range c.node.gates.AcquiredServices() {
		c.node.gates.StepDown(service)
	}
	c.assigned = nil
}

// isOnlyLiveMember reports whether no other member is known to be alive.
func (c *control) isOnlyLiveMember() bool {
	return c.table.Alive() == 1
}

func (c *control) recordMemberChanges(changed []member.Member) {
	for _, m := range changed {
		c.node.recorder.Record(timeline.Event{
			Name:   timeline.MemberChanged,
			Member: m.VM,
			Detail: m.State.String(),
		})
		if m.State == member.Dead {
			delete(c.lastContact, m.VM)
		}
	}
}

// declareReady makes a joining node ready once it has a configuration and both the
// store and a peer have been asked for a newer one. It does not wait for a peer
// once the store has been asked and no other live member is known, and after
// joinTimeout it waits for neither.
func (c *control) declareReady(now time.Time) {
	if c.table.Self().State != member.Joining {
		return
	}
	waited := now.Sub(c.started) > joinTimeout
	peersAsked := len(c.lastContact) > 0 || waited
	storeAsked := c.storeQueried || waited
	if !c.configured() || !peersAsked && !(c.storeQueried && c.isOnlyLiveMember()) || !storeAsked {
		return
	}
	c.table.SetOwnState(now, member.Ready)
	c.joining.Store(false)
	c.recordMemberChanges([]member.Member{c.table.Self()})
}

// updateConfigConfirmed sets configConfirmedAt to now if the configuration is known
// to be the newest: within contactWindow, sufficientContacts or half of the other
// live members have been in contact, and no fetch of a higher version that a peer
// has is in progress. It also calls updateStoreWatching and removes contacts older
// than contactWindow. It does all this once per confirmationInterval.
func (c *control) updateConfigConfirmed(now time.Time) {
	if now.Before(c.nextConfirmation) {
		return
	}
	c.nextConfirmation = now.Add(confirmationInterval)
	c.updateStoreWatching(now)
	alive, inContact := c.table.Alive()-1, 0
	for vm, at := range c.lastContact {
		if now.Sub(at) >= contactWindow {
			delete(c.lastContact, vm)
			continue
		}
		inContact++
	}
	if alive > 0 && inContact >= min(sufficientContacts, (alive+1)/2) && !c.fetching {
		c.configConfirmedAt = now
	}
}

// publish stores a new view for request handlers if anything in it changed.
func (c *control) publish() {
	old := c.node.view.Load()
	self := c.table.Self()
	if c.publishedGeneration == c.table.Generation() && old.Assignment == c.assigned && old.ConfigConfirmedAt.Equal(c.configConfirmedAt) && old.Document == c.document {
		return
	}
	c.publishedGeneration = c.table.Generation()
	view := &entry.View{
		Document:          c.document,
		ConfigVersion:     c.version.Load(),
		ConfigConfirmedAt: c.configConfirmedAt,
		Assignment:        c.assigned,
		Self:              self,
		Members:           make(map[string]member.Member),
	}
	for _, m := range c.table.Members() {
		view.Members[m.VM] = m
	}
	c.node.resizeMemory(len(view.Members))
	c.node.view.Store(view)
}

// adopt applies a configuration if it is newer than the current one.
func (c *control) adopt(version uint64, value []byte) {
	if version <= c.version.Load() {
		return
	}
	if c.node.adapter != nil {
		c.adoptForeign(version, value)
		return
	}
	record, parsed, err := promotion.ParseRecord(value)
	if err != nil {
		c.node.log.Error(err, "configRefused", "vm", c.node.options.VM, "configVersion", version)
		return
	}
	c.prepareDelta(version, record)
	c.version.Store(version)
	c.document, c.value = parsed, value
	names := make([]string, len(parsed.Services))
	for i, service := range parsed.Services {
		names[i] = service.Name
	}
	c.services = assignment.NewServices(names)
	c.node.gates.Apply(parsed)
	c.applyEarlyNotices()
	c.assigned = nil
	c.node.recorder.Record(timeline.Event{
		Name:          timeline.ConfigApplied,
		ConfigVersion: version,
		Detail:        record.Digest,
	})
}

// adoptForeign applies a configuration of a foreign platform.
func (c *control) adoptForeign(version uint64, value []byte) {
	if err := c.node.adapter.Configure(version, value); err != nil {
		c.node.log.Error(err, "configRefused", "vm", c.node.options.VM, "configVersion", version)
		return
	}
	c.version.Store(version)
	c.value = value
	c.node.recorder.Record(timeline.Event{Name: timeline.ConfigApplied, ConfigVersion: version})
}

// prepareDelta computes the difference between the current text and that of a
// new version, to send to members that still have the current one.
func (c *control) prepareDelta(version uint64, record promotion.Record) {
	c.delta, c.previousVersion = nil, c.version.Load()
	if c.document == nil {
		return
	}
	delta := promotion.ComputeDelta(string(c.document.Text), record.Text)
	record.Text = ""
	bare, err := record.Encode()
	if err != nil {
		return
	}
	c.delta = &wire.Document{
		Version:     version,
		Record:      bare,
		BaseVersion: c.previousVersion,
		Prefix:      uint32(delta.Prefix),
		Suffix:      uint32(delta.Suffix),
		Middle:      []byte(delta.Middle),
	}
}
