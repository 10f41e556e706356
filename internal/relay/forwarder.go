package relay

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/bronzereach/bronzereach/pkg/budget"
	"github.com/bronzereach/bronzereach/pkg/fairness"
)

const (
	// maxExtraAttempts is how many replicas beyond a route's attempts may be tried
	// for a shard if others did not run the request.
	maxExtraAttempts = 1
	// unneededAttemptTimeout is how long an attempt may continue once its reply is
	// no longer needed, so that its connection can be reused. It is too short for
	// a caller who disconnects to notice, and long enough to get a reply from most
	// upstreams that pause briefly.
	unneededAttemptTimeout = 300 * time.Millisecond
	// answerMargin is the time reserved for building and sending an answer.
	answerMargin = 4 * time.Millisecond
)

// forwarder forwards one request to its shards and builds the answer. It is used
// by a single goroutine.
type forwarder struct {
	relay   *Relay
	request *Request
	shards  []shardState
	events  chan forwarderEvent
	plan    plan
	// pendingShards counts shards without a final result, succeededShards those
	// with a successful reply.
	pendingShards, succeededShards int
	attempts                       int
	// sawMayHaveRun and sawRan are true once an attempt ended with the status
	// MayHaveRun or Ran.
	sawMayHaveRun, sawRan bool
	// lastFailure is the last failure reply of an upstream that ran the request.
	lastFailure *Reply
	// retryAfter is the retry delay told to the caller if the request is refused.
	retryAfter time.Duration
	// hasTeams is true if the configuration has teams, among which capacity is shared. tag
	// is then the request's position within its rank, and early is true if its caller
	// returned before the time it had been told.
	hasTeams bool
	tag      fairness.Tag
	early    bool
	// waited is true once a shard has been queued.
	waited bool
	// granted is true once a service has granted a replica to one of the shards.
	granted atomic.Bool
}

// shardState is the state of one service that a forwarder sends to. A request to
// a single service has one shard.
type shardState struct {
	service       *service
	name          string
	triedReplicas []*upstreamReplica
	// ranReplicas holds those of them that have run the request or may have; each once.
	ranReplicas []*upstreamReplica
	running     []*attempt
	// countedAttempts counts attempts except those that did not run.
	countedAttempts int
	waiting         bool
	settled         bool
	reply           *Reply
	reason          Reason
	// retryDenied is why the shard was refused a further attempt; empty if it was
	// not.
	retryDenied Reason
	laterRetry  laterRetry
}

func (r *Relay) newForwarder(request *Request, s *routingState) *forwarder {
	names := r.services(request.Route)
	f := &forwarder{
		relay:         r,
		request:       request,
		shards:        make([]shardState, len(names)),
		events:        make(chan forwarderEvent, len(names)*(request.Route.Attempts+maxExtraAttempts+maxLaterRetries+1)),
		pendingShards: len(names),
		hasTeams:      s.table.HasTeams(),
	}
	for i, name := range names {
		f.shards[i] = shardState{service: s.services[name], name: name}
	}
	request.timeSpent = r.deadlineTrackers.timeSpent(request)
	f.plan = newPlan(request, delays{
		usualReply: r.hedgeDelays.get(request.Route.Name),
		wakeup:     r.wakeupDelay.estimate(),
	})
	f.retryAfter = f.plan.retryAfter
	return f
}

// run takes a place in the queues for the request, sends it to all shards and returns the
// answer.
func (f *forwarder) run(ctx context.Context) *Answer {
	f.takePlace(time.Now())
	answer := f.forward(ctx)
	f.leavePlace(time.Now(), answer)
	return answer
}

// forward sends the request to all shards and returns the answer.
func (f *forwarder) forward(ctx context.Context) *Answer {
	if answer := f.refuseUnservable(time.Now()); answer != nil {
		return answer
	}
	for i := range f.shards {
		f.startFirstAttempt(i)
	}
	defer f.stopAttempts(ctx)
	timer := time.NewTimer(time.Until(f.plan.nextWakeup(time.Now())))
	defer timer.Stop()
	for {
		now := time.Now()
		f.retryLater(now)
		if f.isComplete(now) {
			return f.buildAnswer(now)
		}
		wakeup := f.nextLaterRetry(f.plan.nextWakeup(now))
		timer.Reset(wakeup.Sub(now))
		select {
		case e := <-f.events:
			f.handleEvent(e)
			f.handleArrived(ctx, maxTime(now, wakeup))
		case <-timer.C:
			f.relay.wakeupDelay.record(time.Since(wakeup))
			f.plan.expectWakeup(f.relay.wakeupDelay.estimate())
			f.handleArrived(ctx, maxTime(now, wakeup))
			f.hedge(time.Now())
		case <-f.relay.answerNow:
			f.handleLastArrived(ctx)
			return f.buildLeavingAnswer(time.Now())
		case <-ctx.Done():
			return &Answer{Outcome: CallerDisconnected, Run: f.runStatus(), Attempts: f.attempts}
		}
	}
}

