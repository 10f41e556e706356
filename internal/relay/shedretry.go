package relay

import (
	"slices"
	"time"

	"github.com/bronzereach/bronzereach/pkg/budget"
)

// Parameters of the retries of a shard that all of its replicas have shed.
const (
	// firstShedDelay is the time until the first of these retries. It is doubled for
	// each further one.
	firstShedDelay = 8 * time.Millisecond
	// maxShedRetries is how many of them a shard gets. Sent to upstreams that are
	// overloaded, more would add to their load.
	maxShedRetries = 4
)

// shedRetry plans the retries of a shard that all of its replicas shed, or had no free
// capacity for. To give the shard up would waste what the other shards of the
// query have done already. The zero value has no retry due.
type shedRetry struct {
	// count is the number of retries planned so far, at most maxShedRetries.
	count int
	// at is when the next one is due; zero if there is none.
	at time.Time
}

// planNext plans one more retry, which must be before the given time. It reports whether
// there is one.
func (r *shedRetry) planNext(now, before time.Time) bool {
	at := now.Add(firstShedDelay << r.count)
	if r.count >= maxShedRetries || !at.Before(before) {
		return false
	}
	r.count++
	r.at = at
	return true
}

// takeDue reports whether a retry is due, and removes it.
func (r *shedRetry) takeDue(now time.Time) bool {
	if r.at.IsZero() || now.Before(r.at) {
		return false
	}
	r.at = time.Time{}
	return true
}

// deferRetry plans a retry of a shard whose last attempt was shed, if the request is a
// query of several shards and an upstream of the shard may take it then. Replicas that did
// not run the request may be tried again.
func (f *forwarder) deferRetry(s *shardState) bool {
	now := time.Now()
	if len(f.shards) == 1 || s.reason != ReasonShed || s.retryDenied == ReasonNoBudget {
		return false
	}
	if s.service.availability(now, f.request.Rank()).usable == 0 {
		return false
	}
	if !s.shedRetry.planNext(now, minTime(f.plan.lateAnswerAt, f.plan.answerDeadline)) {
		return false
	}
	s.triedReplicas = slices.Clone(s.ranReplicas)
	return true
}

// retryShed starts the retries that are due.
func (f *forwarder) retryShed(now time.Time) {
	for i := range f.shards {
		s := &f.shards[i]
		if s.settled || !s.shedRetry.takeDue(now) {
			continue
		}
		if f.startExtraAttempt(i, s, budget.Retry) || len(s.running) > 0 || f.deferRetry(s) {
			continue
		}
		f.settle(s, nil, s.reason)
	}
}

// nextShedRetry returns the time of the next retry, or the given time if that is earlier.
func (f *forwarder) nextShedRetry(wakeup time.Time) time.Time {
	for i := range f.shards {
		if s := &f.shards[i]; !s.settled && !s.shedRetry.at.IsZero() {
			wakeup = minTime(wakeup, s.shedRetry.at)
		}
	}
	return wakeup
}
