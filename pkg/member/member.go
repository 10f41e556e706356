// Package member keeps the table of the system's VMs and decides, from what
// nodes state of themselves and from who could be reached, who is alive.
//
// It reads no clock and opens no socket: a Table takes the time and a random
// source and returns what to do. A Table is not safe for concurrent use.
package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// State is what a member does.
type State uint8

// The states, in the order in which a claim of the same revision wins.
const (
	// Joining members do not have the configuration yet.
	Joining State = iota
	// Ready members serve as entries and as gates.
	Ready
	// Suspect members did not answer; they may refute it.
	Suspect
	// Leaving members finish what they have.
	Leaving
	// Dead members are gone, until they refute it.
	Dead
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"joining", "ready", "suspect", "leaving", "dead"}[min(s, Dead)]
}

// Member is one row of the table: what is claimed of one VM. It is a value.
type Member struct {
	VM string
	// Incarnation is the start time of the process in nanoseconds; a restart
	// has a higher one.
	Incarnation uint64
	// Revision is raised by the member alone, to change its state or to refute
	// a claim of others.
	Revision         uint64
	State            State
	AvailabilityZone string
	Region           string
	CallerAddress    string
	PeerAddress      string
	// Capacity is the VM's processor in thousandths of a core; 0 if not told. It
	// is the same for all claims of an incarnation.
	Capacity uint32
}

// WithState returns the member in another state.
func (m Member) WithState(state State) Member {
	m.State = state
	return m
}

// WithRevision returns the member with another revision.
func (m Member) WithRevision(revision uint64) Member {
	m.Revision = revision
	return m
}

// Supersedes reports whether this claim replaces the other one of the same VM.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Revision != other.Revision {
		return m.Revision > other.Revision
	}
	return m.State > other.State
}

// Hash identifies the claim.
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
