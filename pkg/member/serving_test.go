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

// unevenMembers returns ready members in the given number of availability zones. The
// first ones, as many as strong, have a capacity of 800, the others of 192.
func unevenMembers(count, zones, strong int) []Member {
	members := readyMembers(count)
	for i := range members {
		members[i].AvailabilityZone = fmt.Sprint("zone-", i%zones)
		members[i].Capacity = 192
		if i < strong {
			members[i].Capacity = 800
		}
	}
	return members
}

// TestServing checks that all nodes of a small cluster serve and a part of a
// large one, and that the loss of a serving member adds one other and keeps the
// rest.
func TestServing(t *testing.T) {
	if got := len(Serving(readyMembers(9), ServingConfig{Limit: 64})); got != 9 {
		t.Errorf("%d of 9 serve", got)
	}
	members := readyMembers(64)
	before := Serving(members, ServingConfig{Limit: 64})
	if len(before) < 9 || len(before) > 32 {
		t.Errorf("%d of 64 serve", len(before))
	}
	if got := len(Serving(readyMembers(2900), ServingConfig{Limit: 64})); got != 64 {
		t.Errorf("%d of 2900 serve", got)
	}
	suspected := before[3].VM
	for i := range members {
		if members[i].VM == suspected {
			members[i].State = Suspect
		}
	}
	kept := map[string]bool{}
	for _, m := range Serving(members, ServingConfig{Limit: 64}) {
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
	for _, m := range Serving(members, ServingConfig{Limit: 64}) {
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
	members := unevenMembers(64, 4, 8)
	if got := Serving(members, ServingConfig{Limit: 64}); len(got) != 8 || got[7].Capacity != 800 {
		t.Errorf("%d serve, the last with capacity %d", len(got), got[len(got)-1].Capacity)
	}
	for i := range 4 {
		members[i].State = Dead
	}
	got := Serving(members, ServingConfig{Limit: 64})
	if len(got) < minimumServing || got[0].Capacity != 800 {
		t.Errorf("%d serve after a loss, the first with capacity %d", len(got), got[0].Capacity)
	}
	for i := range members {
		members[i].State, members[i].Capacity = Ready, 192
		if i < 6 {
			members[i].Capacity = 400
		}
	}
	got = Serving(members, ServingConfig{Limit: 64})
	strong, capacity := 0, 0
	for _, m := range got {
		capacity += int(m.Capacity)
		if m.Capacity == 400 {
			strong++
		}
	}
	if len(got) != 8 || strong != 6 || capacity < (6*400+58*192)/5 {
		t.Errorf("%d serve with capacity %d, %d of them strong, where the strong ones hold a sixth of it", len(got), capacity, strong)
	}
}

// TestNodesNearUpstreamsServe plays a query over 36 shards with replicas in three of
// four availability zones: no node that serves callers sends all its requests across
// zones, as long as the nodes near the replicas are enough.
func TestNodesNearUpstreamsServe(t *testing.T) {
	zones := []string{"zone-0", "zone-1", "zone-2"}
	members := unevenMembers(64, 4, 8)
	config := ServingConfig{Limit: 64, UpstreamZones: zones}
	got := Serving(members, config)
	if len(got) != 6 {
		t.Errorf("%d serve, want the six strong ones near the replicas", len(got))
	}
	for _, m := range got {
		if m.AvailabilityZone == "zone-3" || m.Capacity != 800 {
			t.Errorf("%s in %s serves with capacity %d", m.VM, m.AvailabilityZone, m.Capacity)
		}
	}
	for i := range members {
		if members[i].AvailabilityZone != "zone-3" && i < 8 && i != 0 {
			members[i].State = Dead
		}
	}
	served := map[string]bool{}
	for _, m := range Serving(members, config) {
		served[m.AvailabilityZone] = true
	}
	if !served["zone-0"] || !served["zone-1"] {
		t.Errorf("after the loss of the strong ones near the replicas, zones %v serve", served)
	}
	if got := Serving(members[3:4], config); len(got) != 1 {
		t.Errorf("%d serve where no node is near a replica, want the only one", len(got))
	}
}

// TestCallersStayInTheirZone: callers are sent to the serving nodes of their zone,
// unless the loss of one of them would leave a caller without any other.
func TestCallersStayInTheirZone(t *testing.T) {
	serving := readyMembers(5)
	for i := range serving {
		serving[i].AvailabilityZone = fmt.Sprint("zone-", i/2)
	}
	for _, m := range ServingZone(serving, "zone-1") {
		if m.AvailabilityZone != "zone-1" {
			t.Errorf("callers in zone-1 are sent to %s", m.AvailabilityZone)
		}
	}
	for _, zone := range []string{"zone-2", "zone-3", ""} {
		if got := len(ServingZone(serving, zone)); got != 5 {
			t.Errorf("callers in %q get %d nodes, want all 5", zone, got)
		}
	}
}

// TestLossOfStrongAddsFewWeak plays the loss of one strong node after the other in a
// fleet of 295 with 18 strong ones in six availability zones, of which three hold
// upstreams. The callers, who use the serving nodes alike, go mostly to strong ones
// all the while: a weak node answers most queries late.
func TestLossOfStrongAddsFewWeak(t *testing.T) {
	members := unevenMembers(295, 6, 18)
	config := ServingConfig{Limit: 64, UpstreamZones: []string{"zone-0", "zone-1", "zone-2"}}
	for lost := range 8 {
		got := Serving(members, config)
		weak := 0
		for _, m := range got {
			if m.Capacity == 192 {
				weak++
			}
		}
		if 3*weak > len(got) {
			t.Errorf("%d strong nodes lost: %d of %d that serve are weak", lost, weak, len(got))
		}
		members[lost].State = Dead
	}
}
