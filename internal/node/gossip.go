package node

import (
	"context"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/promotion"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/timer"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/member"
)

// Limits of gossip.
const (
	exchangeTimeout = 400 * time.Millisecond
	// finalProbeTimeout limits the final probe, the last exchange with a suspect
	// before it is declared dead.
	finalProbeTimeout = 2 * exchangeTimeout
	fetchTimeout      = 5 * time.Second
	// helperCount is the number of members asked to probe a member that does not
	// answer.
	helperCount = 2
	// helperTimeout leaves the helper enough time for its own exchange.
	helperTimeout = 3 * exchangeTimeout
	// immediateExchanges is the number of exchanges started at once when the node
	// leaves, has a newly promoted document or learns which zones are evacuated.
	immediateExchanges = 6
	// sharedNameRejoins is the number of rejoins in a row from which on another process
	// seems to run under the same VM name.
	sharedNameRejoins = 5
)

// runGossip starts an exchange with one member every gossipInterval.
func (c *control) runGossip(ctx context.Context, now time.Time) {
	if now.Before(c.nextGossip) {
		return
	}
	c.nextGossip = now.Add(gossipInterval)
	if partner, ok := c.table.GossipPartner(c.random); ok {
		c.startExchange(ctx, partner)
	}
}

// startExchange starts an exchange with a member, unless one is in progress.
func (c *control) startExchange(ctx context.Context, partner member.Member) {
	if !c.pendingContacts.Add(partner.VM) {
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
		Incarnation:   c.table.Self().Incarnation,
		Digest:        c.table.Digest(),
		Members:       membersToWire(c.table.Updates()),
		ConfigVersion: c.version.Load(),
		Notices:       c.notices.NextBatch(member.MaxNotices, c.table.Alive()),
		Evacuated:     evacuatedToWire(c.evacuated),
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

// run performs the exchange and posts its outcome to the control goroutine.
func (x *exchange) run(ctx context.Context) {
	reply, err := x.sendExchange(ctx, x.message)
	if err != nil {
		// The connection may be dead while a new one would work.
		x.control.node.network.Retire(x.partner.VM)
		reply, err = x.sendExchange(ctx, x.message)
	}
	if err == nil {
		x.control.post(exchangeSucceeded{partner: x.partner, message: reply})
		return
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	reached := !refused && x.reachedByHelper(ctx)
	if ctx.Err() == nil {
		x.control.post(exchangeFailed{vm: x.partner.VM, incarnation: x.partner.Incarnation, helperReached: reached, refused: refused})
	}
}

func (x *exchange) sendExchange(ctx context.Context, message *wire.Exchange) (*wire.Exchange, error) {
	ctx, cancel := context.WithTimeout(ctx, x.timeout)
	defer cancel()
	call := &wire.Call{Body: &wire.Call_Exchange{Exchange: message}}
	reply, err := x.control.node.network.CallUnary(ctx, x.partner.VM, x.partner.PeerAddress, call)
	if err != nil {
		return nil, err
	}
	if reply.GetExchange() == nil {
		return nil, errors.New("no exchange in the reply")
	}
	return reply.GetExchange(), nil
}

// reachedByHelper asks helpers to probe the member.
func (x *exchange) reachedByHelper(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, helperTimeout)
	defer cancel()
	for _, helper := range x.helpers {
		call := &wire.Call{Body: &wire.Call_Probe{Probe: &wire.Probe{Vm: x.partner.VM}}}
		reply, err := x.control.node.network.CallUnary(ctx, helper.VM, helper.PeerAddress, call)
		if err == nil && reply.GetProbeResult().GetReached() {
			return true
		}
	}
	return false
}

// startFinalProbe starts the final probe: the exchange that decides whether a
// suspect is declared dead.
func (c *control) startFinalProbe(ctx context.Context, suspect member.Member) {
	message := c.newExchange()
	message.Members = append(message.Members, membersToWire([]member.Member{suspect})...)
	x := &exchange{
		control: c,
		partner: suspect,
		message: message,
		timeout: time.Duration(c.health.TimeoutFactor() * float64(finalProbeTimeout)),
	}
	go x.loop(ctx)
}

// loop performs the final probe and posts its outcome to the control goroutine.
func (x *exchange) loop(ctx context.Context) {
	reply, err := x.sendExchange(ctx, x.message)
	if ctx.Err() == nil {
		x.control.post(finalProbeFinished{partner: x.partner, message: reply, reached: err == nil})
	}
}

// finalProbeFinished is the outcome of the final probe of a suspect.
type finalProbeFinished struct {
	partner member.Member
	message *wire.Exchange
	reached bool
}

func (e finalProbeFinished) apply(ctx context.Context, c *control, now time.Time) {
	if e.reached {
		c.mergeExchange(ctx, now, e.message)
	}
	if c.table.RecordFinalProbe(now, e.partner.VM, e.partner.Incarnation, e.reached) {
		m, _ := c.table.Get(e.partner.VM)
		c.recordMemberChanges([]member.Member{m})
	}
}

// exchangeSucceeded is the event that a member answered an exchange.
type exchangeSucceeded struct {
	partner member.Member
	message *wire.Exchange
}

func (e exchangeSucceeded) apply(ctx context.Context, c *control, now time.Time) {
	delete(c.pendingContacts, e.partner.VM)
	c.health.RecordSuccess()
	c.mergeExchange(ctx, now, e.message)
	if len(e.message.GetBuckets()) == 0 || e.message.GetDigest() == c.table.Digest() {
		return
	}
	c.pendingContacts.Add(e.partner.VM)
	differing := c.table.DifferingBuckets(e.message.GetBuckets())
	message := c.newExchange()
	message.Members = append(message.Members, membersToWire(c.table.MembersInBuckets(differing))...)
	message.Wanted = differing
	x := &exchange{control: c, partner: e.partner, message: message, timeout: exchangeTimeout}
	go x.run(ctx)
}

// mergeExchange merges a member's exchange into the state of this node.
func (c *control) mergeExchange(ctx context.Context, now time.Time, message *wire.Exchange) {
	changed, rejoined := c.table.Merge(now, membersFromWire(message.GetMembers()))
	if rejoined {
		c.logRejoin(message.GetFrom())
	}
	c.recordMemberChanges(changed)
	c.lastContact[message.GetFrom()] = now
	c.exchanged, c.lastExchange = true, timer.SinceBoot()
	c.assignmentTrusted = true
	for _, notice := range message.GetNotices() {
		c.broadcast(now, notice)
	}
	c.mergeEvacuated(evacuatedFromWire(message.GetEvacuated()), message.GetFrom())
	if message.GetConfigVersion() > c.version.Load() {
		c.fetchConfig(ctx, message.GetFrom())
	}
}

// logRejoin logs that this node took a higher incarnation because of a claim that
// another node told. The member table bounds how often that is.
func (c *control) logRejoin(toldBy string) {
	own := c.table.Self()
	c.node.log.Info("memberRejoined", "vm", own.VM, "incarnation", own.Incarnation, "toldBy", toldBy)
	if rejoins := c.table.Rejoins(); rejoins >= sharedNameRejoins {
		c.node.log.Info("nameShared", "vm", own.VM, "rejoins", rejoins, "detail", "another process seems to run under this VM's name")
	}
}

// broadcast applies a notice that an upstream or a VM of the system is leaving,
// and gossips it once. A node that learns this about itself becomes a leaving
// member: it is no longer advertised to callers and no longer a gate, but it
// serves requests until it is told to end.
func (c *control) broadcast(now time.Time, notice *wire.Notice) {
	key := notice.GetUpstream() + "\x00" + notice.GetIncarnation()
	if !c.seenNotices.Add(key) {
		c.notices.MarkKnown(key)
		return
	}
	c.notices.Put(key, notice)
	own := c.table.Self()
	if notice.GetUpstream() == own.PeerAddress && notice.GetIncarnation() == strconv.FormatUint(own.Incarnation, 10) {
		c.table.SetOwnState(now, member.Leaving)
	}
	if c.node.adapter != nil {
		c.node.adapter.MarkUpstreamLeaving(notice.GetUpstream(), notice.GetIncarnation())
		return
	}
	if c.document == nil {
		c.earlyNotices = append(c.earlyNotices, notice)
		return
	}
	c.node.gates.MarkUpstreamLeaving(notice.GetUpstream(), notice.GetIncarnation())
}

// applyEarlyNotices applies the notices that came before the first configuration, which
// names the upstreams.
func (c *control) applyEarlyNotices() {
	for _, notice := range c.earlyNotices {
		c.node.gates.MarkUpstreamLeaving(notice.GetUpstream(), notice.GetIncarnation())
	}
	c.earlyNotices = nil
}

// exchangeFailed is the event that a member did not answer an exchange.
type exchangeFailed struct {
	vm            string
	incarnation   uint64
	helperReached bool
	// refused is true if the VM refused the connection: no process listens.
	refused bool
}

func (e exchangeFailed) apply(_ context.Context, c *control, now time.Time) {
	delete(c.pendingContacts, e.vm)
	if !e.refused {
		c.health.RecordFailure()
	}
	m, found := c.table.Get(e.vm)
	if e.helperReached || !found || m.Incarnation != e.incarnation {
		return
	}
	if c.table.Suspect(now, e.vm, e.refused) {
		m, _ = c.table.Get(e.vm)
		c.recordMemberChanges([]member.Member{m})
	}
}

// exchangeReceived is an exchange that another member started.
type exchangeReceived struct {
	message *wire.Exchange
	reply   chan *wire.Exchange
}

func (e exchangeReceived) apply(ctx context.Context, c *control, now time.Time) {
	c.mergeExchange(ctx, now, e.message)
	reply := c.newExchange()
	if wanted := e.message.GetWanted(); len(wanted) > 0 {
		reply.Members = append(reply.Members, membersToWire(c.table.MembersInBuckets(wanted))...)
	} else if reply.Digest != e.message.GetDigest() {
		reply.Buckets = c.table.BucketHashes()
	}
	e.reply <- reply
}

// reportFailedCall reports to the control goroutine that a call to a member
// failed.
func (c *control) reportFailedCall(vm string) {
	c.post(callFailed{vm: vm})
}

// callFailed asks for an exchange with a member after a call to it failed.
type callFailed struct {
	vm string
}

func (e callFailed) apply(ctx context.Context, c *control, _ time.Time) {
	if m, found := c.table.Get(e.vm); found && m.State != member.Dead {
		c.startExchange(ctx, m)
	}
}

// fetchConfig asks a member for its configuration, unless a fetch is in progress.
func (c *control) fetchConfig(ctx context.Context, vm string) {
	m, found := c.table.Get(vm)
	if !found || c.fetching {
		return
	}
	c.fetching = true
	known := c.version.Load()
	if c.needsFullConfig {
		known = 0
	}
	c.needsFullConfig = false
	go c.fetchLoop(ctx, m, known)
}

func (c *control) fetchLoop(ctx context.Context, m member.Member, known uint64) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	call := &wire.Call{Body: &wire.Call_Fetch{Fetch: &wire.Fetch{KnownVersion: known}}}
	reply, err := c.node.network.CallUnary(ctx, m.VM, m.PeerAddress, call)
	if err != nil {
		c.post(configFetched{})
		return
	}
	c.post(configFetched{document: reply.GetDocument()})
}

// configFetched is the outcome of a fetch; document is nil if it failed.
type configFetched struct {
	document *wire.Document
}

func (e configFetched) apply(_ context.Context, c *control, _ time.Time) {
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
		c.needsFullConfig = true
		c.node.log.Error(err, "configDeltaRefused", "vm", c.node.options.VM, "configVersion", e.document.GetVersion())
		return
	}
	c.adopt(e.document.GetVersion(), value)
}

