package relay

import "time"

// deadlinePeriod is how long a route's longest deadline counts before it is
// measured again, as callers may start to use shorter deadlines.
const deadlinePeriod = 15 * time.Second

// deadlineTracker tracks the longest deadline that callers of one route have
// stated recently. It is taken as the time that a caller of the route starts
// with.
type deadlineTracker struct {
	// longestDeadline belongs to the current period, previousLongest to the one
	// before it.
	longestDeadline, previousLongest time.Duration
	// periodStart is when the current period began.
	periodStart time.Time
}

// timeSpent records a stated deadline (the time left on arrival) and returns
// how much time the caller had spent before the request arrived, for example
// on name resolution, on connecting or on earlier attempts.
func (t *deadlineTracker) timeSpent(now time.Time, stated time.Duration) time.Duration {
	if now.Sub(t.periodStart) >= deadlinePeriod {
		t.previousLongest, t.longestDeadline, t.periodStart = t.longestDeadline, 0, now
	}
	t.longestDeadline = max(t.longestDeadline, stated)
	return max(t.longestDeadline, t.previousLongest) - stated
}

// deadlineTrackers holds the deadlineTracker of each route.
type deadlineTrackers struct {
	*perRoute[deadlineTracker]
}

func newDeadlineTrackers() deadlineTrackers {
	return deadlineTrackers{newPerRoute(func() *deadlineTracker { return &deadlineTracker{} })}
}

// timeSpent returns how much of the route's objective the caller had spent before
// the request arrived. If that appears to be the whole objective or more, it
// returns 0: such a caller probably just uses a shorter deadline than others.
func (t deadlineTrackers) timeSpent(request *Request) (spent time.Duration) {
	if request.NoDeadline {
		return 0
	}
	t.update(request.Route.Name, func(tracker *deadlineTracker) {
		spent = tracker.timeSpent(request.Received, request.Deadline.Sub(request.Received))
	})
	if spent >= request.Route.TargetLatency {
		return 0
	}
	return spent
}
