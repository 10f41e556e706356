package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/entry"
	"github.com/bronzereach/bronzereach/internal/gate"
	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/assignment"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/member"
)

// Intervals of the control thread.
const (
	controlInterval = 50 * time.Millisecond
	gossipInterval  = 250 * time.Millisecond
	gateInterval    = 100 * time.Millisecond
	// confirmInterval is the time between two looks at who has been heard.
	confirmInterval = 500 * time.Millisecond
	// pauseLimit is the gap between two ticks after which the process must have
	// been stopped for a while and no longer knows who is a gate.
	pauseLimit = 1500 * time.Millisecond
	// assignmentShare is how many times longer than an assignment took the next
	// one waits: 1 in 50 is 2% of a core.
	assignmentShare = 50
	// lateTick is the gap between two ticks from which the node is slow.
	lateTick = 250 * time.Millisecond
	// contactWindow is how long an exchange counts as having heard a peer.
	contactWindow = 5 * time.Second
	// enoughContacts bounds how many peers must be heard in the window.
	enoughContacts = 3
	// joinPatience is how long a new node looks for peers before it goes on
	// without them.
	joinPatience = 3 * time.Second
	// eventBacklog is the number of events that wait for the control thread.
	eventBacklog = 1024
)

// event is something that the control thread takes in.
type event interface {
	apply(ctx context.Context, c *control, now time.Time)
}

// control owns the members, the configuration and the assignment. Only its run
// goroutine touches the fields below events.
type control struct {
	node   *Node
	events chan event
	random *rand.Rand
	// watching is read by the watch loops: whether the node is one of those of
	// its availability zone that call the platform.
	watching atomic.Bool
	// chosen is true if it is, as of the members' generation watchersAt.
	chosen     bool
	watchersAt uint64
	// joining is read by the VM loop: whether the node still looks for peers.
	joining atomic.Bool
	// version is read by the watch loop. It never falls.
	version atomic.Uint64

	table *member.Table
	// health lengthens timeouts while the node itself is slow.
	health   member.LocalHealth
	document *document.Document
	// value is the configuration record as the platform holds it.
	value []byte
	// delta leads from previousVersion to the present one; nil if there is none.
	delta           *wire.Document
	previousVersion uint64
	// wantWhole is true after a delta that did not fit.
	wantWhole bool
	services  *assignment.Services
	assigned  *assignment.Table
	// generation is the table's as of the last assignment.
	generation uint64
	// nextAssignment keeps assignments to a share of the time in a burst of
	// changes.
	nextAssignment time.Time
	// published is the table's generation as of the last view.
	published uint64
	// trusted is false after a pause until a peer has been heard again.
	trusted  bool
	started  time.Time
	lastTick time.Time
	// contacts holds when each member was last heard.
	contacts   map[string]time.Time
	storeTried bool
	// confirmed is when version was last known to be the newest.
	confirmed  time.Time
	checking   util.Set[string]
	fetching   bool
	nextGossip time.Time
	nextGates  time.Time
	// nextConfirm is when the contacts are looked at next.
	nextConfirm time.Time
	notices     *member.GossipQueue[string, *wire.Notice]
	noticed     util.Set[string]
	storeLost   bool
	// peers are the addresses of the settings.
	peers []string
}

func newControl(n *Node) *control {
	now := time.Now()
	c := &control{
		node:     n,
		events:   make(chan event, eventBacklog),
		random:   rand.New(rand.NewPCG(n.incarnation, 2)),
		table:    member.NewTable(n.self(), now),
		trusted:  true,
		started:  now,
		lastTick: now,
		contacts: map[string]time.Time{},
		checking: util.NewSet[string](),
		notices:  member.NewGossipQueue[string, *wire.Notice](),
		noticed:  util.NewSet[string](),
		peers:    n.options.Peers,
	}
	c.joining.Store(true)
	c.watching.Store(n.options.Foreign != nil)
	c.publish()
	return c
}

