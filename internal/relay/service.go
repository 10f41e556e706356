package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bronzereach/bronzereach/pkg/budget"
	"github.com/bronzereach/bronzereach/pkg/queue"
	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// service is a service with its replicas, as seen by this node.
type service struct {
	name  string
	relay *Relay

	// mu guards the fields below.
	mu           sync.Mutex
	replicaGroup *replicaGroup
	window       *budget.Window
	random       *rand.Rand
	// waiting is the queue of shards without a replica, ordered by rank, then by tag, then
	// by arrival. Without teams all tags are equal.
	waiting []waiter
	// backlogSince is since when the queue has not been empty; it has no meaning if it is.
	backlogSince time.Time
	// credits are the grants owed to less urgent ranks if there are teams.
	credits queue.Credits
	// grantTimer calls grantAllowed when a rate limit allows the next attempt, and is
	// set to do so at grantAt unless that is zero. A replica that may be used again
	// counts like one whose rate limit allows the next attempt.
	grantTimer *time.Timer
	grantAt    time.Time
	// maxIdle bounds the idle connections to one replica.
	maxIdle int
	// firstColdToken is that of replica.ColdLimit.
	firstColdToken float64
}

// waiter is a shard of a forwarder that waits for a replica with free capacity.
type waiter struct {
	forwarder *forwarder
	shard     int
	// place is the forwarder's, set when the waiter is queued.
	place place
	// answerBy is when the answer must be sent to meet the objective.
	answerBy time.Time
	// grantBy is when the shard must have got a replica, or else waits in vain.
	grantBy time.Time
}

// reservation is what a service gives to a shard: a replica, a place in the queue or a
// refusal.
type reservation struct {
	// replica is nil unless it was reserved.
	replica *upstreamReplica
	queued  bool
	// refused is the reason of a refusal, and empty otherwise. A caller who returns
	// after retryAfter may find a place; 0 if that is not known.
	refused    Reason
	retryAfter time.Duration
}

func newService(r *Relay, name string) *service {
	window := budget.NewWindow(r.config.Budget)
	window.Start(0)
	return &service{
		name:         name,
		relay:        r,
		replicaGroup: newReplicaGroup(name, r.config.AvailabilityZone, r.idle),
		window:       window,
		credits:      newFloorCredits(),
		random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		maxIdle:      1,

		firstColdToken: rand.Float64(),
	}
}

// updateReplicas replaces the registrations of the service and shuts down the
// connection pools of removed replicas.
func (s *service) updateReplicas(now time.Time, registrations []upstream.Registration) {
	s.mu.Lock()
	removed := s.replicaGroup.Sync(now, registrations)
	s.refuseStranded(now)
	s.mu.Unlock()
	for _, r := range removed {
		r.Data.shutDown()
	}
}

// setLimits sets how much of the replicas this node may use, and the maximum number of
// idle connections to one replica.
func (s *service) setLimits(limits replica.Limits, maxIdle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits.Cold.FirstToken = s.firstColdToken
	s.replicaGroup.SetLimits(limits)
	s.maxIdle = maxIdle
	if limits.Cold.PerSecond > 0 {
		// The time for which grantTimer is set may have been for a much lower limit.
		s.grantCapacity(time.Now())
	}
}

// reserveOrEnqueue counts a request towards the budget and reserves a replica for
// its first attempt, which the forwarder then starts. If no usable replica has free
// capacity, the shard is queued, unless its turn would come too late.
func (s *service) reserveOrEnqueue(now time.Time, w waiter) reservation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.AddRequest(now.Sub(s.relay.config.Started))
	// What has become free meanwhile is for those that wait already.
	s.grantCapacity(now)
	if chosen := s.reserveReplica(now); chosen != nil {
		w.forwarder.granted.Store(true)
		return reservation{replica: chosen}
	}
	if count, _ := s.replicaGroup.CountUsable(now); count == 0 {
		return reservation{refused: s.unusableReason(now)}
	}
	// Others may have taken the turns that were left when availability was asked for.
	w.place = w.forwarder.place()
	position := s.countWaiters(w.place)
	if late := s.lateBy(now, w, position); late > 0 {
		return reservation{refused: ReasonRateLimited, retryAfter: late}
	}
	if len(s.waiting) == 0 {
		s.backlogSince = now
	}
	s.waiting = slices.Insert(s.waiting, position, w)
	s.refuseOvertaken(now, position+1)
	s.scheduleGrant(now)
	return reservation{queued: true}
}

// reserveReplica chooses a replica and counts an attempt at it; nil if none has free
// capacity.
func (s *service) reserveReplica(now time.Time) *upstreamReplica {
	chosen := s.replicaGroup.Choose(now, nil, s.random)
	if chosen == nil {
		chosen = s.replicaGroup.Probe(now)
	}
	if chosen != nil {
		s.start(chosen, now, firstAttempt)
	}
	return chosen
}

// start counts an attempt at a replica.
func (s *service) start(chosen *upstreamReplica, now time.Time, cause string) {
	s.replicaGroup.Start(chosen, now)
	if _, limited := chosen.RateLimit().PerSecond(); limited {
		s.relay.Metrics.countRateLimitedAttempt(cause)
	}
}

// lateBy returns how long after its grantBy the rate limits let a waiter at the position
// start; 0 if they let it start in time.
func (s *service) lateBy(now time.Time, w waiter, position int) time.Duration {
	rateWait := s.replicaGroup.RateWait(now, position)
	if rateWait == 0 {
		return 0
	}
	return max(rateWait-w.grantBy.Sub(now), 0)
}

