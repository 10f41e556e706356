package relay

import (
	"sort"
	"time"

	"github.com/bronzereach/bronzereach/pkg/fairness"
)

// availability tells when a service can take one more request.
type availability struct {
	// usable is the number of replicas that may get attempts, untilUsable the time
	// until the first of the others may.
	usable      int
	untilUsable time.Duration
	// rateWait is how long the rate limits of the usable replicas keep the request
	// waiting.
	rateWait time.Duration
	// backsOff is true if the upstreams themselves have told until when none of the
	// replicas may be used.
	backsOff bool
	// forecast tells when the turn of the request comes, given those that wait. It is
	// unknown without teams.
	forecast fairness.Forecast
	// cause is whose waiters are most of those ahead.
	cause aheadCause
}

// aheadCause tells whose waiters go before a request.
type aheadCause string

// The causes.
const (
	// aheadUrgent are waiters of more urgent ranks, aheadOwnTeam others of the request's
	// team, and aheadOtherTeams those of other teams with its rank.
	aheadUrgent     aheadCause = "moreUrgent"
	aheadOwnTeam    aheadCause = "ownTeam"
	aheadOtherTeams aheadCause = "otherTeams"
)

// availability returns when the service can take one more request with the place.
func (s *service) availability(now time.Time, p place) (a availability) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.usable, a.untilUsable = s.replicaGroup.CountUsable(now)
	a.rateWait = s.replicaGroup.RateWait(now, s.countWaiters(p))
	a.backsOff = s.unusableReason(now) == ReasonBackingOff
	return a
}

// countWaiters returns how many waiters go before a new one with the place.
func (s *service) countWaiters(p place) int {
	return sort.Search(len(s.waiting), func(i int) bool { return p.goesBefore(s.waiting[i].place) })
}

// turn returns the forecast for one more waiter, and whose waiters are most of those ahead.
func (s *service) turn(now time.Time, next waiter) (forecast fairness.Forecast, cause aheadCause) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		return forecast, ""
	}
	forecast = fairness.Forecast{Left: next.grantBy.Sub(now), InTime: next.answerBy.Sub(now), Backlog: now.Sub(s.backlogSince)}
	forecast.Slots, forecast.SlotTime = s.replicaGroup.Slots(next.grantBy)
	ahead := s.countAhead(now, next.place)
	forecast.Ahead = ahead.grants(forecast.Slots)
	return forecast, ahead.cause()
}

// aheadCounts counts the waiters ahead of another one. Those that have no turn any more
// don't count: they go after it.
type aheadCounts struct {
	// urgent are of more urgent ranks, own of the same rank and team, and others of the same
	// rank and another team.
	urgent, own, others int
	// passed is true if a waiter of the rank has no turn any more.
	passed bool
}

func (s *service) countAhead(now time.Time, p place) (ahead aheadCounts) {
	for i := range s.waiting[:s.countWaiters(p)] {
		switch w := &s.waiting[i]; {
		case !w.hasTurn(now):
			ahead.passed = ahead.passed || w.place.rank == p.rank
		case w.place.rank < p.rank:
			ahead.urgent++
		case w.place.team == p.team:
			ahead.own++
		default:
			ahead.others++
		}
	}
	return ahead
}

// grants returns how many grants go to others before the waiter's turn. If more urgent ones
// could use all slots, and have kept coming for so long that a waiter of the rank has lost
// its turn, the rank is expected to get no more than its floor. The first of a rank is never
// refused for that.
func (a aheadCounts) grants(slots int) int {
	sameRank := a.own + a.others
	switch {
	case a.urgent == 0:
		return sameRank
	case a.passed && a.urgent >= slots:
		return floorEvery * sameRank
	default:
		return min(a.urgent+sameRank, floorEvery*(sameRank+1))
	}
}

// cause returns whose waiters are most of those ahead.
func (a aheadCounts) cause() aheadCause {
	switch {
	case a.urgent >= max(a.own, a.others):
		return aheadUrgent
	case a.own >= a.others:
		return aheadOwnTeam
	default:
		return aheadOtherTeams
	}
}
