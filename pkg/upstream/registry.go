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
	// leaving holds until when peers' word that an upstream leaves goes before
	// what the store says.
	leaving map[string]time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{current: map[string]Registration{}, missing: map[string]time.Time{}, leaving: map[string]time.Time{}}
}

// Lose notes that a call on the store failed.
func (r *Registry) Lose(now time.Time) {
	if r.lost.IsZero() {
		r.lost = now
	}
}

// Find notes that the store answers.
func (r *Registry) Find(now time.Time) {
	if !r.lost.IsZero() && now.Sub(r.lost) >= outageTime {
		r.found = now
	}
	r.lost = time.Time{}
}

// Put takes over a registration.
func (r *Registry) Put(registration Registration) {
	delete(r.missing, registration.ID)
	r.current[registration.ID] = registration
}

// hearsayTime is how long a peer's word that an upstream leaves is believed
// without the store's: longer than a lagging read of the store lags.
const hearsayTime = 12 * time.Second

// Leave notes a peer's word that an upstream leaves and reports whether it is
// news.
func (r *Registry) Leave(now time.Time, id string) bool {
	registration, known := r.current[id]
	r.leaving[id] = now.Add(hearsayTime)
	return known && !registration.Leaving
}

// Spoil removes a registration that can no longer be read.
func (r *Registry) Spoil(id string) {
	delete(r.missing, id)
	delete(r.current, id)
}

// Remove notes that a registration is gone from the store and reports whether
// it counts at once.
func (r *Registry) Remove(now time.Time, id string) bool {
	if _, known := r.current[id]; !known {
		return false
	}
	if r.recent(now) {
		if _, noted := r.missing[id]; !noted {
			r.missing[id] = now
		}
		return false
	}
	r.Spoil(id)
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
		if !present[id] && r.Remove(now, id) {
			gone = append(gone, id)
		}
	}
	return gone
}

// Adopt takes over all registrations of a peer that has the store's word for
// them: what it no longer has is gone.
func (r *Registry) Adopt(registrations []Registration) {
	present := make(map[string]bool, len(registrations))
	for _, registration := range registrations {
		present[registration.ID] = true
		r.Put(registration)
	}
	for id := range r.current {
		if !present[id] {
			r.Spoil(id)
		}
	}
}

// Expire gives up what has been missing for too long and forgets what peers
// said long ago. It returns the IDs that are gone and whether anything changed.
func (r *Registry) Expire(now time.Time) (gone []string, changed bool) {
	for id, until := range r.leaving {
		if !now.Before(until) {
			delete(r.leaving, id)
			changed = true
		}
	}
	if r.recent(now) {
		return nil, changed
	}
	for id := range r.missing {
		gone = append(gone, id)
		r.Spoil(id)
	}
	return gone, changed || len(gone) > 0
}

// All returns the registrations by ID. Of several at one address only the one
// that started last counts.
func (r *Registry) All() []Registration {
	newest := make(map[string]Registration, len(r.current))
	for _, registration := range r.current {
		other, taken := newest[registration.Address]
		if !taken || later(registration, other) {
			newest[registration.Address] = registration
		}
	}
	all := make([]Registration, 0, len(newest))
	for _, registration := range newest {
		if _, leaving := r.leaving[registration.ID]; leaving {
			registration.Leaving = true
		}
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
