package upstream

import (
	"cmp"
	"slices"
	"time"
)

// reregistrationTime is how long after an outage of the store an upstream may
// take to register again if its registration expired during the outage.
const reregistrationTime = 2200 * time.Millisecond

// minimumOutage is how long calls to the store must fail before registrations
// can have expired; a single call that got no answer is not an outage.
const minimumOutage = time.Second

// Registry keeps the registrations that the store holds and tolerates outages
// of the store: a registration that is missing just after an outage is removed
// only once its upstream has had the time to register again. A Registry reads
// no clock and is not safe for concurrent use.
type Registry struct {
	current map[string]Registration
	// missing holds, by ID, the registrations that are kept in current although
	// they are missing from the store, with the time at which this was noticed.
	missing map[string]time.Time
	// failingSince is the time since which the store can't be reached, zero while
	// it can; outageEnd is the time at which the last outage ended.
	failingSince time.Time
	outageEnd    time.Time
	// reported holds the peers' reports about leaving upstreams, by ID.
	reported map[string]leaveReport
	// restoredAt is when the store was found to have come back from an older copy of
	// its contents; zero if it never did.
	restoredAt time.Time
	// removed holds, by ID, when registrations were removed, for removalMemory.
	removed map[string]time.Time
	// told holds the instances that have told a node that they leave, with the time at
	// which each was last known to be registered or was told of.
	told map[Instance]time.Time
}

// leaveReport is a peer's report that an upstream is leaving or gone.
type leaveReport struct {
	// revision is the revision of the store that the report is based on. The
	// report doesn't apply to registrations of later revisions.
	revision Revision
	// until is when the report expires.
	until time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		current:  map[string]Registration{},
		missing:  map[string]time.Time{},
		reported: map[string]leaveReport{},
		removed:  map[string]time.Time{},
		told:     map[Instance]time.Time{},
	}
}

// StoreFailed records that a call to the store failed.
func (r *Registry) StoreFailed(now time.Time) {
	if r.failingSince.IsZero() {
		r.failingSince = now
	}
}

// StoreAnswered records that the store answered a call.
func (r *Registry) StoreAnswered(now time.Time) {
	if !r.failingSince.IsZero() && now.Sub(r.failingSince) >= minimumOutage {
		r.outageEnd = now
	}
	r.failingSince = time.Time{}
}

// Put adds or replaces a registration. A process that is leaving stays leaving,
// whatever it announces afterwards. A peer's report that is based on an earlier
// revision of the store no longer applies.
func (r *Registry) Put(registration Registration) {
	delete(r.missing, registration.ID)
	delete(r.removed, registration.ID)
	if old := r.current[registration.ID]; old.SameProcess(registration) && old.Leaving {
		registration.Leaving = true
	}
	if r.reported[registration.ID].revision < registration.Revision {
		delete(r.reported, registration.ID)
	}
	r.current[registration.ID] = registration
}

// peerReportLifetime is how long a peer's report that an upstream is leaving
// applies without confirmation by the store. It is longer than the lag of a
// stale read of the store, and starts again with the end of an outage: a node that
// can't read the store gets no confirmation.
const peerReportLifetime = 12 * time.Second

// PeerReportedLeaving records a peer's report that an upstream is leaving as of
// a revision of the store. A report older than the known registration is ignored.
// One about an unknown upstream is kept, for a registration of up to that
// revision that a stale read may still bring. PeerReportedLeaving reports whether
// the upstream is known and leaving only now: neither its registration nor an
// earlier report said so.
func (r *Registry) PeerReportedLeaving(now time.Time, id string, revision Revision) bool {
	registration, known := r.current[id]
	if known && registration.Revision > revision {
		return false
	}
	previous := r.reported[id]
	r.reported[id] = leaveReport{revision: max(revision, previous.revision), until: now.Add(peerReportLifetime)}
	return known && !registration.Leaving && previous.until.IsZero()
}

// Discard removes a registration at once, for instance because its new value
// can't be decoded.
func (r *Registry) Discard(id string) {
	delete(r.missing, id)
	delete(r.current, id)
}

// Remove records that a registration is missing from the store and reports
// whether it was removed at once. Just after an outage it is kept instead until
// its upstream has had the time to register again; Expire removes it then. The
// same goes if stale is true, which means that a stale read of the store showed
// it missing: it may have expired in an outage that this node hasn't noticed.
func (r *Registry) Remove(now time.Time, id string, stale bool) bool {
	if _, known := r.current[id]; !known {
		return false
	}
	if stale || r.recentOutage(now) {
		if _, noted := r.missing[id]; !noted {
			r.missing[id] = now
		}
		return false
	}
	r.discardGone(now, id)
	return true
}

// discardGone removes a registration whose upstream is gone.
func (r *Registry) discardGone(now time.Time, id string) {
	r.Discard(id)
	r.removed[id] = now
}

