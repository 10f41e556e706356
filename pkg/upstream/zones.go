package upstream

import "slices"

// zoneFraction is the minimum number of services that a zone must hold upstreams
// of, as a fraction of those that the best zone holds.
const zoneFraction = 0.5

// Zones returns, sorted, the availability zones that hold upstreams of many of the
// given services, whose names must be sorted. A node in another zone sends nearly all
// of its requests for them across zones.
func Zones(registrations []Registration, services []string) []string {
	held := map[string]map[string]bool{}
	for _, r := range registrations {
		if r.Leaving || !sortedContains(services, r.Service) {
			continue
		}
		if held[r.AvailabilityZone] == nil {
			held[r.AvailabilityZone] = map[string]bool{}
		}
		held[r.AvailabilityZone][r.Service] = true
	}
	most := 0
	for _, names := range held {
		most = max(most, len(names))
	}
	var zones []string
	for zone, names := range held {
		if float64(len(names)) >= zoneFraction*float64(most) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

func sortedContains(names []string, name string) bool {
	_, found := slices.BinarySearch(names, name)
	return found
}