// refuseOvertaken refuses the waiters from the position on whose turn would come too
// late, now that a more urgent one goes before them.
func (s *service) refuseOvertaken(now time.Time, position int) {
	for position < len(s.waiting) {
		w := s.waiting[position]
		late := s.lateBy(now, w, position)
		if late == 0 {
			position++
			continue
		}
		s.waiting = slices.Delete(s.waiting, position, position+1)
		w.forwarder.events <- forwarderEvent{shard: w.shard, refused: ReasonRateLimited, retryAfter: late}
	}
}

// removeWaiters removes all waiters of a forwarder from the queue.
func (s *service) removeWaiters(f *forwarder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.forwarder == f })
}

// reserveUntriedReplica reserves a replica that has not been tried, for a retry or a
// hedge within the budget. If it can't, it returns the reason, which is empty if all
// replicas have been tried.
func (s *service) reserveUntriedReplica(now time.Time, tried []*upstreamReplica, cause budget.Cause) (chosen *upstreamReplica, denied Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen = s.replicaGroup.Choose(now, tried, s.random)
	switch {
	case chosen == nil && s.allAmong(tried):
		return nil, ""
	case chosen == nil:
		return nil, ReasonNoCapacity
	case !s.window.Spend(now.Sub(s.relay.config.Started), int(s.relay.budgetNodes.Load()), cause):
		return nil, ReasonNoBudget
	}
	s.start(chosen, now, cause.String())
	return chosen, ""
}

// allAmong reports whether all replicas are among the given ones.
func (s *service) allAmong(tried []*upstreamReplica) bool {
	return !slices.ContainsFunc(s.replicaGroup.Replicas(), func(r *upstreamReplica) bool { return !slices.Contains(tried, r) })
}

// recordOutcome records the outcome of an attempt and grants the freed capacity to
// waiters.
func (s *service) recordOutcome(now time.Time, a *attempt, outcome replica.Outcome, e forwarderEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicaGroup.Finish(a.upstreamReplica, now, outcome, e.elapsed)
	if e.reply != nil && e.reply.Misdirected {
		s.replicaGroup.MarkReplaced(a.upstreamReplica)
	}
	s.updateRateLimit(now, a, e.reply)
	s.grantCapacity(now)
}

// updateRateLimit takes over the rate limit that a reply names.
func (s *service) updateRateLimit(now time.Time, a *attempt, reply *Reply) {
	if reply == nil || !reply.Valid || reply.Misdirected || !reply.TellsRateLimit {
		return
	}
	if !s.replicaGroup.SetRateLimit(a.upstreamReplica, reply.RateLimit, now, s.random) {
		return
	}
	skipped, ok := s.relay.logLimiter.allow(now, false)
	if !ok {
		return
	}
	perSecond, limited := reply.RateLimit.PerSecond()
	s.relay.config.Log.Info("upstreamRateLimit", "service", s.name, "upstream", a.upstreamReplica.Data.registration.ID,
		"limited", limited, "perSecond", perSecond, "requestID", a.request.ID, "linesSkipped", skipped)
}

// returnGrant frees a replica that was granted to a forwarder that has ended.
func (s *service) returnGrant(now time.Time, granted *upstreamReplica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicaGroup.Finish(granted, now, replica.Declined, 0)
	s.grantCapacity(now)
}

// grantCapacity grants free replicas to waiters.
func (s *service) grantCapacity(now time.Time) {
	for len(s.waiting) > 0 {
		chosen := s.reserveReplica(now)
		if chosen == nil {
			s.scheduleGrant(now)
			return
		}
		next := s.takeNext(now)
		first := s.waiting[next]
		s.waiting = slices.Delete(s.waiting, next, next+1)
		first.forwarder.granted.Store(true)
		first.forwarder.events <- forwarderEvent{granted: chosen, shard: first.shard}
	}
}

// scheduleGrant lets grantAllowed run when a rate limit allows the next attempt, or when
// a replica may be used again.
func (s *service) scheduleGrant(now time.Time) {
	wait, ok := s.replicaGroup.NextGrant(now)
	at := now.Add(wait)
	if !ok || !s.grantAt.IsZero() && !at.Before(s.grantAt) {
		return
	}
	s.grantAt = at
	if s.grantTimer == nil {
		s.grantTimer = time.AfterFunc(wait, s.grantAllowed)
		return
	}
	s.grantTimer.Reset(wait)
}

// grantAllowed grants what rate limits allow by now to waiters.
func (s *service) grantAllowed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantAt = time.Time{}
	s.grantCapacity(time.Now())
}

// nextWaiter returns the index of the first waiter that can still be answered in
// time, or else 0. In an overload, serving late waiters first would make all
// those after them late too.
func nextWaiter(waiting []waiter, now time.Time) int {
	for i, w := range waiting {
		if now.Before(w.answerBy) {
			return i
		}
	}
	return 0
}

// closeExpired closes the idle connections that upstreams are about to close.
func (s *service) closeExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicaGroup.Replicas() {
		r.Data.closeExpired(now)
	}
}

// replacedRegistrations returns the registrations of upstreams that replies have shown not
// to be at their addresses.
func (s *service) replacedRegistrations() (replaced []upstream.Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicaGroup.Replicas() {
		if r.Replaced() {
			replaced = append(replaced, r.Registration)
		}
	}
	return replaced
}

// maxIdleConnections returns the maximum number of idle connections to one replica.
func (s *service) maxIdleConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxIdle
}
