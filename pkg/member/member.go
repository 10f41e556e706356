// Package member keeps the membership table of the cluster. It decides which
// VMs are alive from the state that each node announces and from failed probes.
//
// The package reads no clock and opens no socket: the methods of Table take the
// time and a random source and return the actions for the caller to carry out.
// A Table is not safe for concurrent use.
package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// State is the lifecycle state of a member.
type State uint8

// The states. Of two claims with the same revision, the one with the later
// state in this list wins.
const (
	// Joining members do not have the configuration yet.
	Joining State = iota
	// Ready members accept requests from callers and act as gates.
	Ready
	// Suspect members did not answer a probe; they may still refute the suspicion.
	Suspect
	// Leaving members finish the requests that they have accepted.
	Leaving
	// Dead members have been declared gone; they may still refute the claim.
	Dead
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"joining", "ready", "suspect", "leaving", "dead"}[min(s, Dead)]
}

// Member is one entry of the table: a claim about the state of one VM. It is
// passed by value.
type Member struct {
	VM string
	// Incarnation orders the claims about the processes that have run on the VM, and
	// those only. A process starts with a small number and takes a higher one when it
	// is told of a claim that is not about itself; it is at most maximumIncarnation.
	Incarnation uint64
	// Revision is raised only by the member itself, to change its state or to
	// refute a claim made by others.
	Revision         uint64
	State            State
	AvailabilityZone string
	Region           string
	CallerAddress    string
	PeerAddress      string
	// Capacity is the VM's processor capacity in thousandths of a core; 0 if
	// unknown. It is the same in all claims about one incarnation.
	Capacity uint32
}

// WithState returns a copy of the member with the given state.
func (m Member) WithState(state State) Member {
	m.State = state
	return m
}

// WithIncarnation returns a copy of the member with the given incarnation.
func (m Member) WithIncarnation(incarnation uint64) Member {
	m.Incarnation = incarnation
	return m
}

// WithRevision returns a copy of the member with the given revision.
func (m Member) WithRevision(revision uint64) Member {
	m.Revision = revision
	return m
}

// Supersedes reports whether this claim replaces other, a claim about the same
// VM.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Revision != other.Revision {
		return m.Revision > other.Revision
	}
	return m.State > other.State
}

// Hash returns a hash of the claim: VM, incarnation, revision and state.
func (m Member) Hash() uint64 {
	var buffer [17]byte
	binary.LittleEndian.PutUint64(buffer[0:], m.Incarnation)
	binary.LittleEndian.PutUint64(buffer[8:], m.Revision)
	buffer[16] = byte(m.State)
	digest := xxhash.NewWithSeed(xxhash.Sum64String(m.VM))
	// Writing to a hash can't fail.
	_, _ = digest.Write(buffer[:])
	return digest.Sum64()
}