// startFirstAttempt starts the first attempt of a shard or queues the shard.
func (f *forwarder) startFirstAttempt(i int) {
	s := &f.shards[i]
	if s.service == nil {
		f.settle(s, nil, ReasonNoUpstream)
		return
	}
	got := s.service.reserveOrEnqueue(time.Now(), f.waiter(i))
	switch {
	case got.replica != nil:
		f.startAttempt(i, got.replica, firstAttempt)
	case got.queued:
		s.waiting, s.reason = true, ReasonNoCapacity
		f.waited = true
	default:
		f.settleRefused(s, got.refused, got.retryAfter)
	}
}

// waiter returns a shard as it waits for a replica.
func (f *forwarder) waiter(shard int) waiter {
	return waiter{forwarder: f, shard: shard, answerBy: f.plan.answerBy, grantBy: f.plan.grantBy()}
}

// settleRefused settles a shard that got neither a replica nor a place in the queue.
func (f *forwarder) settleRefused(s *shardState, refused Reason, retryAfter time.Duration) {
	f.retryAfter = max(f.retryAfter, retryAfter)
	f.settle(s, nil, refused)
}

// firstAttempt is the cause of the first attempt of a shard in metrics; the others
// are those of a budget.Cause.
const firstAttempt = "first"

// startAttempt starts an attempt at the given replica.
func (f *forwarder) startAttempt(i int, chosen *upstreamReplica, cause string) {
	s := &f.shards[i]
	a := &attempt{
		request:         f.request,
		service:         s.service,
		upstreamReplica: chosen,
		shard:           i,
		started:         time.Now(),
		answerDeadline:  f.plan.answerDeadline,
		events:          f.events,
	}
	s.triedReplicas = append(s.triedReplicas, chosen)
	s.running = append(s.running, a)
	s.countedAttempts++
	f.attempts++
	f.grantPlace()
	f.relay.Metrics.countAttempt(cause, a.crossesZones())
	f.request.scope.Retain()
	a.openLease()
	go a.run()
}

// handleEvent processes the end of an attempt, with a retry where allowed, or the
// grant or refusal of a replica.
func (f *forwarder) handleEvent(e forwarderEvent) {
	s := &f.shards[e.shard]
	if e.granted != nil {
		s.waiting, s.reason = false, ""
		f.startAttempt(e.shard, e.granted, firstAttempt)
		return
	}
	if e.refused != "" {
		s.waiting = false
		f.settleRefused(s, e.refused, e.retryAfter)
		return
	}
	s.removeAttempt(e.attempt)
	if s.settled {
		return
	}
	f.recordRunStatus(e)
	if e.reply != nil && e.reply.Success {
		f.relay.hedgeDelays.add(f.request.Route.Name, e.elapsed)
		f.settle(s, e.reply, "")
		return
	}
	if e.reply != nil && e.run == Ran {
		f.lastFailure = e.reply
	}
	if e.run == NotRun {
		s.countedAttempts--
	} else if !slices.Contains(s.ranReplicas, e.attempt.upstreamReplica) {
		s.ranReplicas = append(s.ranReplicas, e.attempt.upstreamReplica)
	}
	s.reason = e.reason
	if f.retry(e.shard, e.run) || len(s.running) > 0 {
		return
	}
	if f.planLaterRetry(s) {
		return
	}
	f.settle(s, nil, e.reason)
}

func (f *forwarder) recordRunStatus(e forwarderEvent) {
	switch e.run {
	case Ran:
		f.sawRan = true
	case MayHaveRun:
		f.sawMayHaveRun = true
	case NotRun:
	}
}

// retry starts another attempt after a failed one, if allowed. Unless the failed
// attempt did not run, the route must be idempotent.
func (f *forwarder) retry(i int, status RunStatus) bool {
	s := &f.shards[i]
	if status != NotRun && !f.request.Route.Idempotent {
		return false
	}
	return f.startExtraAttempt(i, s, budget.Retry)
}

// startExtraAttempt starts one more attempt if the route's limit, the budget and the
// deadline allow it. It reports whether it did.
func (f *forwarder) startExtraAttempt(i int, s *shardState, cause budget.Cause) bool {
	now := time.Now()
	if s.countedAttempts >= f.request.Route.Attempts || len(s.triedReplicas) >= f.request.Route.Attempts+maxExtraAttempts {
		return false
	}
	if !now.Before(f.plan.answerDeadline) {
		return false
	}
	chosen, retryDenied := s.service.reserveUntriedReplica(now, s.triedReplicas, cause)
	if chosen == nil {
		s.retryDenied = retryDenied
		return false
	}
	f.startAttempt(i, chosen, cause.String())
	return true
}

// hedge starts an extra attempt for each shard whose latest attempt is a
// straggler.
func (f *forwarder) hedge(now time.Time) {
	if !f.plan.startHedgeRound(now) {
		return
	}
	for i := range f.shards {
		s := &f.shards[i]
		if s.settled || len(s.running) == 0 {
			continue
		}
		if last := s.running[len(s.running)-1]; f.plan.isStraggler(now, last.started) {
			f.startExtraAttempt(i, s, budget.Hedge)
		}
	}
}

