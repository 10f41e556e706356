package replica

import "time"

// pausedProbeInterval is the time between two probes of a replica that is paused after
// failures.
const pausedProbeInterval = 25 * time.Millisecond

// Probe returns the replica that may get one attempt although it is paused after failures,
// because no replica of the group may be used; nil if there is none. Upstreams that fail only
// a part of their requests would else refuse whole queries for the whole pause.
func (g *Group[C]) Probe(now time.Time) *Replica[C] {
	var earliest *Replica[C]
	for _, replica := range g.replicas {
		state := &replica.state
		if state.usable(now) {
			return nil
		}
		if !state.probeable(now) || !replica.pacer.allows(g.rateShare, now) {
			continue
		}
		if earliest == nil || state.downUntil.Before(earliest.state.downUntil) {
			earliest = replica
		}
	}
	return earliest
}

// probeable reports whether an upstream that is paused after failures may get one attempt.
func (u *state) probeable(now time.Time) bool {
	return !u.withdrawn() && !u.backoff.active(now) && u.inFlight == 0 && now.Sub(u.lastUsed) >= pausedProbeInterval
}