// recentOutage reports whether the last outage ended less than
// reregistrationTime ago.
func (r *Registry) recentOutage(now time.Time) bool {
	return !r.outageEnd.IsZero() && now.Sub(r.outageEnd) < reregistrationTime
}

// Replace replaces the contents by a full list of the store's registrations and
// returns the IDs of those that were removed. Registrations that are missing from the
// list are kept for a while just after an outage or if stale is true, as by Remove. A
// list that a peer has sent counts as stale.
func (r *Registry) Replace(now time.Time, registrations []Registration, stale bool) (gone []string) {
	present := make(map[string]bool, len(registrations))
	for _, registration := range registrations {
		present[registration.ID] = true
		r.Put(registration)
	}
	for id := range r.current {
		if !present[id] && r.Remove(now, id, stale) {
			gone = append(gone, id)
		}
	}
	return gone
}

// Expire removes the registrations that have been missing for reregistrationTime,
// all of it without an outage, and the peers' reports that have expired. It returns
// the IDs of the removed registrations and whether anything changed.
func (r *Registry) Expire(now time.Time) (gone []string, changed bool) {
	for id, lr := range r.reported {
		if r.failingSince.IsZero() && !now.Before(lr.until) && now.Sub(r.outageEnd) >= peerReportLifetime {
			delete(r.reported, id)
			changed = true
		}
	}
	for id, since := range r.missing {
		if !r.failingSince.IsZero() || now.Sub(since) < reregistrationTime || r.recentOutage(now) {
			continue
		}
		gone = append(gone, id)
		r.discardGone(now, id)
	}
	for id, at := range r.removed {
		if now.Sub(at) >= removalMemory {
			delete(r.removed, id)
		}
	}
	r.expireTold(now)
	return gone, changed || len(gone) > 0
}

// Snapshot returns the registrations as the store has them as of a revision, sorted
// as by All, and apart from them the reports of peers, to pass both on
// to other nodes. Those of instances that told that they leave are leaving.
// Registrations that are missing from the store are not among them:
// another node would take them for present as of the revision and ignore the earlier
// notices that they leave. The same goes for those that are reported to be leaving and
// have not changed since the store was restored.
func (r *Registry) Snapshot(revision Revision) Snapshot {
	present := r.list(r.toldLeaving)
	present = slices.DeleteFunc(present, func(registration Registration) bool {
		_, missing := r.missing[registration.ID]
		return missing || registration.Revision.Era() < revision.Era() && r.reportedLeaving(registration)
	})
	snapshot := Snapshot{Revision: revision, Registrations: present}
	for id, report := range r.reported {
		snapshot.Reports = append(snapshot.Reports, LeaveReport{ID: id, Revision: report.revision})
	}
	return snapshot
}

// HasMissing reports whether there are registrations that Expire may remove.
func (r *Registry) HasMissing() bool {
	return len(r.missing) > 0
}

// IsLeaving reports whether an upstream is known to be leaving, from its
// registration or from a peer's report. What the upstream told itself doesn't count:
// nodes of older builds hear only of the former.
func (r *Registry) IsLeaving(id string) bool {
	registration, known := r.current[id]
	return known && (registration.Leaving || r.reportedLeaving(registration))
}

// Leaving returns the IDs of the upstreams that are known to be leaving.
func (r *Registry) Leaving() map[string]bool {
	leaving := map[string]bool{}
	for id := range r.current {
		if r.IsLeaving(id) {
			leaving[id] = true
		}
	}
	return leaving
}

// StartedLeaving returns the IDs of the given registrations that are leaving, of
// upstreams that are known and not known to be leaving.
func (r *Registry) StartedLeaving(registrations []Registration) []string {
	var ids []string
	for _, registration := range registrations {
		_, known := r.current[registration.ID]
		if registration.Leaving && known && !r.IsLeaving(registration.ID) {
			ids = append(ids, registration.ID)
		}
	}
	return ids
}

// reportedLeaving reports whether a peer's report that an upstream is leaving applies
// to a registration.
func (r *Registry) reportedLeaving(registration Registration) bool {
	report, reported := r.reported[registration.ID]
	return reported && report.revision >= registration.Revision
}

// All returns the registrations, sorted by ID and with the peers' reports applied. There
// may be several at one address, see WithoutReplaced.
func (r *Registry) All() []Registration {
	return r.list(func(registration Registration) bool {
		return r.reportedLeaving(registration) || r.toldLeaving(registration)
	})
}

// list returns the registrations, sorted by ID. leaves reports whether a
// registration is leaving although it doesn't say so itself.
func (r *Registry) list(leaves func(Registration) bool) []Registration {
	all := make([]Registration, 0, len(r.current))
	for _, registration := range r.current {
		registration.Leaving = registration.Leaving || leaves(registration)
		all = append(all, registration)
	}
	slices.SortFunc(all, func(a, b Registration) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