func (s *shardState) removeAttempt(a *attempt) {
	for i, running := range s.running {
		if running == a {
			s.running = append(s.running[:i], s.running[i+1:]...)
			return
		}
	}
}

// settle sets the final result of a shard and shortens the deadlines of its
// remaining attempts.
func (f *forwarder) settle(s *shardState, reply *Reply, reason Reason) {
	s.settled, s.reply, s.reason = true, reply, reason
	f.pendingShards--
	now := time.Now()
	if reply != nil {
		f.succeededShards++
		if f.succeededShards == f.plan.requiredShards {
			f.plan.recordEnough(now)
		}
	}
	until := now.Add(unneededAttemptTimeout)
	for _, a := range s.running {
		a.shortenDeadline(until)
	}
}

// isComplete reports whether waiting any longer can't or needn't improve the answer.
func (f *forwarder) isComplete(now time.Time) bool {
	if f.pendingShards == 0 || f.succeededShards+f.pendingShards < f.plan.requiredShards {
		return true
	}
	if f.attempts == 0 && !now.Before(f.plan.lateAnswerAt) {
		// No shard has been granted a replica yet: give up, so that the caller
		// may be served elsewhere.
		return true
	}
	return f.plan.canAnswer(now, f.succeededShards, len(f.shards)) || !now.Before(f.plan.answerDeadline)
}

// stopAttempts leaves the queues and ends the attempts that are still running. They
// are aborted if the caller has disconnected or the route is not idempotent;
// otherwise they get a short time to finish.
func (f *forwarder) stopAttempts(ctx context.Context) {
	f.leaveQueues()
	until := time.Now().Add(unneededAttemptTimeout)
	for i := range f.shards {
		for _, a := range f.shards[i].running {
			if ctx.Err() != nil || !f.request.Route.Idempotent {
				a.abort()
				continue
			}
			a.shortenDeadline(until)
		}
	}
}

// leaveQueues removes the shards from the queues and returns the replicas that
// were granted meanwhile.
func (f *forwarder) leaveQueues() {
	waited := false
	for i := range f.shards {
		if f.shards[i].waiting {
			waited = true
			f.shards[i].service.removeWaiters(f)
		}
	}
	if !waited {
		return
	}
	for {
		select {
		case e := <-f.events:
			if e.granted != nil {
				f.shards[e.shard].service.returnGrant(time.Now(), e.granted)
			}
		default:
			return
		}
	}
}

// runStatus returns whether any upstream ran the request.
func (f *forwarder) runStatus() RunStatus {
	running := false
	for i := range f.shards {
		running = running || len(f.shards[i].running) > 0
	}
	switch {
	case f.sawRan || f.succeededShards > 0:
		return Ran
	case f.sawMayHaveRun || running:
		return MayHaveRun
	default:
		return NotRun
	}
}

// buildAnswer builds the answer from the replies received so far.
func (f *forwarder) buildAnswer(now time.Time) *Answer {
	answer := &Answer{Run: f.runStatus(), Attempts: f.attempts, Omitted: f.omitted()}
	switch {
	case len(f.request.Route.Shards) > 0 && f.succeededShards >= f.plan.requiredShards:
		answer.Outcome = Merged
		f.mergeReplies(answer)
	case len(f.request.Route.Shards) == 0 && f.succeededShards > 0:
		answer.Outcome, answer.Reply = Answered, f.shards[0].reply
	case len(f.request.Route.Shards) == 0 && f.lastFailure != nil:
		answer.Outcome, answer.Reply, answer.Reason = Answered, f.lastFailure, ReasonFailureReply
	case answer.Run == NotRun:
		answer.Outcome, answer.Reason, answer.RetryAfter = Refused, f.reason(), f.retryDelay(now)
	case !now.Before(f.plan.answerDeadline):
		answer.Outcome, answer.Reason = TimedOut, ReasonDeadline
	default:
		answer.Outcome, answer.Reason = Failed, f.reason()
	}
	return answer
}

// reason returns the reason of the first shard that has one.
func (f *forwarder) reason() Reason {
	for i := range f.shards {
		if f.shards[i].reason != "" {
			return f.shards[i].reason
		}
	}
	return ReasonStraggler
}

// omitted returns the shards without a reply and the reason of each.
func (f *forwarder) omitted() []Omission {
	var omitted []Omission
	for i := range f.shards {
		s := &f.shards[i]
		if s.reply != nil {
			continue
		}
		reason := s.reason
		if reason == "" {
			reason = ReasonStraggler
		}
		omitted = append(omitted, Omission{Service: s.name, Reason: reason, RetryDenied: s.retryDenied})
	}
	return omitted
}

func (f *forwarder) mergeReplies(answer *Answer) {
	bodies := make([][]byte, 0, f.succeededShards)
	for i := range f.shards {
		if s := &f.shards[i]; s.reply != nil {
			bodies = append(bodies, s.reply.Body.Chunks()...)
			answer.Parts = append(answer.Parts, Part{Service: s.name, Signature: s.reply.Signature})
		}
	}
	answer.Records = mergeRecords(bodies, f.request.Route.Top)
}
