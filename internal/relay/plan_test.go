package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
	"pgregory.net/rapid"
)

// planOf plans a request of the route and returns the plan and the request's
// arrival time.
func planOf(matched route.Route, usualDelay time.Duration) (plan, time.Time) {
	start := time.Unix(100, 0)
	request := &Request{Received: start, Deadline: start.Add(1500 * time.Millisecond), Route: &matched}
	return newPlan(request, delays{usualReply: usualDelay}), start
}

// queryRoute returns a route over ten shards of which nine are required.
func queryRoute() route.Route {
	return route.Route{
		Idempotent:        true,
		TargetLatency:     100 * time.Millisecond,
		Attempts:          2,
		Shards:            make([]string, 10),
		MinimumShardShare: 0.89,
	}
}

// TestPlanNeverSpins follows random plans through their own wake-ups. A plan that
// returns a wake-up time at which nothing is left to do makes the forwarder spin
// until the reply comes. This happened with requests that are not idempotent.
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
		for wakes := 0; now.Before(p.answerDeadline) && !p.canAnswer(now, done, len(matched.Shards)); wakes++ {
			if wakes > 2+hedgeRounds {
				t.Fatalf("woken %d times before the answer deadline", wakes)
			}
			nextWakeup := p.nextWakeup(now)
			if nextWakeup.Before(now) {
				t.Fatalf("the next wake-up is before the current time")
			}
			now = nextWakeup
			p.startHedgeRound(now)
		}
	})
}

// TestPlanAnswersInTime: an answer that lacks a shard is sent in time. An answer
// that is late already waits for the shard, but not indefinitely.
func TestPlanAnswersInTime(t *testing.T) {
	p, start := planOf(queryRoute(), 0)
	if p.canAnswer(start.Add(50*time.Millisecond), 9, 10) {
		t.Error("answered without the last shard long before the objective")
	}
	if !p.canAnswer(p.answerBy, 9, 10) {
		t.Error("did not answer in time with nine of ten shards")
	}
	late, _ := planOf(queryRoute(), 0)
	if late.canAnswer(late.answerBy.Add(answerMargin), 8, 10) {
		t.Error("answered with fewer shards than the route requires")
	}
	late.recordEnough(late.answerBy.Add(answerMargin))
	if late.canAnswer(late.answerBy.Add(2*answerMargin), 9, 10) {
		t.Error("a late answer did not wait for its last shard")
	}
	if !late.canAnswer(late.lateAnswerAt, 9, 10) {
		t.Error("a late answer waited too long")
	}
}

// TestLateAnswerWaitsThoughNothingHappened: the reply that completes requiredShards
// comes after the objective, and nothing was decided since long before it. The
// answer is late all the same, so it waits for its last shard.
func TestLateAnswerWaitsThoughNothingHappened(t *testing.T) {
	p, start := planOf(queryRoute(), 0)
	p.canAnswer(start, 8, 10)
	afterObjective := start.Add(130 * time.Millisecond)
	p.recordEnough(afterObjective)
	if p.canAnswer(afterObjective, 9, 10) {
		t.Error("a late answer went out without its last shard")
	}
}

// TestAnswersInTimeOnASlowNode plays a node that runs 4 to 14 ms after each time it
// asked to be woken at, and answers that lack a shard. Once it has seen some
// delays, they are sent before the objective.
func TestAnswersInTimeOnASlowNode(t *testing.T) {
	node := newWakeupDelay()
	random := rand.New(rand.NewPCG(1, 1))
	late := 0
	for i := range 200 {
		matched := queryRoute()
		start := time.Unix(100, 0)
		request := &Request{Received: start, Deadline: start.Add(1500 * time.Millisecond), Route: &matched}
		p := newPlan(request, delays{wakeup: node.estimate()})
		delay := 4*time.Millisecond + time.Duration(random.Int64N(int64(10*time.Millisecond)))
		node.record(delay)
		sent := p.answerBy.Add(delay)
		if i > 0 && sent.Add(callerRoundTrip).After(start.Add(matched.TargetLatency)) {
			late++
		}
	}
	if late > 10 {
		t.Errorf("%d of 200 answers miss the objective", late)
	}
}

// TestAnswerStillInTime: on a node with late wakeups, an answer that becomes possible
// after answerBy but before the objective goes out at once; it is not late.
func TestAnswerStillInTime(t *testing.T) {
	p, start := planOf(queryRoute(), 0)
	p.expectWakeup(15 * time.Millisecond)
	possible := start.Add(88 * time.Millisecond)
	p.recordEnough(possible)
	if !p.canAnswer(possible, 9, 10) {
		t.Error("an answer that meets the objective waits for its last shard")
	}
}

