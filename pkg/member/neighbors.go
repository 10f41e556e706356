package member

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// distance is how far away another member is.
type distance int

// The distances. sameRegion means another availability zone of the same region.
const (
	sameZone distance = iota
	sameRegion
	otherRegion
	distances
)

// neighborCounts holds the maximum number of neighbors by distance. Each of them
// is a connection that stays open, so their number must not grow with the fleet.
// They are enough for the random graph of all nodes to be connected.
var neighborCounts = [distances]int{8, 8, 4}

func distanceBetween(a, b Member) distance {
	switch {
	case a.AvailabilityZone == b.AvailabilityZone && a.Region == b.Region:
		return sameZone
	case a.Region == b.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// neighbor is a candidate for a neighbor. Members with the lowest ranks are chosen;
// each node ranks them differently.
type neighbor struct {
	vm   string
	rank uint64
}

// updateNeighbors chooses the neighbors again if the table has changed. The choice is
// by rendezvous hashing, so that a change of one member changes few neighbors.
func (t *Table) updateNeighbors() {
	if t.neighborsGeneration == t.generation {
		return
	}
	t.neighborsGeneration = t.generation
	own := t.Self()
	var candidates [distances][]neighbor
	seed := xxhash.Sum64String(t.self)
	for _, vm := range t.order {
		m := t.entries[vm].member
		if m.State == Dead {
			continue
		}
		d := distanceBetween(own, m)
		candidates[d] = append(candidates[d], neighbor{vm: vm, rank: rankNeighbor(seed, vm)})
	}
	for d := range candidates {
		t.neighbors[d] = lowestRanks(candidates[d], neighborCounts[d])
	}
}

func rankNeighbor(seed uint64, vm string) uint64 {
	digest := xxhash.NewWithSeed(seed)
	// Writing to a hash can't fail.
	_, _ = digest.WriteString(vm)
	return digest.Sum64()
}

// lowestRanks returns the VMs of the count candidates with the lowest ranks.
func lowestRanks(candidates []neighbor, count int) []string {
	slices.SortFunc(candidates, func(a, b neighbor) int { return cmp.Compare(a.rank, b.rank) })
	candidates = candidates[:min(count, len(candidates))]
	vms := make([]string, len(candidates))
	for i, c := range candidates {
		vms[i] = c.vm
	}
	return vms
}

// chooseNeighbor returns a random one of the VMs.
func (t *Table) chooseNeighbor(random *rand.Rand, vms []string) (Member, bool) {
	if len(vms) == 0 {
		return Member{}, false
	}
	return t.entries[vms[random.IntN(len(vms))]].member, true
}
