package member

import (
	"fmt"
	"testing"
)

// fleet returns ready members.
func fleet(count int) []Member {
	members := make([]Member, count)
	for i := range members {
		members[i] = Member{VM: fmt.Sprint("vm-", i), State: Ready}
	}
	return members
}

// TestServing: small systems serve with all nodes, large ones with a part; the
// loss of one that serves brings in one other and moves nobody else.
func TestServing(t *testing.T) {
	if got := len(Serving(fleet(9), 64)); got != 9 {
		t.Errorf("%d of 9 serve", got)
	}
	members := fleet(64)
	before := Serving(members, 64)
	if len(before) < 9 || len(before) > 32 {
		t.Errorf("%d of 64 serve", len(before))
	}
	if got := len(Serving(fleet(2900), 64)); got != 64 {
		t.Errorf("%d of 2900 are named", got)
	}
	lost := before[3].VM
	for i := range members {
		if members[i].VM == lost {
			members[i].State = Suspect
		}
	}
	kept := map[string]bool{}
	for _, m := range Serving(members, 64) {
		kept[m.VM] = true
	}
	for _, m := range before {
		if m.VM != lost && !kept[m.VM] && m.VM != before[len(before)-1].VM {
			t.Errorf("%s no longer serves", m.VM)
		}
	}
	if kept[lost] {
		t.Error("a suspect is named")
	}
}

// TestStrongServeFirst: of an uneven fleet the strong nodes of all zones serve.
func TestStrongServeFirst(t *testing.T) {
	members := fleet(64)
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
			t.Errorf("%s serves with %d", m.VM, m.Capacity)
		}
		zones[m.AvailabilityZone]++
	}
	if len(zones) != 4 {
		t.Errorf("zones %v", zones)
	}
}

// TestWeakServeOnlyIfNeeded plays a fleet of eight strong nodes and many weak
// ones: the strong ones serve alone while there are enough of them, and the weak
// ones help once most of the strong ones are lost.
func TestWeakServeOnlyIfNeeded(t *testing.T) {
	members := fleet(64)
	for i := range members {
		members[i].AvailabilityZone = fmt.Sprint("zone-", i%4)
		members[i].Capacity = 192
		if i < 8 {
			members[i].Capacity = 800
		}
	}
	if got := Serving(members, 64); len(got) != 8 || got[7].Capacity != 800 {
		t.Errorf("%d serve, the last with %d", len(got), got[len(got)-1].Capacity)
	}
	for i := range 4 {
		members[i].State = Dead
	}
	got := Serving(members, 64)
	if len(got) < leastServing || got[0].Capacity != 800 {
		t.Errorf("%d serve after a loss, the first with %d", len(got), got[0].Capacity)
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
