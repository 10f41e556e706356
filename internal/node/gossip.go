package node

import (
	"context"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/member"
)

// Limits of gossip.
const (
	exchangeTimeout = 400 * time.Millisecond
	// lastTryTimeout is the patience with a suspect before it is called dead.
	lastTryTimeout = 2 * exchangeTimeout
	fetchTimeout   = 5 * time.Second
	// helperCount is the number of members asked to reach one that does not
	// answer.
	helperCount = 2
	// helperTimeout leaves a helper time for an exchange of its own.
	helperTimeout = 3 * exchangeTimeout
	// farewells is the number of members told at once that the node leaves.
	farewells = 6
	// noticesAtOnce bounds the notices of one exchange.
	noticesAtOnce = 16
)

// runGossip exchanges with one member from time to time.
func (c *control) runGossip(ctx context.Context, now time.Time) {
	if now.Before(c.nextGossip) {
		return
	}
	c.nextGossip = now.Add(gossipInterval)
	if partner, ok := c.table.GossipPartner(c.random); ok {
		c.contact(ctx, partner)
	}
}

// contact starts an exchange with a member, unless one is under way.
func (c *control) contact(ctx context.Context, partner member.Member) {
	if !c.checking.Add(partner.VM) {
		return
	}
	x := &exchange{
		control: c,
		partner: partner,
		message: c.newExchange(),
		helpers: c.table.IndirectProbers(c.random, partner.VM, helperCount),
		timeout: time.Duration(c.health.TimeoutFactor() * float64(exchangeTimeout)),
	}
	go x.run(ctx)
}

func (c *control) newExchange() *wire.Exchange {
	return &wire.Exchange{
		From:          c.node.options.VM,
		Incarnation:   c.node.incarnation,
		Digest:        c.table.Digest(),
		Members:       toWire(c.table.Updates()),
		ConfigVersion: c.version.Load(),
		Notices:       c.notices.NextBatch(noticesAtOnce, len(c.contacts)),
	}
}

// exchange is one round of gossip with one member.
type exchange struct {
	control *control
	partner member.Member
	message *wire.Exchange
	helpers []member.Member
	timeout time.Duration
}

// run does the round and tells the control thread how it ended.
func (x *exchange) run(ctx context.Context) {
	reply, err := x.ask(ctx, x.message)
	if err != nil {
		// The link may have gone silent while a new one would work.
		x.control.node.network.Drop(x.partner.VM)
		reply, err = x.ask(ctx, x.message)
	}
	if err == nil {
		x.control.post(exchanged{partner: x.partner, message: reply})
		return
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	reached := !refused && x.reachedByOthers(ctx)
	if ctx.Err() == nil {
		x.control.post(unreached{vm: x.partner.VM, incarnation: x.partner.Incarnation, byOthers: reached, refused: refused})
	}
}

func (x *exchange) ask(ctx context.Context, message *wire.Exchange) (*wire.Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, x.timeout)
	defer cancel()
	call := &wire.Call{Body: &wire.Call_Exchange{Exchange: message}}
	reply, err := x.control.node.network.Ask(ctx, x.partner.VM, x.partner.PeerAddress, call)
	if err != nil {
		return nil, err
	}
	if reply.GetExchange() == nil {
		return nil, errors.New("no exchange in the reply")
	}
	return reply.GetExchange(), nil
}

// reachedByOthers asks helpers to reach the member.
func (x *exchange) reachedByOthers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, helperTimeout)
	defer cancel()
	for _, helper := range x.helpers {
		call := &wire.Call{Body: &wire.Call_Probe{Probe: &wire.Probe{Vm: x.partner.VM}}}
		reply, err := x.control.node.network.Ask(ctx, helper.VM, helper.PeerAddress, call)
		if err == nil && reply.GetProbeResult().GetReached() {
			return true
		}
	}
	return false
}

// lastTry starts the exchange that decides whether a suspect is called dead.
func (c *control) lastTry(ctx context.Context, suspect member.Member) {
	message := c.newExchange()
	message.Members = append(message.Members, toWire([]member.Member{suspect})...)
	x := &exchange{
		control: c,
		partner: suspect,
		message: message,
		timeout: time.Duration(c.health.TimeoutFactor() * float64(lastTryTimeout)),
	}
	go x.loop(ctx)
}

