package quota

import (
	"fmt"
	"slices"
	"testing"
)

// TestChoose guards against nodes that choose different lenders, lenders that get most of
// the teams, and teams that move without need.
func TestChoose(t *testing.T) {
	const teams = 1000
	candidates := []string{"a", "b", "c", "d", "e", "f"}
	reversed := slices.Clone(candidates)
	slices.Reverse(reversed)
	led := map[string]int{}
	for i := range teams {
		team := fmt.Sprint("team-", i)
		lender := Choose(team, candidates)
		led[lender]++
		if other := Choose(team, reversed); other != lender {
			t.Errorf("%s has lender %s or %s by the order of candidates", team, lender, other)
		}
		if other := Choose(team, candidates[1:]); lender != "a" && other != lender {
			t.Errorf("%s moves from %s to %s as a is lost", team, lender, other)
		}
	}
	for _, candidate := range candidates {
		if count := led[candidate]; count < teams/12 || count > teams/3 {
			t.Errorf("%s is the lender of %d of %d teams", candidate, count, teams)
		}
	}
	if Choose("team", nil) != "" {
		t.Error("a lender was chosen among none")
	}
}
