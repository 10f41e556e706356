package upstream

import "time"

const (
	// removalMemory is how long a removal is remembered. A store that comes back from
	// an older copy of its contents may hold the registration again.
	removalMemory = time.Minute
	// restoreSettleTime is how long after that it may do so. It removes a registration
	// once its upstream has been silent for three heartbeats.
	restoreSettleTime = 6 * time.Second
)

// StoreRestored records that the store came back from an older copy of its contents.
// Upstreams that have registered since the copy was made register again, as after an
// outage.
func (r *Registry) StoreRestored(now time.Time) {
	r.restoredAt, r.outageEnd = now, now
	r.failingSince = time.Time{}
}

// RecentlyRestored reports whether the store may hold registrations of upstreams that
// are gone, because it came back from an older copy a short while ago.
func (r *Registry) RecentlyRestored(now time.Time) bool {
	return !r.restoredAt.IsZero() && now.Sub(r.restoredAt) < restoreSettleTime
}

// Merge adds a full list of registrations of a store that was RecentlyRestored. The list
// may be older than what is known, so an upstream that is known to be leaving or gone
// stays so until its registration changes or proves to last. Registrations that are
// missing from the list are kept for a while, as by Remove.
func (r *Registry) Merge(now time.Time, registrations []Registration) {
	present := make(map[string]bool, len(registrations))
	for _, registration := range registrations {
		present[registration.ID] = true
		r.merge(now, registration)
	}
	for id := range r.current {
		if !present[id] {
			r.Remove(now, id, true)
		}
	}
}

// merge adds one registration that may be older than what is known.
func (r *Registry) merge(now time.Time, registration Registration) {
	delete(r.missing, registration.ID)
	old, known := r.current[registration.ID]
	switch {
	case !known:
		r.mergeUnknown(now, registration)
	case old.SameProcess(registration):
		old.Leaving = old.Leaving || registration.Leaving
		r.current[registration.ID] = old
	case registration.Born > old.Born:
		r.Put(registration)
	}
}

// mergeUnknown adds a registration that is not known. Its revision is unknown, so that
// any report that the upstream is leaving applies. If it was removed before, it counts
// as reported.
func (r *Registry) mergeUnknown(now time.Time, registration Registration) {
	registration.Revision = 0
	r.current[registration.ID] = registration
	if _, removed := r.removed[registration.ID]; removed {
		r.PeerReportedLeaving(now, registration.ID, registration.Revision)
	}
}