// TestWakeupDelayIsBounded: whatever was recorded, an answer is not planned for more
// than maxWakeupFraction of the objective sooner.
func TestWakeupDelayIsBounded(t *testing.T) {
	node := newWakeupDelay()
	node.record(5 * time.Second)
	fresh, _ := planOf(queryRoute(), 0)
	matched := queryRoute()
	start := time.Unix(100, 0)
	p := newPlan(&Request{Received: start, Deadline: start.Add(1500 * time.Millisecond), Route: &matched}, delays{wakeup: node.estimate()})
	if got := fresh.answerBy.Sub(p.answerBy); got != 15*time.Millisecond {
		t.Errorf("answer is due %s sooner, want 15ms of 100ms", got)
	}
}

// TestFirstAnswerOfABusyNodeIsInTime: the first request of a node asks to be woken
// twice, for stragglers and for its answer. That the first wakeup was prompt doesn't
// make it rely on the second one.
func TestFirstAnswerOfABusyNodeIsInTime(t *testing.T) {
	node := newWakeupDelay()
	matched := queryRoute()
	start := time.Unix(100, 0)
	p := newPlan(&Request{Received: start, Deadline: start.Add(1500 * time.Millisecond), Route: &matched}, delays{wakeup: node.estimate()})
	node.record(100 * time.Microsecond)
	p.expectWakeup(node.estimate())
	sent := p.answerBy.Add(14 * time.Millisecond)
	if sent.Add(callerRoundTrip).After(start.Add(matched.TargetLatency)) {
		t.Errorf("sent %s after the request", sent.Sub(start))
	}
}

// TestAnswerIsNotPutOff: a forwarder that is woken for its answer sends it, also if the
// wakeup was prompt.
func TestAnswerIsNotPutOff(t *testing.T) {
	node := newWakeupDelay()
	for range 4 {
		node.record(0)
	}
	p, start := planOf(queryRoute(), 0)
	p.expectWakeup(node.estimate())
	p.hedgeRoundsLeft = 0
	wakeup := p.nextWakeup(start)
	node.record(0)
	p.expectWakeup(node.estimate())
	if !p.canAnswer(wakeup, 9, 10) {
		t.Errorf("the answer is put off until %s after the request", p.answerBy.Sub(start))
	}
}

// TestPromptNodeWaitsForItsShards: a node that has been woken in time reserves hardly
// any time for late wakeups.
func TestPromptNodeWaitsForItsShards(t *testing.T) {
	node := newWakeupDelay()
	for range 20 {
		node.record(100 * time.Microsecond)
	}
	if got := node.estimate(); got > time.Millisecond {
		t.Errorf("the node expects a delay of %s", got)
	}
}

// TestPlanCountsTimeSpent: a caller that has spent part of the objective before the
// request arrived gets its answer sooner, so that it still meets the objective.
func TestPlanCountsTimeSpent(t *testing.T) {
	const timeSpent = 16 * time.Millisecond
	fresh, _ := planOf(queryRoute(), 0)
	matched := queryRoute()
	start := time.Unix(100, 0)
	request := &Request{Received: start, Deadline: start.Add(1500*time.Millisecond - timeSpent), Route: &matched, timeSpent: timeSpent}
	p := newPlan(request, delays{})
	if got := fresh.answerBy.Sub(p.answerBy); got != timeSpent {
		t.Errorf("answer is due %s sooner, want %s", got, timeSpent)
	}
	if !p.hedgeAt.Before(fresh.hedgeAt) {
		t.Error("the first hedge round does not start sooner")
	}
}

// TestStragglersAreAskedAgain: a forwarder looks for stragglers several times, each
// time after twice as long. An attempt that has just started is not a straggler.
func TestStragglersAreAskedAgain(t *testing.T) {
	p, start := planOf(queryRoute(), 10*time.Millisecond)
	now, last := start, time.Duration(0)
	for round := range hedgeRounds {
		wait := p.hedgeAt.Sub(now)
		if wait < last {
			t.Errorf("hedge round %d after %s, shorter than the previous wait of %s", round, wait, last)
		}
		now, last = p.hedgeAt, wait
		if !p.startHedgeRound(now) {
			t.Fatalf("hedge round %d does not start at hedgeAt", round)
		}
		if !p.isStraggler(now, start.Add(2*time.Millisecond)) || p.isStraggler(now, now.Add(-time.Millisecond)) {
			t.Errorf("hedge round %d: wrong attempts count as stragglers", round)
		}
	}
	if p.startHedgeRound(now.Add(time.Second)) {
		t.Error("a hedge round starts after the last one")
	}
}
