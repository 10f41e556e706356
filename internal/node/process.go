package node

import (
	"crypto/rand"
	"encoding/binary"
)

const (
	// processBit is set in the identities of all processes. Nodes of older builds take
	// a process for gone if its identity is below the incarnation of its VM.
	processBit = 1 << 63
	// firstIncarnationBits is the width of the first incarnation of a process. Older
	// builds start with the Unix time in nanoseconds, which is above, and can follow.
	firstIncarnationBits = 32
)

// newProcess returns a random identity for this process.
func newProcess() uint64 {
	var random [8]byte
	// Reading random bytes doesn't fail on supported systems.
	_, _ = rand.Read(random[:])
	return binary.BigEndian.Uint64(random[:]) | processBit
}

// firstIncarnation returns the incarnation that a process starts with. It differs
// between the processes of a VM, so that claims about one are not taken for claims
// about another; the process rejoins above the former ones that others remember.
func firstIncarnation(process uint64) uint64 {
	return process&(1<<firstIncarnationBits-1) + 1
}