// loop does the exchange and tells the control thread whether it was answered.
func (x *exchange) loop(ctx context.Context) {
	reply, err := x.ask(ctx, x.message)
	if ctx.Err() == nil {
		x.control.post(tried{partner: x.partner, message: reply, reached: err == nil})
	}
}

// tried tells how the last try with a suspect ended.
type tried struct {
	partner member.Member
	message *wire.Exchange
	reached bool
}

func (e tried) apply(ctx context.Context, c *control, now time.Time) {
	if e.reached {
		c.take(ctx, now, e.message)
	}
	if c.table.RecordFinalProbe(now, e.partner.VM, e.partner.Incarnation, e.reached) {
		m, _ := c.table.Get(e.partner.VM)
		c.noteChanges([]member.Member{m})
	}
}

// exchanged tells that a member answered an exchange.
type exchanged struct {
	partner member.Member
	message *wire.Exchange
}

func (e exchanged) apply(ctx context.Context, c *control, now time.Time) {
	delete(c.checking, e.partner.VM)
	c.health.RecordSuccess()
	c.take(ctx, now, e.message)
	if len(e.message.GetBuckets()) == 0 || e.message.GetDigest() == c.table.Digest() {
		return
	}
	c.checking.Add(e.partner.VM)
	differing := c.table.DifferingBuckets(e.message.GetBuckets())
	message := c.newExchange()
	message.Members = append(message.Members, toWire(c.table.MembersInBuckets(differing))...)
	message.Wanted = differing
	x := &exchange{control: c, partner: e.partner, message: message, timeout: exchangeTimeout}
	go x.run(ctx)
}

// take merges what a member states.
func (c *control) take(ctx context.Context, now time.Time, message *wire.Exchange) {
	changed, stale := c.table.Merge(now, fromWire(message.GetMembers()))
	if stale {
		// The newer process is the VM now: this one must end.
		c.table.SetOwnState(now, member.Dead)
	}
	c.noteChanges(changed)
	c.contacts[message.GetFrom()] = now
	c.trusted = true
	for _, notice := range message.GetNotices() {
		c.notice(now, notice)
	}
	if message.GetConfigVersion() > c.version.Load() {
		c.fetch(ctx, message.GetFrom())
	}
}

// notice takes over news that an upstream or a VM of the system leaves and
// passes them on. A node that hears it of itself is no longer named and no
// longer a gate; it serves on until it is told to end.
func (c *control) notice(now time.Time, notice *wire.Notice) {
	if !c.noticed.Add(notice.GetUpstream() + "\x00" + notice.GetIncarnation()) {
		return
	}
	c.notices.Put(notice.GetUpstream(), notice)
	own := c.table.Self()
	if notice.GetUpstream() == own.PeerAddress && notice.GetIncarnation() == strconv.FormatUint(own.Incarnation, 10) {
		c.table.SetOwnState(now, member.Leaving)
	}
	if c.node.adapter != nil {
		c.node.adapter.MarkUpstreamLeaving(notice.GetUpstream(), notice.GetIncarnation())
		return
	}
	c.node.gates.Notice(notice.GetUpstream(), notice.GetIncarnation())
}

// unreached tells that a member did not answer an exchange.
type unreached struct {
	vm          string
	incarnation uint64
	byOthers    bool
	// refused is true if the VM answers that no process listens.
	refused bool
}

func (e unreached) apply(_ context.Context, c *control, now time.Time) {
	delete(c.checking, e.vm)
	if !e.refused {
		c.health.RecordFailure()
	}
	m, found := c.table.Get(e.vm)
	if e.byOthers || !found || m.Incarnation != e.incarnation {
		return
	}
	if c.table.Suspect(now, e.vm, e.refused) {
		m, _ = c.table.Get(e.vm)
		c.noteChanges([]member.Member{m})
	}
}

// received is an exchange that another member began.
type received struct {
	message *wire.Exchange
	reply   chan *wire.Exchange
}

func (e received) apply(ctx context.Context, c *control, now time.Time) {
	c.take(ctx, now, e.message)
	reply := c.newExchange()
	if wanted := e.message.GetWanted(); len(wanted) > 0 {
		reply.Members = append(reply.Members, toWire(c.table.MembersInBuckets(wanted))...)
	} else if reply.Digest != e.message.GetDigest() {
		reply.Buckets = c.table.BucketHashes()
	}
	e.reply <- reply
}

// lost tells the control thread that a member failed under a call.
func (c *control) lost(vm string) {
	c.post(failed{vm: vm})
}

// failed asks for an exchange with a member that failed under a call.
type failed struct {
	vm string
}

