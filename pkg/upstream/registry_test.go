package upstream

import (
	"testing"
	"time"
)

// ids returns the concatenated IDs of all registrations.
func ids(registry *Registry) string {
	text := ""
	for _, registration := range registry.All() {
		text += registration.ID
	}
	return text
}

// TestLapsedRegistrationsAreKept checks that registrations that expired during
// an outage are kept until their upstreams have had the time to register again,
// and no longer.
func TestLapsedRegistrationsAreKept(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(100, 0)
	a, b := Registration{ID: "a", Address: "1"}, Registration{ID: "b", Address: "2"}
	r.Replace(now, []Registration{a, b}, false)
	r.StoreFailed(now)
	now = now.Add(10 * time.Second)
	r.StoreAnswered(now)
	r.Replace(now, nil, false)
	if got := ids(r); got != "ab" {
		t.Errorf("just after the outage: %q", got)
	}
	now = now.Add(time.Second)
	r.Put(a)
	if _, changed := r.Expire(now); changed {
		t.Error("removed before the time to register again was over")
	}
	now = now.Add(reregistrationTime)
	if gone, changed := r.Expire(now); !changed || len(gone) != 1 || gone[0] != "b" || ids(r) != "a" {
		t.Errorf("after the time to register again: %q, gone %v", ids(r), gone)
	}
}

// TestRemovedWithoutOutage checks that without an outage a registration that is
// missing is removed at once, as its upstream may be leaving.
func TestRemovedWithoutOutage(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(100, 0)
	r.Replace(now, []Registration{{ID: "a", Address: "1"}}, false)
	r.Remove(now, "a", false)
	if got := ids(r); got != "" {
		t.Errorf("still there: %q", got)
	}
}

// TestSilentCallIsNoOutage checks that a registration that is missing after a
// single failed call is removed at once. It used to be kept for
// reregistrationTime, and a node sent requests to an upstream that had left
// (Sadykov, scale-2, seed 514591611410).
func TestSilentCallIsNoOutage(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(100, 0)
	r.Replace(now, []Registration{{ID: "a", Address: "1"}}, false)
	r.StoreFailed(now)
	now = now.Add(100 * time.Millisecond)
	r.StoreAnswered(now)
	if !r.Remove(now, "a", false) || ids(r) != "" {
		t.Errorf("still there: %q", ids(r))
	}
}

// TestNoOutageNoticed checks registrations that a stale read shows as missing.
// They may have expired in an outage that the node's watch didn't notice, so they
// are removed only after the time to register again; one that a peer with fresh
// reads of the store reports as leaving counts as leaving at once.
func TestNoOutageNoticed(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(100, 0)
	r.Replace(now, []Registration{{ID: "a", Address: "1", Revision: 5}, {ID: "b", Address: "2", Revision: 5}}, false)
	if r.Remove(now, "a", true) || r.Remove(now, "b", true) {
		t.Error("removed at once")
	}
	r.PeerReportedLeaving(now, "b", 7)
	if all := r.All(); len(all) != 2 || all[0].Leaving || !all[1].Leaving {
		t.Errorf("%+v", all)
	}
	if gone, _ := r.Expire(now.Add(reregistrationTime)); len(gone) != 2 {
		t.Errorf("gone %v after the time to register again", gone)
	}
}

// TestReregistrationEndsPeerReport checks that an upstream that registers again
// after its registration expired is used at once, whatever peers reported
// before. Without this, 162 upstreams counted as leaving for 12 s (Sadykov
// grown, a drawn day).
func TestReregistrationEndsPeerReport(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(100, 0)
	a := Registration{ID: "a", Address: "1", Revision: 5}
	r.Put(a)
	if !r.PeerReportedLeaving(now, "a", 7) || !r.All()[0].Leaving {
		t.Fatal("the peer's report is ignored")
	}
	if r.Snapshot(1).Registrations[0].Leaving {
		t.Error("a peer's report is passed on as the store's state")
	}
	a.Revision = 9
	r.Put(a)
	if r.All()[0].Leaving {
		t.Error("still leaving after it registered again")
	}
	if r.PeerReportedLeaving(now, "a", 8) || r.All()[0].Leaving {
		t.Error("an outdated report is applied")
	}
}

// TestLeavingStays checks that a process that is leaving is not used again,
// whatever it announces, and that another process under the same ID is.
func TestLeavingStays(t *testing.T) {
	r := NewRegistry()
	a := Registration{ID: "a", Address: "1", Born: 1, Leaving: true, Revision: 5}
	r.Put(a)
	a.Leaving, a.Revision = false, 6
	r.Put(a)
	if !r.All()[0].Leaving {
		t.Error("no longer leaving")
	}
	a.Born, a.Revision = 2, 7
	r.Put(a)
	if r.All()[0].Leaving {
		t.Error("the new process counts as leaving")
	}
}

// TestReportsOutliveAnOutage: a node that can't read the store gets no confirmation
// that an upstream has left. The report of its peers applies until some time after
// the outage.
func TestReportsOutliveAnOutage(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(1000, 0)
	r.Put(Registration{ID: "a", Address: "a", Revision: 5})
	r.PeerReportedLeaving(now, "a", 6)
	r.StoreFailed(now)
	end := now.Add(10 * time.Minute)
	r.Expire(end)
	if !r.All()[0].Leaving {
		t.Error("an upstream that left is in use again during the outage")
	}
	r.StoreAnswered(end)
	r.Expire(end.Add(time.Second))
	if !r.All()[0].Leaving {
		t.Error("an upstream that left is in use again just after the outage")
	}
	r.Expire(end.Add(peerReportLifetime))
	if r.All()[0].Leaving {
		t.Error("a report without confirmation still applies")
	}
}

// TestSecondOutage: a registration that lapsed in an outage is not taken as gone in a
// second one, in which its upstream can't register again either.
func TestSecondOutage(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(1000, 0)
	r.Put(Registration{ID: "a", Address: "a", Revision: 5})
	r.StoreFailed(now)
	now = now.Add(2 * time.Second)
	r.StoreAnswered(now)
	r.Remove(now, "a", false)
	r.StoreFailed(now.Add(time.Second))
	if gone, _ := r.Expire(now.Add(5 * time.Second)); len(gone) != 0 {
		t.Error("taken as gone during the second outage")
	}
	now = now.Add(6 * time.Second)
	r.StoreAnswered(now)
	if gone, _ := r.Expire(now.Add(time.Second)); len(gone) != 0 {
		t.Error("taken as gone just after the second outage")
	}
	if gone, _ := r.Expire(now.Add(reregistrationTime)); len(gone) != 1 {
		t.Error("kept although its upstream had the time to register again")
	}
}
