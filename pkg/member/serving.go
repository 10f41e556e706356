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
	// minimumNear is the minimum number of members in zones with upstreams that
	// serve without the others, and nearCapacityFraction the minimum fraction of the
	// capacity that they must hold.
	minimumNear          = 4
	nearCapacityFraction = 0.4
)

// ServingConfig holds the parameters of Serving.
type ServingConfig struct {
	// Limit is the maximum number of serving members.
	Limit int
	// UpstreamZones are the availability zones that hold upstreams; empty if they
	// are not known.
	UpstreamZones []string
}

// Serving returns the ready members that callers should use. In a large cluster
// these are the strong ones, taken from the availability zones in turn, so that
// callers don't use the weak nodes of a cluster whose nodes differ in capacity. Nodes
// with equal tables choose the same members, and a change of one member changes few
// of them.
func Serving(members []Member, config ServingConfig) []Member {
	order := interleaveZones(selectCandidates(members, config.UpstreamZones))
	count := max(minimumServing, int(servingFraction*float64(len(order))))
	return order[:min(count, config.Limit, len(order))]
}

// minimumZoneServing is the minimum number of serving members in a caller's
// availability zone for it to be sent to these only: if one of them is lost, the
// caller needs another to turn to.
const minimumZoneServing = 2

// ServingZone returns the serving members for callers in an availability zone: those
// in the same zone if there are enough of them, otherwise all.
func ServingZone(serving []Member, zone string) []Member {
	var local []Member
	for _, m := range serving {
		if m.AvailabilityZone == zone {
			local = append(local, m)
		}
	}
	if len(local) < minimumZoneServing {
		return serving
	}
	return local
}

// selectCandidates returns the ready members to choose from: the strong ones if there
// are minimumStrong, and otherwise all; of these the ones near upstreams if they are
// enough to serve alone.
func selectCandidates(members []Member, upstreamZones []string) []Member {
	ready := readyByCapacity(members)
	strong := countStrong(ready)
	if strong < minimumStrong {
		near, _ := selectNear(ready, upstreamZones)
		return near
	}
	if near, enough := selectNear(ready[:strong], upstreamZones); enough {
		return near
	}
	return addWeak(ready, strong)
}

// countStrong returns how many of the members, which are sorted by falling capacity,
// are strong.
func countStrong(ready []Member) int {
	for i, m := range ready {
		if float64(m.Capacity) < strongCapacityFraction*float64(ready[0].Capacity) {
			return i
		}
	}
	return len(ready)
}

// addWeak returns the strong members, which are the first of those sorted by falling
// capacity, with as many of the others as are needed to hold servingFraction of the
// capacity. The loss of one strong member thus adds few weak ones, and not a fifth of
// the cluster.
func addWeak(ready []Member, strong int) []Member {
	held, count := capacityOf(ready[:strong]), strong
	for needed := servingFraction * capacityOf(ready); held < needed && count < len(ready); count++ {
		held += capacityOf(ready[count : count+1])
	}
	return ready[:count]
}

// selectNear returns the members in the given availability zones if they are enough to
// serve alone; otherwise it returns all. A query costs its caller one crossing of zones
// at most, but a node in a zone without upstreams one for each shard.
func selectNear(ready []Member, zones []string) (selected []Member, enough bool) {
	var near []Member
	for _, m := range ready {
		if slices.Contains(zones, m.AvailabilityZone) {
			near = append(near, m)
		}
	}
	if len(near) < minimumNear || capacityOf(near) < nearCapacityFraction*capacityOf(ready) {
		return ready, false
	}
	return near, true
}

// capacityOf returns the capacity of the members together. One of unknown capacity
// counts as the least.
func capacityOf(members []Member) float64 {
	total := 0.0
	for _, m := range members {
		total += max(1, float64(m.Capacity))
	}
	return total
}

// readyByCapacity returns the ready members, the highest capacity first.
func readyByCapacity(members []Member) []Member {
	var ready []Member
	for _, m := range members {
		if m.State == Ready {
			ready = append(ready, m)
		}
	}
	slices.SortFunc(ready, compareCapacity)
	return ready
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
