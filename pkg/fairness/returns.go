package fairness

import "time"

const (
	// maxReturns bounds the number of callers that are remembered. Further ones may return
	// at any time.
	maxReturns = 4096
	// forgetInterval is the least time between two removals of times that have passed.
	forgetInterval = time.Second
)

// Caller is a caller of a team, by its IP address.
type Caller struct {
	Team    string
	Address string
}

// Returns remembers when refused callers were told to return. It is not safe for concurrent
// use.
type Returns struct {
	told map[Caller]toldReturn
	// obedient is the number of callers of each team that are in told and have not
	// returned early; none is 0.
	obedient map[string]int
	// forgotten is when the times that had passed were removed last.
	forgotten time.Time
}

// toldReturn is when a caller was told to return, and whether it has returned before.
type toldReturn struct {
	at    time.Time
	early bool
}

// NewReturns returns a memory of no callers.
func NewReturns() *Returns {
	return &Returns{told: map[Caller]toldReturn{}, obedient: map[string]int{}}
}

// Tell records that a caller was told to return at a time.
func (r *Returns) Tell(now time.Time, caller Caller, at time.Time) {
	r.forget(now)
	r.remove(caller)
	if len(r.told) >= maxReturns {
		return
	}
	r.told[caller] = toldReturn{at: at}
	r.obedient[caller.Team]++
}

// Early reports whether a caller returns before the time it was told, and how many others of
// its team have not returned yet, as they were told.
func (r *Returns) Early(now time.Time, caller Caller) (early bool, others int) {
	told, known := r.told[caller]
	if !known {
		return false, 0
	}
	r.remove(caller)
	if !now.Before(told.at) {
		return false, 0
	}
	r.told[caller] = toldReturn{at: told.at, early: true}
	return true, r.obedient[caller.Team]
}

// forget removes the times that have passed.
func (r *Returns) forget(now time.Time) {
	if now.Sub(r.forgotten) < forgetInterval {
		return
	}
	r.forgotten = now
	for caller, told := range r.told {
		if !now.Before(told.at) {
			r.remove(caller)
		}
	}
}

// remove forgets a caller.
func (r *Returns) remove(caller Caller) {
	told, known := r.told[caller]
	if !known {
		return
	}
	delete(r.told, caller)
	if told.early {
		return
	}
	r.obedient[caller.Team]--
	if r.obedient[caller.Team] == 0 {
		delete(r.obedient, caller.Team)
	}
}
