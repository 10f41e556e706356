package member

import (
	"fmt"
	"testing"
)

// readyMembers returns count ready members.
func readyMembers(count int) []Member {
	members := make([]Member, count)
	for i := range members {
		members[i] = Member{VM: fmt.Sprint("vm-", i), State: Ready}
	}
	return members
}

// TestServing checks that all nodes of a small cluster serve and a part of a
// large one, and that the loss of a serving member adds one other and keeps the
// rest.
func TestServing(t *testing.T) {
	if got := len(Serving(readyMembers(9), 64)); got != 9 {
		t.Errorf("%d of 9 serve", got)
	}
	members := readyMembers(64)
	before := Serving(members, 64)
	if len(before) < 9 || len(before) > 32 {
		t.Errorf("%d of 64 serve", len(before))
	}
	if got := len(Serving(readyMembers(2900), 64)); got != 64 {
		t.Errorf("%d of 2900 serve", got)
	}
	suspected := before[3].VM
	for i := range members {
		if members[i].VM == suspected {
			members[i].State = Suspect
		}
	}
	kept := map[string]bool{}
	for _, m := range Serving(members, 64) {
		kept[m.VM] = true
	}
	for _, m := range before {
		if m.VM != suspected && !kept[m.VM] && m.VM != before[len(before)-1].VM {
			t.Errorf("%s no longer serves", m.VM)
		}
	}
	if kept[suspected] {
		t.Error("a suspect serves")
	}
}

// TestStrongServeFirst checks that in a cluster of unequal nodes only strong
// ones serve, and that they come from all availability zones.
func TestStrongServeFirst(t *testing.T) {
	members := readyMembers(64)
	for i := range members {
		members[i].AvailabilityZone = fmt.Sprint("zone-", i%4)
		members[i].Capacity = 192
		if i%16 < 8 {
			members[i].Capacity = 800
		}
	}
	zones := map[string]int{}
	for _, m := range Serving(members, 64) {
		if m.Capacity != 800 {
			t.Errorf("%s serves with capacity %d", m.VM, m.Capacity)
		}
		zones[m.AvailabilityZone]++
	}
	if len(zones) != 4 {
		t.Errorf("zones %v", zones)
	}
}

// TestWeakServeOnlyIfNeeded checks a cluster of eight strong nodes and many
// weak ones: only the strong ones serve while there are enough of them, and
// weak ones serve too once most of the strong ones are dead.
func TestWeakServeOnlyIfNeeded(t *testing.T) {
	members := readyMembers(64)
	for i := range members {
		members[i].AvailabilityZone = fmt.Sprint("zone-", i%4)
		members[i].Capacity = 192
		if i < 8 {
			members[i].Capacity = 800
		}
	}
	if got := Serving(members, 64); len(got) != 8 || got[7].Capacity != 800 {
		t.Errorf("%d serve, the last with capacity %d", len(got), got[len(got)-1].Capacity)
	}
	for i := range 4 {
		members[i].State = Dead
	}
	got := Serving(members, 64)
	if len(got) < minimumServing || got[0].Capacity != 800 {
		t.Errorf("%d serve after a loss, the first with capacity %d", len(got), got[0].Capacity)
	}
	for i := range members {
		members[i].State, members[i].Capacity = Ready, 192
		if i < 6 {
			members[i].Capacity = 400
		}
	}
	if got := Serving(members, 64); len(got) != 12 {
		t.Errorf("%d serve where the strong ones hold a sixth of the capacity", len(got))
	}
}
