package snapshot

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes the cases reproducible. rapid defines the flag, so Set
	// can't fail.
	_ = flag.Set("rapid.seed", "1")
}

// partition draws a partition of the key space.
func partition(t *rapid.T, shards int) []Range {
	ranges := make([]Range, shards)
	low := uint64(0)
	for i := range ranges {
		high := KeySpace
		if i < shards-1 {
			high = rapid.Uint64Range(low, KeySpace).Draw(t, "cut")
		}
		ranges[i] = Range{Low: low, High: high}
		low = high
	}
	return ranges
}

func TestMeasure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranges := partition(t, rapid.IntRange(1, 12).Draw(t, "shards"))
		if fraction, tiled := MeasureCoverage(rapid.Permutation(ranges).Draw(t, "order")); !tiled || fraction != 1 {
			t.Fatalf("a partition has coverage %v, tiled %t; want 1, true", fraction, tiled)
		}
		lost := rapid.IntRange(0, len(ranges)-1).Draw(t, "lost")
		size := ranges[lost].High - ranges[lost].Low
		rest := append(append([]Range(nil), ranges[:lost]...), ranges[lost+1:]...)
		fraction, tiled := MeasureCoverage(rest)
		want := float64(KeySpace-size) / float64(KeySpace)
		if fraction != want || tiled != (size == 0) {
			t.Fatalf("without %d keys: coverage %v, tiled %t", size, fraction, tiled)
		}
		if _, tiled := MeasureCoverage(append(rest, ranges[lost], ranges[lost])); tiled && size > 0 {
			t.Fatal("overlapping ranges are reported as tiled")
		}
	})
}

// TestEmptyRange checks that an empty range does not count as an overlap.
func TestEmptyRange(t *testing.T) {
	whole := Range{0, KeySpace}
	if _, tiled := MeasureCoverage([]Range{whole, {0, 0}}); !tiled {
		t.Error("a full range with an empty one is reported as not tiled")
	}
}

func report(service string, versions ...Version) Report {
	return Report{Service: service, Versions: versions}
}

func TestChoose(t *testing.T) {
	low, high := []Range{{0, KeySpace / 2}}, []Range{{KeySpace / 2, KeySpace}}
	old := []Report{
		report("a", Version{1, low, 3}, Version{2, high, 3}),
		report("b", Version{1, high, 3}),
	}
	if choice, ok := Choose(old, 0); !ok || choice.Version != 1 || !choice.Complete {
		t.Errorf("want version 1, since version 2 covers only half: %+v", choice)
	}
	if choice, ok := Choose(old, 1); !ok || choice.Version != 2 || choice.Complete || choice.Fraction != 0.5 {
		t.Errorf("above version 1, want half of version 2: %+v", choice)
	}
	fresh := []Report{old[0], report("b", Version{1, high, 3}, Version{2, low, 1})}
	if choice, _ := Choose(fresh, 0); choice.Version != 1 {
		t.Errorf("want version 1, since version 2 has only one replica of a shard: %+v", choice)
	}
	fresh[1].Versions[1].Replicas = 2
	if choice, _ := Choose(fresh, 0); choice.Version != 2 || choice.Shards[0].Service != "b" {
		t.Errorf("want version 2 once each of its shards has two replicas: %+v", choice)
	}
	if _, ok := Choose(nil, 0); ok {
		t.Error("Choose returned a version without any report")
	}
}