// configRequested asks the control goroutine for the configuration to send to a
// member that has the known version.
type configRequested struct {
	known uint64
	reply chan *wire.Document
}

func (e configRequested) apply(_ context.Context, c *control, _ time.Time) {
	if e.known != 0 && e.known == c.previousVersion && c.delta != nil {
		e.reply <- c.delta
		return
	}
	e.reply <- &wire.Document{Version: c.version.Load(), Record: c.value}
}

// leave makes this node a leaving member.
func (c *control) leave() {
	c.post(leaveRequested{})
}

// leaveRequested is the event that this node is to leave.
type leaveRequested struct{}

func (leaveRequested) apply(ctx context.Context, c *control, now time.Time) {
	c.table.SetOwnState(now, member.Leaving)
	c.startImmediateExchanges(ctx)
}

// startImmediateExchanges tells some members at once rather than in the next gossip rounds.
func (c *control) startImmediateExchanges(ctx context.Context) {
	for range immediateExchanges {
		if partner, ok := c.table.GossipPartner(c.random); ok {
			c.startExchange(ctx, partner)
		}
	}
}

func membersToWire(members []member.Member) []*wire.Member {
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

func membersFromWire(members []*wire.Member) []member.Member {
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

func (c *control) recordStoreState(unavailable bool, detail string) {
	if c.storeUnavailable == unavailable {
		return
	}
	c.storeUnavailable = unavailable
	name := timeline.StoreFound
	if unavailable {
		name = timeline.StoreLost
	}
	c.node.recorder.Record(timeline.Event{Name: name, Detail: detail})
}
