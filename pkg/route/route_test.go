package route

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestLongestPrefix compares Match with a linear search through all routes.
func TestLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"", "a", "b"})
		path := func(label string, most int) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, most).Draw(t, label), "/")
		}
		var routes []Route
		for range rapid.IntRange(0, 6).Draw(t, "routes") {
			prefix := path("prefix", 3)
			if !strings.HasSuffix(prefix, "/") {
				prefix += "/"
			}
			routes = append(routes, Route{Name: prefix, Host: "h", Prefix: prefix})
		}
		table := NewTable(Config{Version: 1, Routes: routes})
		requested := path("path", 5)
		want := ""
		for _, r := range routes {
			if strings.HasPrefix(requested, r.Prefix) && len(r.Prefix) > len(want) {
				want = r.Prefix
			}
		}
		got := ""
		if r := table.Match("H:80", requested); r != nil {
			got = r.Prefix
		}
		if got != want {
			t.Fatalf("%q goes to %q, want %q", requested, got, want)
		}
	})
}

// TestMinimumShards checks that the rounding error of a fraction doesn't add a
// shard to the minimum.
func TestMinimumShards(t *testing.T) {
	for _, test := range []struct {
		shards int
		share  float64
		want   int
	}{{10, 0.89, 9}, {10, 0.75, 8}, {10, 0.7, 7}, {36, 0.95, 35}, {15, 0.89, 14}, {10, 1, 10}, {1, 0, 1}} {
		r := Route{Shards: make([]string, test.shards), MinimumShardShare: test.share}
		if got := r.MinimumShards(); got != test.want {
			t.Errorf("share %v of %d shards: got %d, want %d", test.share, test.shards, got, test.want)
		}
	}
}

// TestWeights checks that evenly spaced points select each target in proportion
// to its weight.
func TestWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 1}, {"b", 3}}}
	count := map[string]int{}
	for i := range 1000 {
		count[r.PickService(float64(i)/1000)]++
	}
	if count["a"] != 250 || count["b"] != 750 {
		t.Errorf("selected %v, want 250 of a and 750 of b", count)
	}
}
