package relay

import (
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
	"pgregory.net/rapid"
)

// planOf plans a request of the route that came at the start of time.
func planOf(matched route.Route, usual time.Duration) (plan, time.Time) {
	start := time.Unix(100, 0)
	request := &Request{Received: start, Deadline: start.Add(1500 * time.Millisecond), Route: &matched}
	return newPlan(request, usual), start
}

// queryRoute is a route over ten shards of which nine are enough.
func queryRoute() route.Route {
	return route.Route{
		Idempotent:        true,
		TargetLatency:     100 * time.Millisecond,
		Attempts:          2,
		Shards:            make([]string, 10),
		MinimumShardShare: 0.89,
	}
}

// TestPlanNeverSpins plays every kind of plan through its own wake-ups: a plan
// that names a moment at which nothing is left to do keeps a processor busy
// until the reply. Requests that may not be repeated did so once.
func TestPlanNeverSpins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		matched := queryRoute()
		matched.Idempotent = rapid.Bool().Draw(t, "idempotent")
		if rapid.Bool().Draw(t, "single") {
			matched.Shards = nil
		}
		matched.TargetLatency = rapid.SampledFrom([]time.Duration{0, 50, 800, 5000}).Draw(t, "objective") * time.Millisecond
		done := rapid.IntRange(0, len(matched.Shards)).Draw(t, "done")
		p, now := planOf(matched, time.Duration(rapid.IntRange(0, 400).Draw(t, "usual"))*time.Millisecond)
		for wakes := 0; now.Before(p.limit) && !p.enough(now, done, len(matched.Shards)); wakes++ {
			if wakes > 2+hedgeRounds {
				t.Fatalf("woken %d times before the limit", wakes)
			}
			next := p.next(now)
			if next.Before(now) {
				t.Fatalf("the next moment lies in the past")
			}
			now = next
			p.due(now)
		}
	})
}

// TestPlanAnswersInTime: an answer that lacks a shard goes out while it is in
// time; one that is late already waits for the shard, but not for ever.
func TestPlanAnswersInTime(t *testing.T) {
	p, start := planOf(queryRoute(), 0)
	if p.enough(start.Add(50*time.Millisecond), 9, 10) {
		t.Error("answered without the last shard long before the objective")
	}
	if !p.enough(p.answerAt, 9, 10) {
		t.Error("did not answer in time with nine of ten shards")
	}
	late, _ := planOf(queryRoute(), 0)
	if late.enough(late.answerAt.Add(answerMargin), 8, 10) {
		t.Error("answered with fewer shards than the route asks for")
	}
	if late.enough(late.answerAt.Add(2*answerMargin), 9, 10) {
		t.Error("a late answer did not wait for its last shard")
	}
	if !late.enough(late.lateAt, 9, 10) {
		t.Error("a late answer waited too long")
	}
}

// TestPlanCountsTimeSpent: a caller who has used a part of the objective before
// the request arrived gets its answer sooner, so that it is in time there.
func TestPlanCountsTimeSpent(t *testing.T) {
	const spent = 16 * time.Millisecond
	fresh, _ := planOf(queryRoute(), 0)
	matched := queryRoute()
	start := time.Unix(100, 0)
	request := &Request{Received: start, Deadline: start.Add(1500*time.Millisecond - spent), Route: &matched, spent: spent}
	p := newPlan(request, 0)
	if got := fresh.answerAt.Sub(p.answerAt); got != spent {
		t.Errorf("the answer goes out %s sooner, want %s", got, spent)
	}
	if !p.hedgeAt.Before(fresh.hedgeAt) {
		t.Error("stragglers are not asked again sooner")
	}
}

// TestStragglersAreAskedAgain: a flight looks for stragglers several times, each
// time after twice as long; an attempt that has just begun is none.
func TestStragglersAreAskedAgain(t *testing.T) {
	p, start := planOf(queryRoute(), 10*time.Millisecond)
	now, last := start, time.Duration(0)
	for round := range hedgeRounds {
		wait := p.hedgeAt.Sub(now)
		if wait < last {
			t.Errorf("round %d after %s, the one before after %s", round, wait, last)
		}
		now, last = p.hedgeAt, wait
		if !p.due(now) {
			t.Fatalf("round %d is not due", round)
		}
		if !p.straggles(now, start.Add(2*time.Millisecond)) || p.straggles(now, now.Add(-time.Millisecond)) {
			t.Errorf("round %d: wrong stragglers", round)
		}
	}
	if p.due(now.Add(time.Second)) {
		t.Error("it never ends")
	}
}
