package member

import (
	"cmp"
	"slices"
)

// Bounds of the number of members that callers are sent to.
const (
	// leastServing members serve whatever the size, so that the loss of some
	// leaves enough.
	leastServing = 9
	// servingShare is the part of a large system that serves callers: few nodes
	// that are busy know the upstreams' state first-hand and keep connections
	// warm, where many that are idle would open one for each request.
	servingShare = 0.20
	// leastStrong members that are strong serve alone: a weak one among them
	// would answer its share of callers late.
	leastStrong = 6
	// strongPart is the capacity from which on a member counts as strong, as a
	// part of the strongest one's.
	strongPart = 0.5
)

// Serving returns the ready members that callers are sent to, at most limit. Of
// a large fleet these are the strongest, taken from the availability zones in
// turn. All nodes with the same table choose the same; a change of one member
// changes few places. It answers the load of a fleet that is large and uneven
// for its callers.
func Serving(members []Member, limit int) []Member {
	order := inTurn(strongOnes(members))
	count := max(leastServing, int(servingShare*float64(len(order))))
	return order[:min(count, limit, len(order))]
}

// strongOnes returns the strong ready members if there are enough of them to
// serve alone, and else all members.
func strongOnes(members []Member) []Member {
	strongest, total := uint32(0), 0.0
	for _, m := range members {
		if m.State == Ready {
			strongest = max(strongest, m.Capacity)
			total += float64(m.Capacity)
		}
	}
	var strong []Member
	held := 0.0
	for _, m := range members {
		if m.State == Ready && float64(m.Capacity) >= strongPart*float64(strongest) {
			strong = append(strong, m)
			held += float64(m.Capacity)
		}
	}
	if len(strong) < leastStrong || held < servingShare*total {
		return members
	}
	return strong
}

// inTurn orders the ready members: the strongest of each zone first.
func inTurn(members []Member) []Member {
	zones := map[string][]Member{}
	for _, m := range members {
		if m.State == Ready {
			zones[m.AvailabilityZone] = append(zones[m.AvailabilityZone], m)
		}
	}
	var names []string
	for name, zone := range zones {
		names = append(names, name)
		slices.SortFunc(zone, stronger)
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

// stronger orders members by capacity, then by a hash that spreads them.
func stronger(a, b Member) int {
	if order := cmp.Compare(b.Capacity, a.Capacity); order != 0 {
		return order
	}
	return byHash(a, b)
}
