// Package assignment decides which member is the gate of each service: a pure
// function of the members and the services, so that all nodes with the same
// view agree without talking.
//
// It is rendezvous hashing with a bound on each member's load: a service goes
// to the member with the highest score for it that is not yet full.
package assignment

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// loadBound is the most services a member takes, as a multiple of the mean.
const loadBound = 1.25

// None is the position that stands for no member.
const NoMember = int32(-1)

// Table is the assignment of every service. It is immutable.
type Table struct {
	members []string
	// gates and standbys hold positions in members, by service position.
	gates    []int32
	standbys []int32
	services map[string]int32
}

// Services is a list of services with their hashes, computed once for each
// document.
type Services struct {
	names     []string
	hashes    []uint64
	positions map[string]int32
}

// NewServices prepares the services of a document, in its order.
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

// Compute assigns a gate and a standby to each service. members are the names
// of the members that may be gates; their order does not matter.
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
		t.gates[i], t.standbys[i] = pick(hash, hashes, loads, bound)
		if t.gates[i] != NoMember {
			loads[t.gates[i]]++
		}
	}
	return t
}

// pick returns the member with the highest score that has room, and the one
// with the highest score of all others: the load bound is no reason to have no
// standby.
func pick(service uint64, members []uint64, loads []int32, bound int32) (gate, standby int32) {
	gate = NoMember
	var top, second scored
	var gateScore uint64
	for i, member := range members {
		score := mix(service, member) | 1
		candidate := scored{position: int32(i), score: score}
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

// scored is a member with its score for a service; a score of 0 is no member.
type scored struct {
	position int32
	score    uint64
}

// mix combines two hashes into a score.
func mix(a, b uint64) uint64 {
	high, low := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xbf58476d1ce4e5b9)
	mixed := high ^ low
	high, low = bits.Mul64(mixed^0x94d049bb133111eb, 0x9e3779b97f4a7c15)
	return high ^ low
}

// Gate returns the member that is the gate of the service, or "".
func (t *Table) Gate(service string) string {
	if t == nil {
		return ""
	}
	return t.at(t.gates, service)
}

// Standby returns the member that comes next if the gate is lost, or "".
func (t *Table) Standby(service string) string {
	if t == nil {
		return ""
	}
	return t.at(t.standbys, service)
}

func (t *Table) at(positions []int32, service string) string {
	position, found := t.services[service]
	if !found || positions[position] == NoMember {
		return ""
	}
	return t.members[positions[position]]
}
