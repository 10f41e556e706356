package relay

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/pkg/budget"
	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/route"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// singleSlotService is a service with one replica that has capacity for one attempt
// at a time.
type singleSlotService struct {
	service *service
	now     time.Time
}

func newSingleSlotService() *singleSlotService {
	r := New(Config{Fleet: func() Fleet { return Fleet{Serving: 9, Serves: true} }, Log: logr.Discard(), Budget: budget.Config{Period: 10 * time.Second}})
	s := newService(r, "s")
	now := time.Now()
	s.updateReplicas(now, []upstream.Registration{{ID: "a", Address: "a", Slots: 2}})
	s.setLimits(replica.Limits{Connections: 2, Nodes: 9, RateShare: 1}, 2)
	return &singleSlotService{service: s, now: now}
}

// sendRequest sends a request of the given rank. The replica is nil if the request was
// queued.
func (s *singleSlotService) sendRequest(rank int, objective time.Duration) (*forwarder, *upstreamReplica) {
	f := &forwarder{request: &Request{Route: &route.Route{Rank: rank}}, events: make(chan forwarderEvent, 1)}
	answerBy := s.now.Add(objective)
	got := s.service.reserveOrEnqueue(s.now, waiter{forwarder: f, answerBy: answerBy, grantBy: answerBy})
	return f, got.replica
}

// finishAttempt ends the attempt on the replica after the given time.
func (s *singleSlotService) finishAttempt(slot *upstreamReplica, elapsed time.Duration) {
	s.now = s.now.Add(elapsed)
	s.service.recordOutcome(s.now, &attempt{upstreamReplica: slot}, replica.Succeeded, forwarderEvent{elapsed: elapsed})
}

// limitRate lets the replica name a rate limit of one request per interval, in a reply
// to an attempt that it ends.
func (s *singleSlotService) limitRate(slot *upstreamReplica, interval time.Duration) {
	limit := replica.NewRateLimit(float64(time.Second) / float64(interval))
	reply := &Reply{Valid: true, TellsRateLimit: true, RateLimit: limit}
	s.service.recordOutcome(s.now, &attempt{request: &Request{}, upstreamReplica: slot}, replica.Succeeded, forwarderEvent{reply: reply})
}

func granted(f *forwarder) bool {
	select {
	case e := <-f.events:
		return e.granted != nil
	default:
		return false
	}
}

// TestUrgentWorkWaitsLess: of the requests that wait for a replica, the most urgent
// one gets it first; among equal ranks, the one that came first.
func TestUrgentWorkWaitsLess(t *testing.T) {
	s := newSingleSlotService()
	_, slot := s.sendRequest(1, time.Second)
	if slot == nil {
		t.Fatal("no replica was reserved although one was free")
	}
	low, _ := s.sendRequest(2, time.Second)
	urgent, _ := s.sendRequest(0, time.Second)
	second, _ := s.sendRequest(0, time.Second)
	for i, f := range []*forwarder{urgent, second, low} {
		s.finishAttempt(slot, 10*time.Millisecond)
		if !granted(f) {
			t.Fatalf("the slot was not granted to waiter %d", i)
		}
	}
}

// TestOverloadServesInTime plays an overload of twice the capacity, with attempts of
// 10 ms that have to end within 50 ms. First come, first served would make nearly
// all of them late. Preferring waiters that can still be in time lets half of them
// be in time, which is the maximum.
func TestOverloadServesInTime(t *testing.T) {
	s := newSingleSlotService()
	const count = 400
	var waiting []*forwarder
	var asked []time.Time
	_, slot := s.sendRequest(1, 50*time.Millisecond)
	inTime := 0
	for i := range count {
		f, _ := s.sendRequest(1, 50*time.Millisecond)
		waiting, asked = append(waiting, f), append(asked, s.now)
		if i%2 == 0 {
			s.now = s.now.Add(5 * time.Millisecond)
			continue
		}
		s.finishAttempt(slot, 5*time.Millisecond)
		for j, f := range waiting {
			if granted(f) && s.now.Sub(asked[j]) < 50*time.Millisecond {
				inTime++
			}
		}
	}
	if inTime < count*45/100 {
		t.Errorf("%d of %d requests were served in time, want at least 45%%", inTime, count)
	}
}

// TestUnusedGrantIsReturned: a forwarder that ends before it handles its grant
// returns the granted capacity.
func TestUnusedGrantIsReturned(t *testing.T) {
	s := newSingleSlotService()
	_, slot := s.sendRequest(1, time.Second)
	f, _ := s.sendRequest(1, time.Second)
	f.shards = []shardState{{service: s.service, waiting: true}}
	s.finishAttempt(slot, time.Millisecond)
	f.leaveQueues()
	if _, slot = s.sendRequest(1, time.Second); slot == nil {
		t.Error("the granted slot was not returned")
	}
}