// post hands an event to the control thread.
func (c *control) post(e event) {
	select {
	case c.events <- e:
	case <-c.node.done:
	}
}

// run is the control thread.
func (c *control) run(ctx context.Context) error {
	subscription := c.node.timers.Subscribe(controlInterval)
	defer c.node.timers.Cancel(subscription)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.events:
			e.apply(ctx, c, time.Now())
		case tick := <-subscription.C:
			if err := c.tick(ctx, tick.Now); err != nil {
				return err
			}
		}
	}
}

// tick runs the systems over the tables.
func (c *control) tick(ctx context.Context, now time.Time) error {
	c.notePause(now)
	changed, due := c.table.Tick(now, c.health.TimeoutFactor())
	c.noteChanges(changed)
	for _, suspect := range due {
		c.lastTry(ctx, suspect)
	}
	c.runGossip(ctx, now)
	c.runJoin(now)
	c.runAssignment(ctx)
	if !now.Before(c.nextGates) {
		c.nextGates = now.Add(gateInterval)
		c.node.gates.Tick(ctx, now)
		c.node.entry.Tick(now)
	}
	c.confirm(now)
	c.publish()
	if c.table.Self().State == member.Dead {
		return errors.New("another process has started under this VM's name")
	}
	return nil
}

// notePause gives up every gate after the process has been stopped for a
// while: others have taken them over meanwhile.
func (c *control) notePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap > lateTick {
		c.health.RecordFailure()
	}
	if gap < pauseLimit {
		return
	}
	c.trusted = c.alone()
	c.contacts = map[string]time.Time{}
	if c.trusted {
		return
	}
	for _, service := range c.node.gates.AcquiredServices() {
		c.node.gates.StepDown(service)
	}
	c.assigned = nil
}

// alone reports whether no other member is known to be alive.
func (c *control) alone() bool {
	return c.table.Alive() == 1
}

func (c *control) noteChanges(changed []member.Member) {
	for _, m := range changed {
		c.node.recorder.Record(timeline.Event{
			Name:   timeline.MemberChanged,
			Member: m.VM,
			Detail: m.State.String(),
		})
		if m.State == member.Dead {
			delete(c.contacts, m.VM)
		}
	}
}

// runJoin declares the node ready once it has a configuration that both the
// store and its peers have been asked for.
func (c *control) runJoin(now time.Time) {
	if c.table.Self().State != member.Joining {
		return
	}
	waited := now.Sub(c.started) > joinPatience
	peersAsked := len(c.contacts) > 0 || waited
	storeAsked := c.storeTried || waited
	if !c.configured() || !peersAsked && !(c.storeTried && c.alone()) || !storeAsked {
		return
	}
	c.table.SetOwnState(now, member.Ready)
	c.joining.Store(false)
	c.noteChanges([]member.Member{c.table.Self()})
}

// runAssignment computes who is the gate of each service after a change, and
// takes over and gives up services.
func (c *control) runAssignment(ctx context.Context) {
	if c.document == nil || !c.trusted || c.assigned != nil && c.generation == c.table.Generation() {
		return
	}
	start := time.Now()
	if start.Before(c.nextAssignment) {
		return
	}
	c.generation = c.table.Generation()
	before := c.assigned
	c.assigned = assignment.Compute(c.eligible(), c.services)
	c.chooseWatchers()
	for _, service := range c.document.Services {
		c.assign(ctx, service.Name, before)
	}
	c.nextAssignment = start.Add(assignmentShare * time.Since(start))
}

func (c *control) assign(ctx context.Context, service string, before *assignment.Table) {
	own := c.node.options.VM
	if c.node.options.Mode == gate.Direct {
		c.node.gates.Acquire(ctx, service, nil)
		return
	}
	if c.assigned.Gate(service) != own {
		c.node.gates.StepDown(service)
		return
	}
	c.node.gates.Acquire(ctx, service, c.predecessor(service, before))
}

