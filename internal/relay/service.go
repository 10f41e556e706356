package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bronzereach/bronzereach/pkg/budget"
	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// service is one service and its replicas at this node.
type service struct {
	name  string
	relay *Relay

	// mu guards all below.
	mu     sync.Mutex
	group  *group
	window *budget.Window
	random *rand.Rand
	// waiting is ordered by rank, then by arrival.
	waiting []waiter
	// idle bounds the idle connections to one replica.
	idle int
}

// waiter is a shard of a flight that waits for room at a replica.
type waiter struct {
	flight *flight
	shard  int
	// answerAt is when the flight's answer has to go out to be in time.
	answerAt time.Time
}

func newService(r *Relay, name string) *service {
	return &service{
		name:   name,
		relay:  r,
		group:  newGroup(name, r.config.AvailabilityZone),
		window: budget.NewWindow(r.config.Budget),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		idle:   1,
	}
}

func (s *service) sync(now time.Time, registrations []upstream.Registration) {
	s.mu.Lock()
	ended := s.group.Sync(now, registrations)
	s.mu.Unlock()
	for _, target := range ended {
		target.Data.closeIdle()
	}
}

func (s *service) setBounds(busy, idle, nodes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.SetLimits(busy, nodes)
	s.idle = idle
}

// begin counts a request and chooses the replica of its first attempt. Without
// one, the shard waits if a replica may have room before long.
func (s *service) begin(now time.Time, w waiter) (chosen *target, waits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window.AddRequest(now.Sub(s.relay.started))
	chosen = s.choose(now)
	if chosen != nil {
		return chosen, false
	}
	if count, _ := s.group.CountUsable(now); count == 0 {
		return nil, false
	}
	s.enqueue(w)
	return nil, true
}

func (s *service) choose(now time.Time) *target {
	chosen := s.group.Choose(now, nil, s.random)
	if chosen != nil {
		s.group.Start(chosen, now)
	}
	return chosen
}

// enqueue puts a waiter behind those of its rank.
func (s *service) enqueue(w waiter) {
	rank := w.flight.request.Route.Rank
	position := len(s.waiting)
	for position > 0 && s.waiting[position-1].flight.request.Route.Rank > rank {
		position--
	}
	s.waiting = slices.Insert(s.waiting, position, w)
}

// forget takes the waiters of a flight out of the queue.
func (s *service) forget(f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.flight == f })
}

// again chooses a replica for a further attempt, within the budget. Without one
// it returns why, if there is one that has not been tried.
func (s *service) again(now time.Time, tried []*target, cause budget.Cause) (chosen *target, denied Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen = s.group.Choose(now, tried, s.random)
	switch {
	case chosen == nil && len(tried) >= len(s.group.Replicas()):
		return nil, ""
	case chosen == nil:
		return nil, ReasonNoRoom
	case !s.window.Spend(now.Sub(s.relay.started), s.relay.config.NodeCount(), cause):
		return nil, ReasonNoBudget
	}
	s.group.Start(chosen, now)
	return chosen, ""
}

// finish notes how an attempt ended and hands its room on.
func (s *service) finish(now time.Time, a *attempt, outcome replica.Outcome, r result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.Finish(a.target, now, outcome, r.took)
	if r.reply != nil && r.reply.Misdirected {
		s.group.MarkReplaced(a.target)
	}
	s.grant(now)
}

// giveBack returns the room that was granted to a flight which has ended.
func (s *service) giveBack(now time.Time, unused *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.Finish(unused, now, replica.Declined, 0)
	s.grant(now)
}

// grant gives free room to the first waiters.
func (s *service) grant(now time.Time) {
	for len(s.waiting) > 0 {
		chosen := s.choose(now)
		if chosen == nil {
			return
		}
		next := nextWaiter(s.waiting, now)
		first := s.waiting[next]
		s.waiting = slices.Delete(s.waiting, next, next+1)
		first.flight.results <- result{granted: chosen, shard: first.shard}
	}
}

// nextWaiter returns the position of the first waiter that can still be in
// time, or else of the first. In an overload, serving the late ones first would
// make all that follow late too.
func nextWaiter(waiting []waiter, now time.Time) int {
	for i, w := range waiting {
		if now.Before(w.answerAt) {
			return i
		}
	}
	return 0
}

// usable returns the number of replicas that may get attempts and the time
// until another one may.
func (s *service) usable(now time.Time) (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.CountUsable(now)
}

// expire closes the idle connections that upstreams are about to close.
func (s *service) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range s.group.Replicas() {
		target.Data.expire(now)
	}
}

// keep returns the number of idle connections to keep to one replica.
func (s *service) keep() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle
}
