package relay

import "time"

// answerTimePeriod is how long the longest answer time of a route counts before it is
// measured again.
const answerTimePeriod = 15 * time.Second

// answerTime tracks the longest time that requests of one route took lately.
type answerTime struct {
	// longest belongs to the current period, previous to the one before it.
	longest, previous time.Duration
	// periodStart is when the current period began.
	periodStart time.Time
}

// advance begins a new period if the current one is over.
func (a *answerTime) advance(now time.Time) {
	if elapsed := now.Sub(a.periodStart); elapsed >= answerTimePeriod {
		if elapsed >= 2*answerTimePeriod {
			a.longest = 0
		}
		a.previous, a.longest, a.periodStart = a.longest, 0, now
	}
}

// answerTimes holds the answerTime of each route.
type answerTimes struct {
	*perRoute[answerTime]
}

func newAnswerTimes() answerTimes {
	return answerTimes{newPerRoute(func() *answerTime { return &answerTime{} })}
}

// add records how long a request took that an upstream has answered.
func (t answerTimes) add(route string, now time.Time, took time.Duration) {
	t.update(route, func(a *answerTime) {
		a.advance(now)
		a.longest = max(a.longest, took)
	})
}

// longest returns the longest that a request of the route took in the current or the
// previous period; 0 if there was none.
func (t answerTimes) longest(route string, now time.Time) (longest time.Duration) {
	t.update(route, func(a *answerTime) {
		a.advance(now)
		longest = max(a.longest, a.previous)
	})
	return longest
}
