package upstream

import (
	"cmp"
	"slices"
	"time"
)

// returnTime is how long after an outage of the store an upstream whose
// registration lapsed meanwhile may take to register again.
const returnTime = 2200 * time.Millisecond

// outageTime is how long calls on the store have to fail for registrations to
// have lapsed meanwhile; a single call that went silent is no outage.
const outageTime = time.Second

// Registry keeps the registrations that a store holds, through the store's
// outages: what is missing just after one counts only once its upstream has had
// the time to register again. It reads no clock and is not safe for concurrent
// use.
type Registry struct {
	current map[string]Registration
	// missing holds when a registration was first seen to be gone, of those
	// that are kept a while.
	missing map[string]time.Time
	// lost is since when the store can't be reached, zero while it can; found is
	// when the last outage ended.
	lost  time.Time
	found time.Time
	// heard holds what peers said of upstreams that leave.
	heard map[string]departure
}

// departure is a peer's word that an upstream leaves or is gone.
type departure struct {
	// revision is that of the store which says so: what is registered later does
	// not leave.
	revision uint64
	// until is when it is forgotten.
	until time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{current: map[string]Registration{}, missing: map[string]time.Time{}, heard: map[string]departure{}}
}

// Lose notes that a call on the store failed.
func (r *Registry) StoreFailed(now time.Time) {
	if r.lost.IsZero() {
		r.lost = now
	}
}

// Find notes that the store answers.
func (r *Registry) StoreAnswered(now time.Time) {
	if !r.lost.IsZero() && now.Sub(r.lost) >= outageTime {
		r.found = now
	}
	r.lost = time.Time{}
}

// Put takes over a registration. A process that leaves stays so, whatever it
// announces afterwards.
func (r *Registry) Put(registration Registration) {
	delete(r.missing, registration.ID)
	if old := r.current[registration.ID]; old.SameProcess(registration) && old.Leaving {
		registration.Leaving = true
	}
	if r.heard[registration.ID].revision < registration.Revision {
		delete(r.heard, registration.ID)
	}
	r.current[registration.ID] = registration
}

// hearsayTime is how long a peer's word that an upstream leaves is believed
// without the store's: longer than a lagging read of the store lags.
const hearsayTime = 12 * time.Second

// Leave notes a peer's word that an upstream leaves as of a revision of the
// store and reports whether it is news.
func (r *Registry) PeerReportedLeaving(now time.Time, id string, revision uint64) bool {
	registration, known := r.current[id]
	if known && registration.Revision > revision {
		return false
	}
	before := r.heard[id]
	r.heard[id] = departure{revision: max(revision, before.revision), until: now.Add(hearsayTime)}
	return known && !registration.Leaving && before.until.IsZero()
}

// Spoil removes a registration that can no longer be read.
func (r *Registry) Discard(id string) {
	delete(r.missing, id)
	delete(r.current, id)
}

// Remove notes that a registration is gone from the store and reports whether
// it counts at once. What a lagging read says may be of an outage that nobody
// here has noticed.
func (r *Registry) Remove(now time.Time, id string, lagging bool) bool {
	if _, known := r.current[id]; !known {
		return false
	}
	if lagging || r.recent(now) {
		if _, noted := r.missing[id]; !noted {
			r.missing[id] = now
		}
		return false
	}
	r.Discard(id)
	return true
}

// recent reports whether an outage ended a moment ago.
func (r *Registry) recent(now time.Time) bool {
	return !r.found.IsZero() && now.Sub(r.found) < returnTime
}

// Replace takes over all registrations of the store at once and returns the IDs
// of those that are gone.
func (r *Registry) Replace(now time.Time, registrations []Registration) (gone []string) {
	present := make(map[string]bool, len(registrations))
	for _, registration := range registrations {
		present[registration.ID] = true
		r.Put(registration)
	}
	for id := range r.current {
		if !present[id] && r.Remove(now, id, false) {
			gone = append(gone, id)
		}
	}
	return gone
}

// Expire gives up what has been missing for too long and forgets what peers
// said long ago. It returns the IDs that are gone and whether anything changed.
func (r *Registry) Expire(now time.Time) (gone []string, changed bool) {
	for id, d := range r.heard {
		if !now.Before(d.until) {
			delete(r.heard, id)
			changed = true
		}
	}
	for id, since := range r.missing {
		if now.Sub(since) < returnTime {
			continue
		}
		gone = append(gone, id)
		r.Discard(id)
	}
	return gone, changed || len(gone) > 0
}

// Vouched returns what the store says of the registrations, to tell others.
func (r *Registry) FromStore() []Registration {
	return r.list(func(Registration) bool { return false })
}

// All returns the registrations by ID. Of several at one address only the one
// that started last counts.
func (r *Registry) All() []Registration {
	return r.list(func(registration Registration) bool {
		d, heard := r.heard[registration.ID]
		return heard && d.revision >= registration.Revision
	})
}

// list returns the registrations; leaves tells which leave besides those that
// said so themselves.
func (r *Registry) list(leaves func(Registration) bool) []Registration {
	newest := make(map[string]Registration, len(r.current))
	for _, registration := range r.current {
		other, taken := newest[registration.Address]
		if !taken || later(registration, other) {
			newest[registration.Address] = registration
		}
	}
	all := make([]Registration, 0, len(newest))
	for _, registration := range newest {
		registration.Leaving = registration.Leaving || leaves(registration)
		all = append(all, registration)
	}
	slices.SortFunc(all, func(a, b Registration) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func later(a, b Registration) bool {
	if a.Born != b.Born {
		return a.Born > b.Born
	}
	return a.ID > b.ID
}
