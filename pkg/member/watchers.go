package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minimumWatchers is the minimum number of watchers of a region. A region with
// more availability zones than that has one watcher in each.
const minimumWatchers = 3

// Watchers returns the members that watch the platform's store on behalf of the others:
// some in each availability zone of each region, chosen by hash without a lease. Nodes with
// equal tables choose the same members. They are ready; in a region whose members all
// leave at once they are leaving.
func Watchers(members []Member) []Member {
	regions := byZone(members, Ready)
	for region, zones := range byZone(members, Leaving) {
		if regions[region] == nil {
			regions[region] = zones
		}
	}
	var watchers []Member
	for _, zones := range regions {
		perZone := (minimumWatchers + len(zones) - 1) / len(zones)
		for _, zone := range zones {
			slices.SortFunc(zone, compareHash)
			watchers = append(watchers, zone[:min(perZone, len(zone))]...)
		}
	}
	slices.SortFunc(watchers, compareHash)
	return watchers
}

// byZone returns the members in the state by region and availability zone.
func byZone(members []Member, state State) map[string]map[string][]Member {
	regions := map[string]map[string][]Member{}
	for _, m := range members {
		if m.State != state {
			continue
		}
		if regions[m.Region] == nil {
			regions[m.Region] = map[string][]Member{}
		}
		regions[m.Region][m.AvailabilityZone] = append(regions[m.Region][m.AvailabilityZone], m)
	}
	return regions
}

// compareHash orders members by the hash of their VM's name, so that the first
// ones of a list are a pseudorandom choice on which all nodes agree.
func compareHash(a, b Member) int {
	if order := cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)); order != 0 {
		return order
	}
	return cmp.Compare(a.VM, b.VM)
}
