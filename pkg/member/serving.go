package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
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
)

// Serving returns the ready members that callers are sent to, at most limit.
// All nodes with the same table choose the same; a change of one member changes
// one place. It answers the load of a fleet that is large for its callers.
func Serving(members []Member, limit int) []Member {
	var ready []Member
	for _, m := range members {
		if m.State == Ready {
			ready = append(ready, m)
		}
	}
	slices.SortFunc(ready, func(a, b Member) int {
		if order := cmp.Compare(xxhash.Sum64String(a.VM), xxhash.Sum64String(b.VM)); order != 0 {
			return order
		}
		return cmp.Compare(a.VM, b.VM)
	})
	count := max(leastServing, int(servingShare*float64(len(ready))))
	return ready[:min(count, limit, len(ready))]
}
