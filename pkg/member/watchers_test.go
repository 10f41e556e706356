package member

import "testing"

// TestWatchers checks that each of four zones has one watcher, that fewer zones
// have three in all, and that the order of the members doesn't matter.
func TestWatchers(t *testing.T) {
	members := readyMembers(64)
	for i := range members {
		members[i].AvailabilityZone = string(rune('a' + i%4))
	}
	watchers := Watchers(members)
	zones := map[string]int{}
	for _, m := range watchers {
		zones[m.AvailabilityZone]++
	}
	if len(watchers) != 4 || len(zones) != 4 {
		t.Errorf("%d watchers, zones %v", len(watchers), zones)
	}
	if got := len(Watchers(readyMembers(9))); got != 3 {
		t.Errorf("%d watchers of one zone", got)
	}
	reversed := make([]Member, 0, len(members))
	for i := range members {
		reversed = append(reversed, members[len(members)-1-i])
	}
	for i, m := range Watchers(reversed) {
		if m.VM != watchers[i].VM {
			t.Fatalf("got watcher %s in reversed order, want %s", m.VM, watchers[i].VM)
		}
	}
	members[0].State = Suspect
	for _, m := range Watchers(members) {
		if m.VM == members[0].VM {
			t.Error("a suspect is a watcher")
		}
	}
}

// TestLeavingMembersWatchIfNoOtherDoes checks that a region whose members all leave at once
// still has watchers, and that they are none beside ready ones.
func TestLeavingMembersWatchIfNoOtherDoes(t *testing.T) {
	members := readyMembers(9)
	for i := range members {
		members[i].State = Leaving
	}
	if got := len(Watchers(members)); got != minimumWatchers {
		t.Errorf("%d watchers among leaving members, want %d", got, minimumWatchers)
	}
	members[4].State = Ready
	if watchers := Watchers(members); len(watchers) != 1 || watchers[0].VM != members[4].VM {
		t.Errorf("watchers beside a ready member: %v", watchers)
	}
}
