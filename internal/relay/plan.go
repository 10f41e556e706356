package relay

import "time"

// Bounds on the timing of a request. The objective of a request is the target
// latency of its route or, if that has none, the time until the answer deadline.
const (
	// minHedgeFraction and maxHedgeFraction bound the hedge delay, as fractions of the
	// objective.
	minHedgeFraction = 0.08
	maxHedgeFraction = 0.40
	// maxWakeupFraction bounds the time reserved for late wakeups, as a fraction of
	// the objective.
	maxWakeupFraction = 0.15
	// hedgeRounds is how many times a forwarder looks for stragglers. The wait is
	// doubled for each further round.
	hedgeRounds = 4
	// callerRoundTrip is the part of the objective reserved for the network round
	// trip to the caller.
	callerRoundTrip = 6 * time.Millisecond
	// lateAnswerFactor is how long a late answer waits for its last shards, in
	// multiples of the objective and from when the caller started.
	lateAnswerFactor = 2.0
	// minRetryAfter is the shortest retry delay told to refused callers, maxRetryAfter
	// the longest one if nothing tells when they can be served.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// plan holds the times at which a forwarder acts on a request. Its methods don't
// read the clock.
type plan struct {
	// hedgeAt is when the next hedge round starts.
	hedgeAt time.Time
	// hedgeDelay is the time after which an attempt counts as a straggler.
	hedgeDelay time.Duration
	// hedgeRoundsLeft is the number of hedge rounds left.
	hedgeRoundsLeft int
	// retryAfter is the usual retry delay of a refused caller.
	retryAfter time.Duration
	// latestAnswer is when an answer with at least requiredShards must be sent, even
	// if shards are missing, to meet the objective. answerBy is when the forwarder
	// asks to be woken for it: sooner by the expected delay of wakeups, maxWakeup at
	// most.
	latestAnswer, answerBy time.Time
	maxWakeup              time.Duration
	// lateAnswerAt is the same for an answer that could not be sent at answerBy.
	lateAnswerAt time.Time
	// late is true if requiredShards were reached only at latestAnswer plus
	// answerMargin or later, so that the answer misses the objective anyway.
	late bool
	// answerDeadline is when the request must be answered.
	answerDeadline time.Time
	// requiredShards is the number of shards that a successful answer needs.
	requiredShards int
	// sharded is true if the answer is merged from several shards.
	sharded bool
}

// delays are the delays that a plan allows for; 0 where they are not known.
type delays struct {
	// usualReply is the time after which a reply counts as a straggler.
	usualReply time.Duration
	// wakeup is how late this node runs after the time it asked to be woken at.
	wakeup time.Duration
}

// newPlan returns the plan of a request.
func newPlan(request *Request, expected delays) plan {
	matched := request.Route
	objective := matched.TargetLatency
	answerDeadline := request.answerDeadline()
	if objective <= 0 {
		objective = answerDeadline.Sub(request.Received)
	}
	callerStart := request.Received.Add(-request.timeSpent)
	earliest := time.Duration(minHedgeFraction * float64(objective))
	latest := max(earliest, time.Duration(maxHedgeFraction*float64(objective-request.timeSpent)))
	delay := latest
	if expected.usualReply > 0 {
		delay = min(max(expected.usualReply, earliest), latest)
	}
	p := plan{
		hedgeAt:        request.Received.Add(delay),
		hedgeDelay:     delay,
		latestAnswer:   callerStart.Add(objective - callerRoundTrip - answerMargin),
		maxWakeup:      time.Duration(maxWakeupFraction * float64(objective)),
		lateAnswerAt:   callerStart.Add(time.Duration(lateAnswerFactor * float64(objective))),
		answerDeadline: answerDeadline.Add(-callerRoundTrip - 2*answerMargin),
		requiredShards: 1,
		sharded:        len(matched.Shards) > 0,
	}
	p.answerBy = p.latestAnswer
	p.expectWakeup(expected.wakeup)
	p.retryAfter = min(p.answerBy.Sub(p.hedgeAt), maxRetryAfter)
	if matched.Idempotent {
		p.hedgeRoundsLeft = hedgeRounds
	}
	if p.sharded {
		p.requiredShards = matched.MinimumShards()
	}
	return p
}

// expectWakeup brings answerBy forward to allow for the expected delay of wakeups. It
// never puts it off: the delay that is expected falls with each wakeup in time, and a
// forwarder would ask for one more each time until nothing was left for a late one.
func (p *plan) expectWakeup(delay time.Duration) {
	p.answerBy = minTime(p.answerBy, p.latestAnswer.Add(-min(delay, p.maxWakeup)))
}

// startHedgeRound reports whether a hedge round starts now. If so, it schedules the
// next one.
func (p *plan) startHedgeRound(now time.Time) bool {
	if p.hedgeRoundsLeft == 0 || now.Before(p.hedgeAt) {
		return false
	}
	p.hedgeRoundsLeft--
	p.hedgeAt = now.Add(p.hedgeDelay << (hedgeRounds - p.hedgeRoundsLeft))
	return true
}

// isStraggler reports whether an attempt started at the given time counts as a
// straggler. Half of the hedge delay is enough: hedge rounds are timed from the
// arrival of the request, and the first attempts start a little later.
func (p *plan) isStraggler(now, started time.Time) bool {
	return now.Sub(started) >= p.hedgeDelay/2
}

// recordEnough records when requiredShards have succeeded.
func (p *plan) recordEnough(now time.Time) {
	p.late = !now.Before(p.latestAnswer.Add(answerMargin))
}

// canAnswer reports whether a merged answer with the given number of successful
// shards, out of the total, is sent now. A complete answer is sent at once. A
// partial answer with at least requiredShards is sent from answerBy on, as it is
// better than a complete one that is late. But one that is late already waits for
// its missing shards until lateAnswerAt.
func (p *plan) canAnswer(now time.Time, succeeded, total int) bool {
	if !p.sharded || succeeded < p.requiredShards {
		return false
	}
	if succeeded == total || !now.Before(p.lateAnswerAt) {
		return true
	}
	return !p.late && !now.Before(p.answerBy)
}

// grantBy returns when the first replica must have been granted: the request is given
// up soon after, and a grant at the last moment would be missed by a late wakeup.
func (p *plan) grantBy() time.Time {
	return minTime(p.lateAnswerAt, p.answerDeadline).Add(-p.maxWakeup)
}

// nextWakeup returns the next time at which the forwarder has something to decide.
// It never returns a time at which there is nothing to do: the forwarder would
// spin.
func (p *plan) nextWakeup(now time.Time) time.Time {
	nextWakeup := p.answerDeadline
	if p.hedgeRoundsLeft > 0 {
		nextWakeup = minTime(nextWakeup, p.hedgeAt)
	}
	if p.sharded && now.Before(p.answerBy) {
		nextWakeup = minTime(nextWakeup, p.answerBy)
	}
	if now.Before(p.lateAnswerAt) {
		nextWakeup = minTime(nextWakeup, p.lateAnswerAt)
	}
	return nextWakeup
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
