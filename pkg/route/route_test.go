package route

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestLongestPrefix compares Find with a search through all prefixes.
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
		asked := path("path", 5)
		want := ""
		for _, r := range routes {
			if strings.HasPrefix(asked, r.Prefix) && len(r.Prefix) > len(want) {
				want = r.Prefix
			}
		}
		got := ""
		if r := table.Match("H:80", asked); r != nil {
			got = r.Prefix
		}
		if got != want {
			t.Fatalf("%q goes to %q, want %q", asked, got, want)
		}
	})
}

// TestLeastShards: the number of shards reaches the share exactly, without the
// rounding of fractions getting in the way.
func TestLeastShards(t *testing.T) {
	for _, test := range []struct {
		shards int
		share  float64
		want   int
	}{{10, 0.89, 9}, {10, 0.75, 8}, {10, 0.7, 7}, {36, 0.95, 35}, {15, 0.89, 14}, {10, 1, 10}, {1, 0, 1}} {
		r := Route{Shards: make([]string, test.shards), MinimumShardShare: test.share}
		if got := r.MinimumShards(); got != test.want {
			t.Errorf("%v of %d: %d, want %d", test.share, test.shards, got, test.want)
		}
	}
}

// TestWeights: points spread evenly give each target its share.
func TestWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 1}, {"b", 3}}}
	count := map[string]int{}
	for i := range 1000 {
		count[r.PickService(float64(i)/1000)]++
	}
	if count["a"] != 250 || count["b"] != 750 {
		t.Errorf("%v", count)
	}
}