func (e failed) apply(ctx context.Context, c *control, _ time.Time) {
	if m, found := c.table.Get(e.vm); found && m.State != member.Dead {
		c.contact(ctx, m)
	}
}

// fetch asks a member for its configuration.
func (c *control) fetch(ctx context.Context, vm string) {
	m, found := c.table.Get(vm)
	if !found || c.fetching {
		return
	}
	c.fetching = true
	known := c.version.Load()
	if c.wantWhole {
		known = 0
	}
	c.wantWhole = false
	go c.fetchLoop(ctx, m, known)
}

func (c *control) fetchLoop(ctx context.Context, m member.Member, known uint64) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	call := &wire.Call{Body: &wire.Call_Fetch{Fetch: &wire.Fetch{KnownVersion: known}}}
	reply, err := c.node.network.Ask(ctx, m.VM, m.PeerAddress, call)
	if err != nil {
		c.post(fetched{})
		return
	}
	c.post(fetched{document: reply.GetDocument()})
}

// fetched is the end of a fetch; without a document if it failed.
type fetched struct {
	document *wire.Document
}

func (e fetched) apply(_ context.Context, c *control, _ time.Time) {
	c.fetching = false
	if e.document.GetBaseVersion() == 0 {
		c.adopt(e.document.GetVersion(), e.document.GetRecord())
		return
	}
	if e.document.GetBaseVersion() != c.version.Load() {
		return
	}
	delta := promotion.Delta{
		Prefix: int(e.document.GetPrefix()),
		Suffix: int(e.document.GetSuffix()),
		Middle: string(e.document.GetMiddle()),
	}
	value, err := delta.Apply(e.document.GetRecord(), string(c.document.Text))
	if err != nil {
		c.wantWhole = true
		c.node.log.Error(err, "configDeltaRefused", "vm", c.node.options.VM, "configVersion", e.document.GetVersion())
		return
	}
	c.adopt(e.document.GetVersion(), value)
}

// wanted asks the control thread for the configuration, to send it to a member
// that has the known version.
type wanted struct {
	known uint64
	reply chan *wire.Document
}

func (e wanted) apply(_ context.Context, c *control, _ time.Time) {
	if e.known != 0 && e.known == c.previousVersion && c.delta != nil {
		e.reply <- c.delta
		return
	}
	e.reply <- &wire.Document{Version: c.version.Load(), Record: c.value}
}

// leave makes the node a leaving one.
func (c *control) leave() {
	c.post(leaving{})
}

// leaving is the node's own wish to leave.
type leaving struct{}

func (leaving) apply(ctx context.Context, c *control, now time.Time) {
	c.table.SetOwnState(now, member.Leaving)
	for range farewells {
		if partner, ok := c.table.GossipPartner(c.random); ok {
			c.contact(ctx, partner)
		}
	}
}

func toWire(members []member.Member) []*wire.Member {
	converted := make([]*wire.Member, len(members))
	for i, m := range members {
		converted[i] = &wire.Member{
			Vm:               m.VM,
			Incarnation:      m.Incarnation,
			Revision:         m.Revision,
			State:            uint32(m.State),
			AvailabilityZone: m.AvailabilityZone,
			Region:           m.Region,
			CallerAddress:    m.CallerAddress,
			PeerAddress:      m.PeerAddress,
			Capacity:         m.Capacity,
		}
	}
	return converted
}

func fromWire(members []*wire.Member) []member.Member {
	converted := make([]member.Member, 0, len(members))
	for _, m := range members {
		if m.GetVm() == "" || m.GetState() > uint32(member.Dead) {
			continue
		}
		converted = append(converted, member.Member{
			VM:               m.GetVm(),
			Incarnation:      m.GetIncarnation(),
			Revision:         m.GetRevision(),
			State:            member.State(m.GetState()),
			AvailabilityZone: m.GetAvailabilityZone(),
			Region:           m.GetRegion(),
			CallerAddress:    m.GetCallerAddress(),
			PeerAddress:      m.GetPeerAddress(),
			Capacity:         m.GetCapacity(),
		})
	}
	return converted
}

func (c *control) recordStore(lost bool, detail string) {
	if c.storeLost == lost {
		return
	}
	c.storeLost = lost
	name := timeline.StoreFound
	if lost {
		name = timeline.StoreLost
	}
	c.node.recorder.Record(timeline.Event{Name: name, Detail: detail})
}
