package upstream

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// zoneHistory is what a store says of the evacuated zones, revision by revision.
func zoneHistory(t *rapid.T) []EvacuatedZones {
	history := []EvacuatedZones{{}}
	revision := Revision(0)
	for range rapid.IntRange(1, 8).Draw(t, "changes") {
		last := history[len(history)-1]
		revision += Revision(rapid.Uint64Range(1, 5).Draw(t, "step"))
		if rapid.Bool().Draw(t, "restored") {
			revision = Revision((revision.Era()+1)<<numberBits) + 1
		}
		zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
		if last.Has(zone) {
			history = append(history, last.Without(revision, zone))
			continue
		}
		history = append(history, last.With(revision, zone))
	}
	return history
}

// TestExchangesOfEvacuatedZonesConverge guards against nodes that go back to an earlier set,
// or differ for good, when exchanges come twice, late or in another order.
func TestExchangesOfEvacuatedZonesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := zoneHistory(t)
		nodes := make([]EvacuatedZones, rapid.IntRange(2, 5).Draw(t, "nodes"))
		sent := slices.Clone(history)
		for range rapid.IntRange(0, 40).Draw(t, "exchanges") {
			to := rapid.IntRange(0, len(nodes)-1).Draw(t, "to")
			before := nodes[to]
			nodes[to] = before.Merge(rapid.SampledFrom(sent).Draw(t, "message"))
			if nodes[to].Revision() < before.Revision() {
				t.Fatalf("went back from %v to %v", before, nodes[to])
			}
			if !slices.ContainsFunc(history, nodes[to].Equal) {
				t.Fatalf("%v is no state of the store", nodes[to])
			}
			sent = append(sent, nodes[to])
		}
		newest := history[len(history)-1]
		for i, known := range nodes {
			if got := known.Merge(newest); !got.Equal(newest) {
				t.Errorf("node %d has %v after the newest exchange, want %v", i, got, newest)
			}
		}
	})
}

// TestMergeOfEvacuatedZonesHasNoOrder guards against nodes that differ for good because they
// merged sets, also differing ones of one revision, in different orders.
func TestMergeOfEvacuatedZonesHasNoOrder(t *testing.T) {
	set := rapid.Custom(func(t *rapid.T) EvacuatedZones {
		zones := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 4).Draw(t, "zones")
		return NewEvacuatedZones(Revision(rapid.Uint64Range(0, 3).Draw(t, "revision")), zones)
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := set.Draw(t, "a"), set.Draw(t, "b"), set.Draw(t, "c")
		if !a.Merge(a).Equal(a) || !a.Merge(b).Equal(b.Merge(a)) || !a.Merge(b).Merge(c).Equal(a.Merge(b.Merge(c))) {
			t.Errorf("the merge of %v, %v and %v depends on the order", a, b, c)
		}
	})
}

// TestEvacuatedZonesAreNotChanged guards against a set that changes under its readers.
func TestEvacuatedZonesAreNotChanged(t *testing.T) {
	given := []string{"b", "a", "b"}
	set := NewEvacuatedZones(3, given)
	given[0] = "x"
	with, without := set.With(4, "c"), set.Without(5, "a")
	if !slices.Equal(set.Zones(), []string{"a", "b"}) || set.Revision() != 3 {
		t.Errorf("the set became %v", set)
	}
	if !slices.Equal(with.Zones(), []string{"a", "b", "c"}) || with.Revision() != 4 {
		t.Errorf("with c: %v", with)
	}
	if !slices.Equal(without.Zones(), []string{"b"}) || without.Revision() != 5 || without.Has("a") || !without.Has("b") {
		t.Errorf("without a: %v", without)
	}
}
