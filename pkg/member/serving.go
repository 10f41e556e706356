package member

import (
	"cmp"
	"slices"
)

// Bounds of the number of members whose addresses callers get.
const (
	// minimumServing is the minimum number of serving members, so that enough are
	// left after the loss of some.
	minimumServing = 9
	// servingFraction is the fraction of a large cluster that serves callers. A
	// few busy nodes know the state of the upstreams from their own requests and
	// keep connections open; many idle nodes would open one for each request.
	servingFraction = 0.20
	// minimumStrong is the minimum number of strong members that serve without
	// weak ones: a weak one among them would answer its share of callers late.
	minimumStrong = 6
	// strongCapacityFraction is the minimum capacity of a strong member, as a
	// fraction of the highest capacity.
	strongCapacityFraction = 0.5
)

// Serving returns the ready members that callers should use, at most limit. In
// a large cluster these are the members with the highest capacity, taken from
// the availability zones in turn, so that callers don't use the weak nodes of a
// cluster whose nodes differ in capacity. Nodes with equal tables choose the same
// members, and a change of one member changes few of them.
func Serving(members []Member, limit int) []Member {
	order := interleaveZones(selectStrong(members))
	count := max(minimumServing, int(servingFraction*float64(len(order))))
	return order[:min(count, limit, len(order))]
}

// selectStrong returns the strong ready members if there are at least
// minimumStrong of them and they hold servingFraction of the capacity of all
// ready members; otherwise it returns all members.
func selectStrong(members []Member) []Member {
	strongest, total := uint32(0), 0.0
	for _, m := range members {
		if m.State == Ready {
			strongest = max(strongest, m.Capacity)
			total += float64(m.Capacity)
		}
	}
	var strong []Member
	strongTotal := 0.0
	for _, m := range members {
		if m.State == Ready && float64(m.Capacity) >= strongCapacityFraction*float64(strongest) {
			strong = append(strong, m)
			strongTotal += float64(m.Capacity)
		}
	}
	if len(strong) < minimumStrong || strongTotal < servingFraction*total {
		return members
	}
	return strong
}

// interleaveZones orders the ready members round-robin over the availability
// zones, the highest capacity of each zone first.
func interleaveZones(members []Member) []Member {
	zones := map[string][]Member{}
	for _, m := range members {
		if m.State == Ready {
			zones[m.AvailabilityZone] = append(zones[m.AvailabilityZone], m)
		}
	}
	var names []string
	for name, zone := range zones {
		names = append(names, name)
		slices.SortFunc(zone, compareCapacity)
	}
	slices.Sort(names)
	var order []Member
	for round := 0; len(names) > 0; round++ {
		names = slices.DeleteFunc(names, func(name string) bool { return round >= len(zones[name]) })
		for _, name := range names {
			order = append(order, zones[name][round])
		}
	}
	return order
}

// compareCapacity orders members by falling capacity, then by hash.
func compareCapacity(a, b Member) int {
	if order := cmp.Compare(b.Capacity, a.Capacity); order != 0 {
		return order
	}
	return compareHash(a, b)
}
