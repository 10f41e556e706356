package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// leastWatchers is the number of watchers of a region with few availability
// zones; with more zones there is one in each.
const leastWatchers = 3

// Watchers returns the ready members that follow the platform's store closely
// for the others: of each region, some of each availability zone, picked by hash
// without a lease. All nodes with the same table choose the same.
func Watchers(members []Member) []Member {
	regions := map[string]map[string][]Member{}
	for _, m := range members {
		if m.State != Ready {
			continue
		}
		if regions[m.Region] == nil {
			regions[m.Region] = map[string][]Member{}
		}
		regions[m.Region][m.AvailabilityZone] = append(regions[m.Region][m.AvailabilityZone], m)
	}
	var watchers []Member
	for _, zones := range regions {
		perZone := (leastWatchers + len(zones) - 1) / len(zones)
		for _, zone := range zones {
			slices.SortFunc(zone, byHash)
			watchers = append(watchers, zone[:min(perZone, len(zone))]...)
		}
	}
	slices.SortFunc(watchers, byHash)
	return watchers
}

// byHash is an order that spreads what is chosen by it.
func byHash(a, b Member) int {
	if order := cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)); order != 0 {
		return order
	}
	return cmp.Compare(a.VM, b.VM)
}
