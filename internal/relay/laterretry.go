package relay

import (
	"time"

	"github.com/bronzereach/bronzereach/pkg/budget"
)

// Parameters of the later retries of a shard whose attempts have all failed.
const (
	// firstRetryDelay is the time until the first of these retries. It is doubled for
	// each further one.
	firstRetryDelay = 8 * time.Millisecond
	// maxLaterRetries is how many of them a shard gets. Sent to upstreams that are
	// overloaded, more would add to their load.
	maxLaterRetries = 4
)

// laterRetry plans the later retries of a shard whose replicas shed it, or had no free
// capacity for a retry after one that failed. To give the shard up would waste what the
// other shards of the query have done already. The zero value has no retry due.
type laterRetry struct {
	// count is the number of retries planned so far, at most maxLaterRetries.
	count int
	// at is when the next one is due; zero if there is none.
	at time.Time
}

// planNext plans one more retry, which must be before the given time. It reports whether
// there is one.
func (r *laterRetry) planNext(now, before time.Time) bool {
	at := now.Add(firstRetryDelay << r.count)
	if r.count >= maxLaterRetries || !at.Before(before) {
		return false
	}
	r.count++
	r.at = at
	return true
}

// takeDue reports whether a retry is due, and removes it.
func (r *laterRetry) takeDue(now time.Time) bool {
	if r.at.IsZero() || now.Before(r.at) {
		return false
	}
	r.at = time.Time{}
	return true
}

// retriesLater reports whether a shard may be tried again some time after an attempt that
// ended for the reason: an upstream that is not reached, or does not answer, is no better
// then.
func retriesLater(reason Reason) bool {
	switch reason {
	case ReasonShed, ReasonBrokenReply, ReasonInvalidReply, ReasonFailureReply:
		return true
	default:
		return false
	}
}

// planLaterRetry plans a retry of a shard whose attempts have all failed, if the request is
// a query of several shards, the route allows one more attempt, and an upstream of the shard
// may be used. It reports whether there is one.
func (f *forwarder) planLaterRetry(s *shardState) bool {
	now := time.Now()
	if len(f.shards) == 1 || !retriesLater(s.reason) || s.retryDenied == ReasonNoBudget {
		return false
	}
	if s.countedAttempts >= f.request.Route.Attempts {
		return false
	}
	if a := s.service.availability(now, f.place()); a.usable == 0 && (a.untilUsable == 0 || a.backsOff) {
		return false
	}
	return s.laterRetry.planNext(now, minTime(f.plan.lateAnswerAt, f.plan.answerDeadline))
}

// retryLater starts the later retries that are due.
func (f *forwarder) retryLater(now time.Time) {
	for i := range f.shards {
		s := &f.shards[i]
		if s.settled || !s.laterRetry.takeDue(now) {
			continue
		}
		if f.startLaterRetry(now, i) || len(s.running) > 0 || f.planLaterRetry(s) {
			continue
		}
		f.settle(s, nil, s.reason)
	}
}

// startLaterRetry starts one more attempt of a shard. Replicas that did not run the request
// may be tried again.
func (f *forwarder) startLaterRetry(now time.Time, i int) bool {
	s := &f.shards[i]
	if !now.Before(f.plan.answerDeadline) {
		return false
	}
	var chosen *upstreamReplica
	if chosen, s.retryDenied = s.service.reserveUntriedReplica(now, s.ranReplicas, budget.Retry); chosen == nil {
		return false
	}
	f.startAttempt(i, chosen, budget.Retry.String())
	return true
}

// nextLaterRetry returns the time of the next retry, or the given time if that is earlier.
func (f *forwarder) nextLaterRetry(wakeup time.Time) time.Time {
	for i := range f.shards {
		if s := &f.shards[i]; !s.settled && !s.laterRetry.at.IsZero() {
			wakeup = minTime(wakeup, s.laterRetry.at)
		}
	}
	return wakeup
}
