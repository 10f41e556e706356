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
	r.Lose(now)
	now = now.Add(10 * time.Second)
	r.Find(now)
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
	r.Remove(now, "a")
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
	r.Lose(now)
	now = now.Add(100 * time.Millisecond)
	r.Find(now)
	if !r.Remove(now, "a") || ids(r) != "" {
		t.Errorf("still there: %q", ids(r))
	}
}
