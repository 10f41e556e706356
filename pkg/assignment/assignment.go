// Package assignment determines which member is the gate of each service. It is a
// pure function of the members and the services, so that all nodes with the same
// view agree without communicating.
//
// It uses rendezvous hashing with bounded loads: each service is assigned to the
// member with the highest score for it whose number of services is below the
// bound.
package assignment

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// loadBound is the maximum number of services of a member, as a multiple of the
// mean.
const loadBound = 1.25

// NoMember is the position for a service without a gate or standby.
const NoMember = int32(-1)

// Table is the assignment of all services. It is immutable.
type Table struct {
	members []string
	// gates and standbys hold positions in members, indexed by service position.
	gates    []int32
	standbys []int32
	// services maps the name of a service to its position.
	services map[string]int32
}

// Services is a list of services with their hashes. It is computed once for each
// configuration document.
type Services struct {
	names     []string
	hashes    []uint64
	positions map[string]int32
}

// NewServices computes the hashes of the services of a configuration document,
// given in the order of the document.
func NewServices(names []string) *Services {
	s := &Services{
		names:     names,
		hashes:    make([]uint64, len(names)),
		positions: make(map[string]int32, len(names)),
	}
	for i, name := range names {
		s.hashes[i] = xxhash.Sum64String(name)
		s.positions[name] = int32(i)
	}
	return s
}

// Compute assigns a gate and a standby to each service. members are the names of
// the members that may be gates; their order does not affect the assignment.
func Compute(members []string, services *Services) *Table {
	t := &Table{
		members:  members,
		gates:    make([]int32, len(services.names)),
		standbys: make([]int32, len(services.names)),
		services: services.positions,
	}
	hashes := make([]uint64, len(members))
	for i, member := range members {
		hashes[i] = xxhash.Sum64String(member)
	}
	bound := int32(math.Ceil(loadBound * float64(len(services.names)) / float64(max(1, len(members)))))
	loads := make([]int32, len(members))
	for i, hash := range services.hashes {
		t.gates[i], t.standbys[i] = pickGateAndStandby(hash, hashes, loads, bound)
		if t.gates[i] != NoMember {
			loads[t.gates[i]]++
		}
	}
	return t
}

// pickGateAndStandby returns the member with the highest score whose load is
// below the bound, and the one with the highest score among the others. The
// bound does not apply to standbys, so that every service can have one.
func pickGateAndStandby(service uint64, members []uint64, loads []int32, bound int32) (gate, standby int32) {
	gate = NoMember
	var top, second scoredMember
	var gateScore uint64
	for i, member := range members {
		score := CombineHashes(service, member) | 1
		candidate := scoredMember{position: int32(i), score: score}
		if score > top.score {
			top, second = candidate, top
		} else if score > second.score {
			second = candidate
		}
		if score > gateScore && loads[i] < bound {
			gate, gateScore = int32(i), score
		}
	}
	switch {
	case top.score != 0 && top.position != gate:
		return gate, top.position
	case second.score != 0:
		return gate, second.position
	default:
		return gate, NoMember
	}
}

// scoredMember is a member with its score for a service; a score of 0 means no
// member.
type scoredMember struct {
	position int32
	score    uint64
}

// CombineHashes combines the hashes of two names into a score for rendezvous hashing.
func CombineHashes(a, b uint64) uint64 {
	high, low := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xbf58476d1ce4e5b9)
	mixed := high ^ low
	high, low = bits.Mul64(mixed^0x94d049bb133111eb, 0x9e3779b97f4a7c15)
	return high ^ low
}

// Gate returns the member that is the gate of the service, or "" if there is none.
func (t *Table) Gate(service string) string {
	if t == nil {
		return ""
	}
	return t.memberAt(t.gates, service)
}

// Standby returns the member that takes over if the gate fails, or "" if there is
// none.
func (t *Table) Standby(service string) string {
	if t == nil {
		return ""
	}
	return t.memberAt(t.standbys, service)
}

// memberAt returns the member that positions holds for the service, or "".
func (t *Table) memberAt(positions []int32, service string) string {
	position, found := t.services[service]
	if !found || positions[position] == NoMember {
		return ""
	}
	return t.members[positions[position]]
}
