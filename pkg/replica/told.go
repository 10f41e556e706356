package replica

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Incarnation returns the incarnation of the upstream that was seen last; empty if none
// was.
func (s *Set) Incarnation(position int) string {
	return s.states[position].incarnation
}

// isIncarnation reports whether the upstream may be of the given incarnation. An empty one
// is not known.
func (u *state) isIncarnation(incarnation string) bool {
	return incarnation == "" || u.incarnation == "" || incarnation == u.incarnation
}

// MarkLeaving records that an incarnation of the upstream is leaving, as was told at the given
// time, which is taken for the present one if none was seen. The upstream gets no new attempts
// until another incarnation is seen. It reports whether the upstream was not yet marked.
func (s *Set) MarkLeaving(position int, incarnation string, at time.Time) bool {
	state := &s.states[position]
	if !state.isIncarnation(incarnation) {
		return false
	}
	if state.incarnation == "" {
		state.incarnation = incarnation
	}
	if state.incarnation == "" {
		state.markedAt = at
	}
	changed := !state.leaving
	state.leaving = true
	return changed
}

// BackOff records that an incarnation of the upstream wants no requests until the given
// time, or until another incarnation is seen. It reports whether that is news.
func (s *Set) BackOff(position int, incarnation string, now, until time.Time, random *rand.Rand) bool {
	state := &s.states[position]
	return state.isIncarnation(incarnation) && state.backOff(now, until, random)
}

// BacksOffUntil returns the end of the last backoff of the upstream; zero if there was
// none.
func (s *Set) BacksOffUntil(position int) time.Time {
	return s.states[position].backoff.until
}

// NoteStart records that the present process of the upstream started no sooner than at the
// given time. A mark that named no process, and was told before, is about a former one.
func (s *Set) NoteStart(position int, notBefore time.Time) {
	state := &s.states[position]
	if !state.markedAt.IsZero() && notBefore.After(state.markedAt) {
		state.leaving, state.markedAt = false, time.Time{}
	}
}

// UpdateState records the incarnation and the index versions that the upstream
// reports. For a new incarnation the concurrency limit starts again at 1, and the
// latency, the failures, the backoff and the leaving mark are cleared.
func (s *Set) UpdateState(position int, incarnation string, versions []uint64) {
	state := &s.states[position]
	if state.incarnation != incarnation {
		if state.incarnation != "" {
			state.leaving = false
			state.backoff = backoff{}
			state.limit = 1
			state.latency = 0
		}
		state.incarnation, state.markedAt = incarnation, time.Time{}
		state.failures = 0
		state.downUntil = time.Time{}
	}
	state.versions = slices.Clone(versions)
	slices.Sort(state.versions)
}

// TakeOver takes over from another set what the upstreams that are in both told of
// themselves. It is to be called before anything else is known of them.
func (s *Set) TakeOver(previous *Set) {
	for i := range s.states {
		state := &s.states[i]
		position := previous.Position(state.address)
		if position < 0 {
			continue
		}
		told := &previous.states[position]
		if state.incarnation == "" || told.leaving || told.backoff != (backoff{}) {
			state.incarnation, state.leaving, state.backoff = told.incarnation, told.leaving, told.backoff
			state.markedAt = told.markedAt
		}
	}
}

// CountUnused returns how many upstreams are leaving, and how many others back off.
func (s *Set) CountUnused(now time.Time) (leaving, backingOff int) {
	for i := range s.states {
		s.states[i].countUnused(now, &leaving, &backingOff)
	}
	return leaving, backingOff
}

// CountUsable returns how many upstreams may get new attempts.
func (s *Set) CountUsable(now time.Time) (count int) {
	for i := range s.states {
		if s.states[i].usable(now) {
			count++
		}
	}
	return count
}

// Unwanted reports whether the upstream at the position is leaving, or wants no requests
// until the given time.
func (s *Set) Unwanted(position int, until time.Time) bool {
	state := &s.states[position]
	return state.leaving || state.backoff.active(until)
}

// Returns reports whether the upstream at the position has the version and backs off now,
// and will want requests again before the given time.
func (s *Set) Returns(position int, version uint64, now, before time.Time) bool {
	state := &s.states[position]
	return !state.leaving && state.hasVersion(version) && state.backoff.active(now) && !state.backoff.active(before)
}
