package relay

import (
	"time"
)

const (
	// leavingRetryAfter is the retry delay told to callers that are refused because the
	// node leaves, if other nodes can serve them at once, and aloneRetryAfter the one if
	// there are none.
	leavingRetryAfter = 10 * time.Millisecond
	aloneRetryAfter   = time.Second
	// idempotentReserve and onceReserve are the time that a request must have on a node
	// that leaves, in multiples of the longest that others of its route took lately: for
	// idempotent requests, and for those that must not be repeated.
	idempotentReserve = 2
	onceReserve       = 4
)

// leaving says which requests a node that leaves still takes. The zero value takes all.
type leaving struct {
	// answerBy is when every request must be answered, as the process may be killed
	// soon after; zero if that is not known.
	answerBy time.Time
	// closed is true once no request is taken any more.
	closed bool
}

// WithClosed returns the state in which no request is taken.
func (l leaving) WithClosed() leaving {
	l.closed = true
	return l
}

// refuses reports whether a request is refused because it might not be answered in time.
// longest is the longest that others of its route took lately; 0 if that is not known.
func (l leaving) refuses(now time.Time, request *Request, longest time.Duration) bool {
	if l.closed || l.answerBy.IsZero() {
		return l.closed
	}
	return now.Add(timeNeeded(request, longest)).After(l.answerBy)
}

// timeNeeded returns how much time a request must have on a node that leaves: all that it
// may take, unless others of its route show that it needs less. An idempotent one can be
// repeated elsewhere, so that twice its objective is enough.
func timeNeeded(request *Request, longest time.Duration) time.Duration {
	needed := request.answerDeadline().Sub(request.Received)
	if !request.Route.Idempotent {
		if longest > 0 {
			needed = min(needed, onceReserve*longest)
		}
		return needed
	}
	if longest > 0 {
		needed = min(needed, idempotentReserve*longest)
	}
	if objective := request.Route.TargetLatency; objective > 0 {
		needed = min(needed, time.Duration(lateAnswerFactor*float64(objective)))
	}
	return needed
}

// refuseLeaving returns a refusal if the node leaves and might end before the request is
// answered, and nil otherwise.
func (r *Relay) refuseLeaving(request *Request) *Answer {
	now := time.Now()
	if !r.leaving.Load().refuses(now, request, r.answerTimes.longest(request.Route.Name, now)) {
		return nil
	}
	if r.config.Fleet().Replaceable {
		return refusal(ReasonLeaving, leavingRetryAfter)
	}
	return refusal(ReasonLeaving, aloneRetryAfter)
}

// Leave makes the relay refuse the requests that might not be answered until answerBy,
// which is zero if there is no such time, and log every answer, as far as the rate of
// lines allows.
func (r *Relay) Leave(answerBy time.Time) {
	r.leaving.Store(&leaving{answerBy: answerBy})
	r.logLimiter.logAll()
}

// CloseAdmission makes the relay refuse all further requests.
func (r *Relay) CloseAdmission() {
	closed := r.leaving.Load().WithClosed()
	r.leaving.Store(&closed)
}

// AnswerNow makes the relay answer all requests in progress with what it knows of them.
// The answers must be written by the given time.
func (r *Relay) AnswerNow(writeBy time.Time) {
	r.CloseAdmission()
	r.answerNowOnce.Do(func() {
		r.lastReplyTime = min(arrivedReplyTime, time.Until(writeBy)/4)
		close(r.answerNow)
	})
}
