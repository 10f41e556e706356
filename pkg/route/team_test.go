package route

import (
	"fmt"
	"runtime/debug"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTeamOfKey compares the look-up by key with a linear search through the teams. It
// guards against a key that belongs to no team, to a later team than the first that holds it,
// or that is counted wrongly as shared.
func TestTeamOfKey(t *testing.T) {
	keys := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		var list []Team
		for i := range rapid.IntRange(0, 5).Draw(t, "teams") {
			held := rapid.SliceOfN(rapid.SampledFrom(keys), 0, 4).Draw(t, "keys")
			list = append(list, Team{Name: fmt.Sprint("team-", i), Keys: held})
		}
		table := NewTable(Config{Version: 1, Teams: list})
		shared := 0
		for _, key := range append(keys, "unknown", "") {
			var holders []string
			for _, team := range list {
				for _, held := range team.Keys {
					if held == key && (len(holders) == 0 || holders[len(holders)-1] != team.Name) {
						holders = append(holders, team.Name)
					}
				}
			}
			if len(holders) > 1 {
				shared++
			}
			got, want := "", ""
			if team := table.TeamOf(key); team != nil {
				got = team.Name
			}
			if len(holders) > 0 {
				want = holders[0]
			}
			if got != want {
				t.Fatalf("key %q belongs to %q, want %q", key, got, want)
			}
		}
		if got := table.SharedKeys(); got != shared {
			t.Fatalf("%d shared keys, want %d", got, shared)
		}
		if table.HasTeams() != (len(list) > 0) {
			t.Fatalf("HasTeams is %t with %d teams", table.HasTeams(), len(list))
		}
	})
}

// TestTeamWithoutKeysIsATeam guards against routes that become open to all when the last key
// of the last team is withdrawn.
func TestTeamWithoutKeysIsATeam(t *testing.T) {
	table := NewTable(Config{Version: 1, Teams: []Team{{Name: "a"}}})
	if !table.HasTeams() || table.Team("a") == nil || table.TeamOf("") != nil {
		t.Errorf("teams %t, by name %v, of no key %v", table.HasTeams(), table.Team("a"), table.TeamOf(""))
	}
}

// TestNoTableHasNoTeams guards against a panic on a node without a configuration.
func TestNoTableHasNoTeams(t *testing.T) {
	var table *Table
	if table.HasTeams() || table.TeamOf("a") != nil || table.Team("a") != nil || table.SharedKeys() != 0 {
		t.Error("a nil table has teams")
	}
}

const (
	// fewTeams and manyTeams are sizes of tables, keysPerTeam the keys of each team.
	fewTeams    = 2000
	manyTeams   = 10 * fewTeams
	keysPerTeam = 3
	// maxBuildGrowth is by how much longer the many teams may take than the few. Linear
	// cost takes 10 times as long, quadratic cost 100 times.
	maxBuildGrowth = 40
)

// processorTime returns how much time of processors the process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// buildTime returns the least of several processor times that it took to build a table. The
// garbage collector does not run meanwhile, and other processes don't count.
func buildTime(t *testing.T, count int) time.Duration {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	list := make([]Team, count)
	for i := range list {
		list[i].Name = fmt.Sprint("team-", i)
		for k := range keysPerTeam {
			// One key of each team is also held by the next one.
			list[i].Keys = append(list[i].Keys, fmt.Sprint("key-", i*(keysPerTeam-1)+k))
		}
	}
	shortest := time.Hour
	for range 10 {
		start := processorTime(t)
		table := NewTable(Config{Version: 1, Teams: list})
		shortest = min(shortest, processorTime(t)-start)
		if table.SharedKeys() != count-1 {
			return 0
		}
	}
	return shortest
}

// TestManyTeamsAreBuiltInLinearTime guards against a cost that grows with the square of the
// number of teams.
func TestManyTeamsAreBuiltInLinearTime(t *testing.T) {
	few, many := buildTime(t, fewTeams), buildTime(t, manyTeams)
	if few == 0 || many == 0 {
		t.Fatal("the shared keys are not counted right")
	}
	if many > maxBuildGrowth*few {
		t.Errorf("%d teams took %s, %d teams %s", fewTeams, few, manyTeams, many)
	}
}
