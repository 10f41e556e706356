package standin

import (
	"time"

	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// noticeTime is how long after a reply that tells that an upstream wants no requests some
// may still arrive, as they were on their way.
const noticeTime = 500 * time.Millisecond

// notice is a time in which an upstream wants no requests because it told so in its
// replies. It is passed by value; the zero value is none.
type notice struct {
	// told is when the upstream told so first.
	told time.Time
	// until is the end of the time; forever is true if there is none.
	until   time.Time
	forever bool
}

// With returns the notice after a reply with the given load.
func (n notice) With(now time.Time, load upstream.Load) notice {
	if load.RetryAfter == 0 && !load.Leaving {
		return n
	}
	if !n.forever && !now.Before(n.until) {
		n.told = now
	}
	n.forever = n.forever || load.Leaving
	if until := now.Add(time.Duration(load.RetryAfter)); until.After(n.until) {
		n.until = until
	}
	return n
}

// forbids reports whether a request that arrives now should not have been sent.
func (n notice) forbids(now time.Time) bool {
	return now.Sub(n.told) > noticeTime && (n.forever || now.Before(n.until))
}

// TellLeaving makes the upstream tell in its replies that it is leaving, while it still
// serves requests and its state endpoint says nothing of it.
func (u *Upstream) TellLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tellsLeaving = true
}

// Unwanted returns the number of requests so far that arrived more than noticeTime after
// the upstream had told in a reply that it wanted none, and before the end of that time.
func (u *Upstream) Unwanted() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.unwanted
}

// countArrival counts a request as unwanted if it is.
func (u *Upstream) countArrival() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.notice.forbids(time.Now()) {
		u.unwanted++
	}
}

// replyLoad returns the load that a reply with the outcome reports.
func (u *Upstream) replyLoad(outcome upstream.Outcome) *upstream.Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	load := upstream.Load{InFlight: u.inFlight, Queued: u.queued, Leaving: u.leaving || u.tellsLeaving}
	if outcome == upstream.Shed {
		load.RetryAfter = upstream.RetryAfter(u.faults.RetryAfter)
	}
	u.notice = u.notice.With(time.Now(), load)
	return &load
}