// predecessor returns how to ask the previous gate of a service to release it;
// nil if there is none alive.
func (c *control) predecessor(service string, before *assignment.Table) gate.ReleasePredecessor {
	previous := before.Gate(service)
	if previous == "" {
		// A new node does not know who was the gate: whoever would be without it.
		previous = c.assigned.Standby(service)
	}
	m, found := c.table.Get(previous)
	if !found || previous == c.node.options.VM || m.State == member.Dead {
		return nil
	}
	return func(ctx context.Context) ([]*wire.InFlight, error) {
		call := &wire.Call{Body: &wire.Call_Release{Release: &wire.Release{Service: service}}}
		reply, err := c.node.network.Ask(ctx, m.VM, m.PeerAddress, call)
		if err != nil {
			return nil, err
		}
		return reply.GetReleased().GetInFlight(), nil
	}
}

// eligible lists the members that may be gates.
func (c *control) eligible() []string {
	own := c.table.Self()
	var names []string
	for _, m := range c.table.Members() {
		if m.Region == own.Region && (m.State == member.Ready || m.State == member.Suspect) {
			names = append(names, m.VM)
		}
	}
	return names
}

// confirm notes whether the node can know that its configuration is the
// newest: it has heard enough peers, and none of them had a higher version.
func (c *control) confirm(now time.Time) {
	if now.Before(c.nextConfirm) {
		return
	}
	c.nextConfirm = now.Add(confirmInterval)
	c.updateWatching(now)
	alive, heard := c.table.Alive()-1, 0
	for vm, at := range c.contacts {
		if now.Sub(at) >= contactWindow {
			delete(c.contacts, vm)
			continue
		}
		heard++
	}
	if alive > 0 && heard >= min(enoughContacts, (alive+1)/2) && !c.fetching {
		c.confirmed = now
	}
}

// publish makes the tables visible to traffic.
func (c *control) publish() {
	old := c.node.view.Load()
	self := c.table.Self()
	if c.published == c.table.Generation() && old.Assignment == c.assigned && old.ConfigConfirmedAt.Equal(c.confirmed) && old.Document == c.document {
		return
	}
	c.published = c.table.Generation()
	view := &entry.View{
		Document:          c.document,
		ConfigVersion:     c.version.Load(),
		ConfigConfirmedAt: c.confirmed,
		Assignment:        c.assigned,
		Self:              self,
		Members:           make(map[string]member.Member),
	}
	for _, m := range c.table.Members() {
		view.Members[m.VM] = m
	}
	c.node.view.Store(view)
}

// adopt puts a configuration in force if it is newer than the present one.
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
	c.keepDelta(version, record)
	c.version.Store(version)
	c.document, c.value = parsed, value
	names := make([]string, len(parsed.Services))
	for i, service := range parsed.Services {
		names[i] = service.Name
	}
	c.services = assignment.NewServices(names)
	c.node.gates.Apply(parsed)
	c.assigned = nil
	c.node.recorder.Record(timeline.Event{
		Name:          timeline.ConfigApplied,
		ConfigVersion: version,
		Detail:        record.Digest,
	})
}

// adoptForeign puts a configuration of another platform in force.
func (c *control) adoptForeign(version uint64, value []byte) {
	if err := c.node.adapter.Configure(version, value); err != nil {
		c.node.log.Error(err, "configRefused", "vm", c.node.options.VM, "configVersion", version)
		return
	}
	c.version.Store(version)
	c.value = value
	c.node.recorder.Record(timeline.Event{Name: timeline.ConfigApplied, ConfigVersion: version})
}

// keepDelta remembers how the text in force becomes that of a new version, for
// the members that still have the old one.
func (c *control) keepDelta(version uint64, record promotion.Record) {
	c.delta, c.previousVersion = nil, c.version.Load()
	if c.document == nil {
		return
	}
	delta := promotion.Difference(string(c.document.Text), record.Text)
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