// TestTurnIsNotPromisedTwice: of two requests that come at the same moment, a rate limit
// lets only one start in time. The other one is refused at once.
func TestTurnIsNotPromisedTwice(t *testing.T) {
	const interval = 250 * time.Millisecond
	s := newSingleSlotService()
	_, slot := s.sendRequest(1, time.Second)
	s.limitRate(slot, interval)
	first := &forwarder{request: &Request{Route: &route.Route{}}, events: make(chan forwarderEvent, 1)}
	second := &forwarder{request: first.request, events: make(chan forwarderEvent, 1)}
	firstTurn := s.service.availability(s.now, place{}).rateWait
	grantBy := s.now.Add(firstTurn + interval/2)
	if got := s.service.reserveOrEnqueue(s.now, waiter{forwarder: first, grantBy: grantBy}); !got.queued {
		t.Fatalf("the first request got %+v, want a place in the queue", got)
	}
	got := s.service.reserveOrEnqueue(s.now, waiter{forwarder: second, grantBy: grantBy})
	if got.queued || got.refused != ReasonRateLimited || got.retryAfter <= 0 {
		t.Errorf("the second request got %+v, want a refusal", got)
	}
}

// TestOvertakenRequestIsRefusedAtOnce: a request that a more urgent one overtakes in the
// queue, so that its turn within a rate limit would come too late, doesn't wait for that.
func TestOvertakenRequestIsRefusedAtOnce(t *testing.T) {
	const interval = 250 * time.Millisecond
	s := newSingleSlotService()
	_, slot := s.sendRequest(1, time.Second)
	s.limitRate(slot, interval)
	grantBy := s.now.Add(s.service.availability(s.now, place{}).rateWait + interval/2)
	low := &forwarder{request: &Request{Route: &route.Route{Rank: 2}}, events: make(chan forwarderEvent, 1), pendingShards: 1}
	low.plan.requiredShards = 1
	low.shards = []shardState{{service: s.service, waiting: true, reason: ReasonNoCapacity}}
	urgent := &forwarder{request: &Request{Route: &route.Route{}}, events: make(chan forwarderEvent, 1)}
	for _, f := range []*forwarder{low, urgent} {
		if got := s.service.reserveOrEnqueue(s.now, waiter{forwarder: f, grantBy: grantBy}); !got.queued {
			t.Fatalf("got %+v, want a place in the queue", got)
		}
	}
	select {
	case e := <-low.events:
		low.handleEvent(e)
	default:
		t.Fatal("the overtaken request still waits")
	}
	if !low.isComplete(s.now) {
		t.Fatal("the overtaken request is not answered")
	}
	if answer := low.buildAnswer(s.now); answer.Outcome != Refused || answer.Reason != ReasonRateLimited || answer.RetryAfter < interval/2 {
		t.Errorf("got %+v", answer)
	}
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	if waiting := len(s.service.waiting); waiting != 1 {
		t.Errorf("%d requests wait, want the urgent one", waiting)
	}
}

// TestWaitersAreServedAfterAFailurePause: a request that waits while the only replica is
// paused after failures gets it when the pause ends, though no attempt ends then.
func TestWaitersAreServedAfterAFailurePause(t *testing.T) {
	s := newSingleSlotService()
	_, slot := s.sendRequest(1, time.Second)
	f, _ := s.sendRequest(1, time.Second)
	s.service.replicaGroup.Finish(slot, s.now, replica.Failed, 0)
	s.service.replicaGroup.Start(slot, s.now)
	s.service.recordOutcome(s.now, &attempt{upstreamReplica: slot}, replica.Failed, forwarderEvent{})
	select {
	case e := <-f.events:
		if e.granted == nil {
			t.Errorf("refused as %s", e.refused)
		}
	case <-time.After(time.Second):
		t.Error("not granted after the pause")
	}
}

// TestWaitersOfRemovedUpstreamsAreRefused: requests that wait are refused at once when the
// store lists no upstream any more, or only ones that leave.
func TestWaitersOfRemovedUpstreamsAreRefused(t *testing.T) {
	for name, next := range map[string][]upstream.Registration{
		"gone": nil, "leaving": {{ID: "a", Address: "a", Slots: 2, Leaving: true}},
	} {
		s := newSingleSlotService()
		s.sendRequest(1, time.Second)
		f, _ := s.sendRequest(1, time.Second)
		s.service.updateReplicas(s.now, next)
		select {
		case e := <-f.events:
			if e.refused != ReasonNoUpstream {
				t.Errorf("%s: refused as %q", name, e.refused)
			}
		default:
			t.Errorf("%s: the request still waits", name)
		}
	}
}
