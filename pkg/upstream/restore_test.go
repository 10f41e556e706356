package upstream

import (
	"testing"
	"time"
)

// restoredRegistry is a registry whose store was restored after it had removed "gone"
// and learned from a peer that "reported" leaves.
type restoredRegistry struct {
	*Registry
	now time.Time
	// copied holds the registrations as the copy has them.
	copied []Registration
}

const (
	oldEra = Revision(1 << numberBits)
	newEra = Revision(2 << numberBits)
)

func newRestoredRegistry() *restoredRegistry {
	r := &restoredRegistry{Registry: NewRegistry(), now: time.Unix(1000, 0)}
	for _, id := range []string{"gone", "reported", "used"} {
		registration := Registration{ID: id, Service: "s", Address: id, Slots: 1, Born: 1, Revision: oldEra + 40}
		r.Put(registration)
		r.copied = append(r.copied, registration)
	}
	r.Remove(r.now, "gone", false)
	r.PeerReportedLeaving(r.now, "reported", oldEra+45)
	r.now = r.now.Add(20 * time.Second)
	r.StoreRestored(r.now)
	r.Merge(r.now, r.copied)
	return r
}

// inUse returns the IDs of the registrations that may be used.
func (r *restoredRegistry) inUse() string {
	ids := ""
	for _, registration := range r.All() {
		if !registration.Leaving {
			ids += registration.ID + " "
		}
	}
	return ids
}

// TestCopyBringsNothingBack: what was gone or leaving before the restore stays unused,
// also on nodes that ask this one for its upstreams.
func TestCopyBringsNothingBack(t *testing.T) {
	r := newRestoredRegistry()
	if got := r.inUse(); got != "used " {
		t.Errorf("in use after the restore: %s", got)
	}
	snapshot := r.Snapshot(newEra + 42)
	if len(snapshot.Registrations) != 1 || snapshot.Registrations[0].ID != "used" {
		t.Errorf("another node gets %v", snapshot.Registrations)
	}
	r.now = r.now.Add(restoreSettleTime - 1)
	if !r.RecentlyRestored(r.now) {
		t.Error("lists are believed before the store has removed what is gone")
	}
	r.Merge(r.now, r.copied)
	r.Expire(r.now)
	if got := r.inUse(); got != "used " {
		t.Errorf("in use after another list: %s", got)
	}
}

// TestCopiedUpstreamComesBack: an upstream that was taken for gone is used again once
// its registration changes, or if it lasts.
func TestCopiedUpstreamComesBack(t *testing.T) {
	r := newRestoredRegistry()
	changed := r.copied[0]
	changed.Revision = newEra + 41
	r.Put(changed)
	if got := r.inUse(); got != "gone used " {
		t.Errorf("in use after it registered again: %s", got)
	}
	r = newRestoredRegistry()
	r.now = r.now.Add(peerReportLifetime)
	r.Expire(r.now)
	if got := r.inUse(); got != "gone reported used " {
		t.Errorf("in use when the registrations have lasted: %s", got)
	}
}

// TestListAfterRestoreTellsWhoLeaves: a list of the restored store may hold news too,
// that an upstream leaves or has started again.
func TestListAfterRestoreTellsWhoLeaves(t *testing.T) {
	r := newRestoredRegistry()
	leaving, restarted := r.copied[2], r.copied[1]
	leaving.Leaving = true
	restarted.Born, restarted.Revision = 2, newEra+43
	r.Merge(r.now, []Registration{leaving, restarted})
	if got := r.inUse(); got != "reported " {
		t.Errorf("in use: %s", got)
	}
	r.Merge(r.now, r.copied)
	if got := r.inUse(); got != "reported " {
		t.Errorf("in use after an older list: %s", got)
	}
}

// TestMissingInCopyIsKeptForAWhile: an upstream that registered after the copy was made
// is kept until it has had the time to register again.
func TestMissingInCopyIsKeptForAWhile(t *testing.T) {
	r := newRestoredRegistry()
	r.Put(Registration{ID: "new", Service: "s", Address: "new", Slots: 1, Born: 1, Revision: oldEra + 44})
	r.Merge(r.now, r.copied)
	if got := r.inUse(); got != "new used " {
		t.Errorf("in use just after the restore: %s", got)
	}
	r.now = r.now.Add(reregistrationTime)
	if gone, _ := r.Expire(r.now); len(gone) != 1 || gone[0] != "new" {
		t.Errorf("gone after %v: %v", reregistrationTime, gone)
	}
}
