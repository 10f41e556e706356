package upstream

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestToldLeavingHoldsForTheInstance: whatever the store and peers say in whatever order,
// an instance that told that it leaves is leaving. Another one isn't, but for what an older
// copy of the store lists again.
func TestToldLeavingHoldsForTheInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := NewRegistry(), time.Unix(1000, 0)
		told, merged := map[int64]bool{}, false
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			born := rapid.Int64Range(1, 3).Draw(t, "born")
			registration := Registration{ID: "i", Address: "a", Born: born, Revision: Revision(i + 1)}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				r.Put(registration)
			case 1:
				r.Replace(now, []Registration{registration}, rapid.Bool().Draw(t, "stale"))
			case 2:
				r.Merge(now, []Registration{registration})
				merged = true
			case 3:
				r.Remove(now, "i", rapid.Bool().Draw(t, "stale"))
			case 4:
				r.Expire(now)
			case 5:
				r.ToldLeaving(now, Instance{ID: "i", Born: born})
				told[born] = true
			}
			for _, registration := range r.All() {
				if registration.Leaving != told[registration.Born] && !(registration.Leaving && merged) {
					t.Fatalf("instance %d: leaving %t, told %t", registration.Born, registration.Leaving, told[registration.Born])
				}
			}
			for _, registration := range r.Snapshot(Revision(i + 1)).Registrations {
				if registration.Leaving != told[registration.Born] && !(registration.Leaving && merged) {
					t.Fatalf("instance %d goes to others with leaving %t", registration.Born, registration.Leaving)
				}
			}
		}
	})
}

// TestToldLeavingIsForgotten: an instance is remembered as long as it is registered, and
// some time beyond.
func TestToldLeavingIsForgotten(t *testing.T) {
	r, now := NewRegistry(), time.Unix(1000, 0)
	r.Put(Registration{ID: "i", Born: 1, Revision: 1})
	r.ToldLeaving(now, Instance{ID: "i", Born: 1})
	now = now.Add(3 * toldMemory)
	r.Expire(now)
	r.Remove(now, "i", false)
	r.Expire(now.Add(toldMemory - 1))
	if len(r.told) != 1 {
		t.Error("forgotten too soon")
	}
	r.Expire(now.Add(toldMemory))
	if len(r.told) != 0 {
		t.Error("not forgotten")
	}
}

// TestDrainingIsStillNews: nodes of older builds hear only of what the store says, so it
// counts as news after what the upstream told.
func TestDrainingIsStillNews(t *testing.T) {
	r := NewRegistry()
	r.Put(Registration{ID: "i", Born: 1, Revision: 1})
	r.ToldLeaving(time.Unix(1000, 0), Instance{ID: "i", Born: 1})
	if r.IsLeaving("i") || len(r.StartedLeaving([]Registration{{ID: "i", Born: 1, Leaving: true}})) != 1 {
		t.Error("draining is not news")
	}
}

// TestIncarnations: the incarnation of an instance is read back, is no revision, and that
// of a revision is no instance's.
func TestIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instance := Instance{ID: "i", Born: rapid.Int64().Draw(t, "born")}
		if got, ok, err := ParseInstance("i", instance.Incarnation()); !ok || err != nil || got != instance {
			t.Errorf("%v was read as %v, %t: %v", instance, got, ok, err)
		}
		if _, err := DecodeRevision(instance.Incarnation()); err == nil {
			t.Errorf("%s is a revision", instance.Incarnation())
		}
		revision := Revision(rapid.Uint64().Draw(t, "revision"))
		if _, ok, err := ParseInstance("i", revision.Encode()); ok || err != nil {
			t.Errorf("%s is an instance's: %v", revision.Encode(), err)
		}
	})
	if _, ok, err := ParseInstance("i", "born:x"); !ok || err == nil {
		t.Error("a start time that can't be read is no error")
	}
}
