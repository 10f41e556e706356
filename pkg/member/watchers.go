package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// watchersPerZone is the number of members of an availability zone that follow
// the platform's store closely.
const watchersPerZone = 2

// Watchers returns the ready members that follow the platform's store closely
// for the others, a few of each availability zone, picked by hash without a
// lease. All nodes with the same table choose the same.
func Watchers(members []Member) []Member {
	type place struct{ region, zone string }
	zones := map[place][]Member{}
	for _, m := range members {
		if m.State == Ready {
			zone := place{region: m.Region, zone: m.AvailabilityZone}
			zones[zone] = append(zones[zone], m)
		}
	}
	var watchers []Member
	for _, zone := range zones {
		slices.SortFunc(zone, byHash)
		watchers = append(watchers, zone[:min(watchersPerZone, len(zone))]...)
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
