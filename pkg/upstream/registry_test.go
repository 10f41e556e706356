package upstream

import (
	"testing"
	"time"
)

func ids(registry *Registry) string {
	text := ""
	for _, registration := range registry.All() {
		text += registration.ID
	}
	return text
}

// TestLapsedRegistrationsAreKept: what lapsed during an outage stays until its
// upstream has had the time to register again, and no longer.
func TestLapsedRegistrationsAreKept(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(100, 0)
	a, b := Registration{ID: "a", Address: "1"}, Registration{ID: "b", Address: "2"}
	r.Replace(now, []Registration{a, b})
	r.StoreFailed(now)
	now = now.Add(10 * time.Second)
	r.StoreAnswered(now)
	r.Replace(now, nil)
	if got := ids(r); got != "ab" {
		t.Errorf("just after the outage: %q", got)
	}
	now = now.Add(time.Second)
	r.Put(a)
	if _, changed := r.Expire(now); changed {
		t.Error("given up before its time")
	}
	now = now.Add(returnTime)
	if gone, changed := r.Expire(now); !changed || len(gone) != 1 || gone[0] != "b" || ids(r) != "a" {
		t.Errorf("after the time to return: %q, gone %v", ids(r), gone)
	}
}

// TestRemovedWithoutOutage: outside an outage a registration that is gone counts
// at once, as its upstream may be leaving.
func TestRemovedWithoutOutage(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(100, 0)
	r.Replace(now, []Registration{{ID: "a", Address: "1"}})
	r.Remove(now, "a", false)
	if got := ids(r); got != "" {
		t.Errorf("still there: %q", got)
	}
}

// TestReusedAddress belongs to the upstream that started last.
func TestReusedAddress(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(100, 0)
	r.Replace(now, []Registration{
		{ID: "old", Address: "1", Service: "s", Born: 1},
		{ID: "new", Address: "1", Service: "t", Born: 2},
	})
	if got := ids(r); got != "new" {
		t.Errorf("%q at the address", got)
	}
}

// TestSilentCallIsNoOutage: after a single call that failed, a registration that
// is gone counts at once. It was kept for the time to return, and a node sent to
// an upstream that had left (Sadykov, scale-2, seed 514591611410).
func TestSilentCallIsNoOutage(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(100, 0)
	r.Replace(now, []Registration{{ID: "a", Address: "1"}})
	r.StoreFailed(now)
	now = now.Add(100 * time.Millisecond)
	r.StoreAnswered(now)
	if !r.Remove(now, "a", false) || ids(r) != "" {
		t.Errorf("still there: %q", ids(r))
	}
}

// TestNoOutageNoticed: what a lagging read says is gone may have lapsed in an
// outage that its watch slept through; it counts after the time to return, or
// at once if a peer that follows closely says so too.
func TestNoOutageNoticed(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(100, 0)
	r.Replace(now, []Registration{{ID: "a", Address: "1", Revision: 5}, {ID: "b", Address: "2", Revision: 5}})
	if r.Remove(now, "a", true) || r.Remove(now, "b", true) {
		t.Error("gone at once")
	}
	r.PeerReportedLeaving(now, "b", 7)
	if all := r.All(); len(all) != 2 || all[0].Leaving || !all[1].Leaving {
		t.Errorf("%+v", all)
	}
	if gone, _ := r.Expire(now.Add(returnTime)); len(gone) != 2 {
		t.Errorf("gone %v after the time to return", gone)
	}
}

// TestHearsayEndsWithNewWord: an upstream that registers again after its
// registration lapsed serves at once, whatever peers said of the time before
// (Sadykov grown, a drawn day: 162 upstreams were held to leave for 12 s).
func TestHearsayEndsWithNewWord(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(100, 0)
	a := Registration{ID: "a", Address: "1", Revision: 5}
	r.Put(a)
	if !r.PeerReportedLeaving(now, "a", 7) || !r.All()[0].Leaving {
		t.Fatal("the peer's word is not believed")
	}
	if r.FromStore()[0].Leaving {
		t.Error("hearsay is passed on as the store's word")
	}
	a.Revision = 9
	r.Put(a)
	if r.All()[0].Leaving {
		t.Error("still leaving after it registered again")
	}
	if r.PeerReportedLeaving(now, "a", 8) || r.All()[0].Leaving {
		t.Error("an old word counts")
	}
}

// TestLeavingStays: a process that leaves is not used again, whatever it
// announces; another process under the same ID is.
func TestLeavingStays(t *testing.T) {
	r := NewRegistry()
	a := Registration{ID: "a", Address: "1", Born: 1, Leaving: true, Revision: 5}
	r.Put(a)
	a.Leaving, a.Revision = false, 6
	r.Put(a)
	if !r.All()[0].Leaving {
		t.Error("ready again")
	}
	a.Born, a.Revision = 2, 7
	r.Put(a)
	if r.All()[0].Leaving {
		t.Error("the new process leaves")
	}
}
