package relay

import (
	"time"
)

// leavingRetryAfter is the retry delay told to callers that are refused because the
// node leaves: other nodes can serve them at once.
const leavingRetryAfter = 10 * time.Millisecond

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

// refuses reports whether a request is refused because it might not be answered in
// time.
func (l leaving) refuses(now time.Time, request *Request) bool {
	if l.closed || l.answerBy.IsZero() {
		return l.closed
	}
	return now.Add(timeNeeded(request)).After(l.answerBy)
}

// timeNeeded returns how much time a request must have on a node that leaves. One that
// must not be repeated needs all the time that it may take. An idempotent one that is
// given up after the time in which such requests are usually answered can be repeated
// at another node.
func timeNeeded(request *Request) time.Duration {
	longest := request.answerDeadline().Sub(request.Received)
	if !request.Route.Idempotent || request.Route.TargetLatency <= 0 {
		return longest
	}
	return min(longest, time.Duration(lateAnswerFactor*float64(request.Route.TargetLatency)))
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
func (r *Relay) AnswerNow() {
	r.CloseAdmission()
	r.answerNowOnce.Do(func() { close(r.answerNow) })
}
