package member

import (
	"fmt"
	"slices"
	"testing"
)

// fleetTables returns the tables of a fleet in which everybody knows everybody.
func fleetTables(size, zones int) []*Table {
	members := make([]Member, size)
	for i := range members {
		members[i] = testMember(i)
		members[i].AvailabilityZone = fmt.Sprintf("zone-%d", i%zones)
		members[i].Region = "region"
	}
	tables := make([]*Table, size)
	for i := range tables {
		tables[i] = NewTable(members[i], epoch)
		tables[i].Merge(epoch, members)
	}
	return tables
}

// reachable returns the number of nodes that news of the first node reaches over
// exchanges between neighbors.
func reachable(tables []*Table) int {
	links := map[string][]string{}
	for _, table := range tables {
		table.updateNeighbors()
		for _, vm := range slices.Concat(table.neighbors[:]...) {
			links[table.self] = append(links[table.self], vm)
			links[vm] = append(links[vm], table.self)
		}
	}
	seen := map[string]bool{tables[0].self: true}
	for queue := []string{tables[0].self}; len(queue) > 0; queue = queue[1:] {
		for _, vm := range links[queue[0]] {
			if !seen[vm] {
				seen[vm] = true
				queue = append(queue, vm)
			}
		}
	}
	return len(seen)
}

// TestNeighborsReachTheFleet: each node exchanges with a bounded number of others,
// and news still reaches all nodes, also after the loss of half of them.
func TestNeighborsReachTheFleet(t *testing.T) {
	const size, zones = 295, 6
	tables := fleetTables(size, zones)
	if got := reachable(tables); got != size {
		t.Errorf("news reaches %d of %d nodes", got, size)
	}
	limit := neighborCounts[sameZone] + neighborCounts[sameRegion]
	for _, table := range tables {
		if got := len(slices.Concat(table.neighbors[:]...)); got > limit {
			t.Fatalf("%s has %d neighbors, want %d at most", table.self, got, limit)
		}
	}
	alive := tables[:size/2]
	for _, table := range alive {
		for _, lost := range tables[size/2:] {
			table.Merge(epoch, []Member{lost.Self().WithState(Dead)})
		}
	}
	if got := reachable(alive); got != len(alive) {
		t.Errorf("after the loss of half of the fleet, news reaches %d of %d nodes", got, len(alive))
	}
}

// TestNeighborsStay: the loss of one member changes one neighbor at most, so that
// the connections to the others stay open.
func TestNeighborsStay(t *testing.T) {
	tables := fleetTables(60, 4)
	for _, table := range tables[1:] {
		table.updateNeighbors()
		before := slices.Concat(table.neighbors[:]...)
		table.Merge(epoch, []Member{tables[0].Self().WithState(Dead)})
		table.updateNeighbors()
		gone := slices.DeleteFunc(before, func(vm string) bool {
			return slices.Contains(slices.Concat(table.neighbors[:]...), vm)
		})
		if len(gone) > 1 || len(gone) == 1 && gone[0] != tables[0].self {
			t.Fatalf("%s no longer exchanges with %v", table.self, gone)
		}
	}
}
