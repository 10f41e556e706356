package replica

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// backoffSpread is the fraction of a backoff by which a node may prolong it, and
	// maxBackoffSpread the longest time, so that nodes return at different times.
	backoffSpread    = 0.1
	maxBackoffSpread = time.Second
	// slowStartTime is the longest time in which the attempts at a replica grow to
	// their usual number after a backoff. It is never longer than the backoff.
	slowStartTime = 2 * time.Second
)

// backoff is a time for which an upstream wants no requests, followed by a slow start.
// It is passed by value; the zero value is none.
type backoff struct {
	// until is the end of the backoff, fullAt that of the slow start.
	until, fullAt time.Time
}

// WithEnd returns the backoff that lasts until the given time at least.
func (b backoff) WithEnd(now, until time.Time) backoff {
	if !until.After(b.until) {
		return b
	}
	return backoff{until: until, fullAt: until.Add(min(until.Sub(now), slowStartTime))}
}

// active reports whether the upstream wants no requests.
func (b backoff) active(now time.Time) bool {
	return now.Before(b.until)
}

// limit returns how many attempts may be in progress, given the number without a slow
// start, which is at least 1.
func (b backoff) limit(usual float64, now time.Time) float64 {
	if !now.Before(b.fullAt) {
		return usual
	}
	progress := float64(now.Sub(b.until)) / float64(b.fullAt.Sub(b.until))
	return 1 + (usual-1)*max(progress, 0)
}

// backOff records that the upstream wants no requests until the given time. A backoff is
// never shortened. backOff reports whether the upstream was not backing off before, or for
// a much shorter time.
func (u *state) backOff(now, until time.Time, random *rand.Rand) (news bool) {
	if !until.After(now) || !until.After(u.backoff.until) {
		return false
	}
	news = !u.backoff.active(now) || until.Sub(u.backoff.until) > maxBackoffSpread
	spread := min(backoffSpread*until.Sub(now).Seconds(), maxBackoffSpread.Seconds())
	until = until.Add(time.Duration(random.Float64() * spread * float64(time.Second)))
	u.backoff = u.backoff.WithEnd(now, until)
	return news
}

// countUnused adds the upstream to one of the numbers if it gets nothing because it is
// leaving or backing off.
func (u *state) countUnused(now time.Time, leaving, backingOff *int) {
	switch {
	case u.leaving:
		*leaving++
	case u.backoff.active(now):
		*backingOff++
	}
}

// BackOff records that a replica wants no requests until the given time, as state.backOff.
func (g *Group[C]) BackOff(replica *Replica[C], now, until time.Time, random *rand.Rand) (news bool) {
	replica = g.current(replica)
	news = replica.state.backOff(now, until, random)
	if !slices.Contains(g.replicas, replica) {
		g.rememberBackoffs(now, []*Replica[C]{replica})
	}
	return news
}

// BacksOffUntil returns the end of the last backoff; zero if there was none.
func (r *Replica[C]) BacksOffUntil() time.Time {
	return r.state.backoff.until
}

// NextGrant returns the time until a replica that can't take an attempt now may, because
// its rate limit allows it or its pause ends; ok is false if no replica waits for that.
func (g *Group[C]) NextGrant(now time.Time) (wait time.Duration, ok bool) {
	wait, ok = g.NextRateAllowed(now)
	if _, paused := g.CountUsable(now); paused > 0 && (!ok || paused < wait) {
		return paused, true
	}
	return wait, ok
}

// Stranded reports whether requests wait in vain for a replica: all of them are leaving,
// evacuated or backing off.
func (g *Group[C]) Stranded(now time.Time) bool {
	for _, replica := range g.replicas {
		if !replica.state.withdrawn() && !replica.state.backoff.active(now) {
			return false
		}
	}
	return true
}

// CountUnused returns how many replicas are leaving, and how many others back off.
func (g *Group[C]) CountUnused(now time.Time) (leaving, backingOff int) {
	for _, replica := range g.replicas {
		replica.state.countUnused(now, &leaving, &backingOff)
	}
	return leaving, backingOff
}

// rememberBackoffs keeps the backoffs of replicas that were removed until they end, as
// the upstreams may register again.
func (g *Group[C]) rememberBackoffs(now time.Time, removed []*Replica[C]) {
	for instance, b := range g.removedBackoffs {
		if !b.active(now) {
			delete(g.removedBackoffs, instance)
		}
	}
	for _, replica := range removed {
		if replica.state.backoff.active(now) {
			g.removedBackoffs[replica.Registration.Instance()] = replica.state.backoff
		}
	}
}
