package relay

import "time"

// Parts of a route's objective.
const (
	// firstHedge and lastHedge bound when a second replica is asked.
	firstHedge = 0.08
	lastHedge  = 0.40
	// hedgeRounds is how often a flight looks for shards that straggle; each time
	// after twice as long.
	hedgeRounds = 4
	// callerDelay is the part of the objective left for the way to the caller
	// and back.
	callerDelay = 6 * time.Millisecond
	// patience is how long, in objectives, an answer that is late already waits
	// for its last shards.
	patience = 2.0
	// shortestRetry and longestRetry bound what a refused caller is told.
	shortestRetry = 50 * time.Millisecond
	longestRetry  = 2 * time.Second
)

// plan is when a flight does what. Its decisions are pure.
type plan struct {
	// hedgeAt is when shards whose last attempt has no reply get another.
	hedgeAt time.Time
	// hedgeDelay is the time after which an attempt counts as a straggler.
	hedgeDelay time.Duration
	// rounds is how often that may still happen.
	rounds int
	// comeBack is a usual time after which a refused caller may come back.
	comeBack time.Duration
	// answerAt is when an answer goes out without its last shards.
	answerAt time.Time
	// lateAt is when an answer that could not go out at answerAt goes out; late
	// is true from answerAt on if it could not.
	lateAt time.Time
	late   bool
	// limit is when the request must have its answer.
	limit time.Time
	// least is the number of shards that make a success.
	least int
	shard bool
}

// newPlan plans a request. The usual delay is the time after which a reply
// counts as a straggler; 0 if that is not known.
func newPlan(request *Request, usual time.Duration) plan {
	matched := request.Route
	objective := matched.TargetLatency
	limit := request.limit()
	if objective <= 0 {
		objective = limit.Sub(request.Received)
	}
	began := request.Received.Add(-request.spent)
	earliest := time.Duration(firstHedge * float64(objective))
	latest := max(earliest, time.Duration(lastHedge*float64(objective-request.spent)))
	delay := latest
	if usual > 0 {
		delay = min(max(usual, earliest), latest)
	}
	p := plan{
		hedgeAt:    request.Received.Add(delay),
		hedgeDelay: delay,
		answerAt:   began.Add(objective - callerDelay - answerMargin),
		lateAt:     began.Add(time.Duration(patience * float64(objective))),
		limit:      limit.Add(-callerDelay - 2*answerMargin),
		least:      1,
		shard:      len(matched.Shards) > 0,
	}
	p.comeBack = p.answerAt.Sub(p.hedgeAt)
	if matched.Idempotent {
		p.rounds = hedgeRounds
	}
	if p.shard {
		p.least = matched.MinimumShards()
	}
	return p
}

// due reports whether the flight asks further replicas now, and plans the next
// such moment.
func (p *plan) due(now time.Time) bool {
	if p.rounds == 0 || now.Before(p.hedgeAt) {
		return false
	}
	p.rounds--
	p.hedgeAt = now.Add(p.hedgeDelay << (hedgeRounds - p.rounds))
	return true
}

// straggles reports whether an attempt that began at the time counts as a
// straggler. The first ones begin a little after the request arrived.
func (p *plan) straggles(now, began time.Time) bool {
	return now.Sub(began) >= p.hedgeDelay/2
}

// enough reports whether an answer with the given shards goes out now. While
// it is in time, an answer with a part left out is worth more than a late one;
// once it is late, it waits a while for what is missing.
func (p *plan) enough(now time.Time, done, all int) bool {
	if !p.shard || done < p.least {
		p.late = p.late || !now.Before(p.answerAt.Add(answerMargin))
		return false
	}
	if done == all || !now.Before(p.lateAt) {
		return true
	}
	return !p.late && !now.Before(p.answerAt)
}

// next returns when the flight has something to decide next; never a moment at
// which there is nothing to do.
func (p *plan) next(now time.Time) time.Time {
	next := p.limit
	if p.rounds > 0 {
		next = minTime(next, p.hedgeAt)
	}
	if p.shard && now.Before(p.answerAt) {
		next = minTime(next, p.answerAt)
	}
	if now.Before(p.lateAt) {
		next = minTime(next, p.lateAt)
	}
	return next
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func clampRetry(wait time.Duration) time.Duration {
	return min(max(wait, shortestRetry), longestRetry)
}
