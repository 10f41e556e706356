package memory

import (
	"bytes"
	"os"
	"strconv"
	"syscall"
)

const (
	// heapShare is the share of a process's memory at which the Go runtime starts to
	// collect garbage more often (its soft memory limit). The rest is for the program
	// itself and for what the runtime can't collect in time.
	heapShare = 0.6
	// garbageFactor is the size of the heap by what it holds, while garbage waits for its
	// collection.
	garbageFactor = 2
	// ownBytes and memberBytes are what a node needs itself, and for each other member of
	// its fleet.
	ownBytes    = 24 * Megabyte
	memberBytes = 150 * Kilobyte
	// minimumSize is the size of the smallest account.
	minimumSize = 6 * Megabyte
	// connectionsShare is the share of the memory that callers' connections may use, and
	// connectionBytes what one of them needs.
	connectionsShare = 0.15
	connectionBytes  = 16 * Kilobyte
	// outcomeShare is the share of the memory for the outcomes of requests that must not be
	// repeated. They are kept for long, so that no garbage comes with them.
	outcomeShare = 0.15
)

// HeapLimit returns the soft limit of the heap for a process with the memory.
func HeapLimit(limit Bytes) Bytes {
	return Bytes(heapShare * float64(limit))
}

// AccountSize returns how many bytes a node with the memory, in a fleet of so many members,
// may hold for others.
func AccountSize(limit Bytes, members int) Bytes {
	own := ownBytes + Bytes(members)*memberBytes
	return max((HeapLimit(limit)-own)/garbageFactor, minimumSize)
}

// MinimumLimit returns the memory with which a node alone can hold one lease of the kind with
// the bytes.
func MinimumLimit(kind Kind, bytes Bytes) Bytes {
	size := Bytes(float64(bytes)/(kindShares[kind]*(1-urgentShare))) + 1
	return Bytes(float64(garbageFactor*size+ownBytes+memberBytes)/heapShare) + 1
}

// MaxConnections returns how many connections of callers a node with the memory may have.
func MaxConnections(limit Bytes) int {
	return int(connectionsShare * float64(limit) / float64(connectionBytes))
}

// OutcomeLimit returns how much memory of the process the outcomes of requests that must not be
// repeated may take; 0 if its memory is not known.
func OutcomeLimit(limit Bytes) Bytes {
	return Bytes(outcomeShare * float64(limit))
}

// groupLimitFile holds the memory limit of the process's control group, if it has one.
const groupLimitFile = "/sys/fs/cgroup/memory.max"

// MachineLimit returns the memory that the process may use according to the operating
// system; 0 if that is not known.
func MachineLimit() Bytes {
	limit := Bytes(0)
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err == nil {
		limit = Bytes(uint64(info.Totalram) * uint64(info.Unit))
	}
	text, err := os.ReadFile(groupLimitFile)
	if err != nil {
		return limit
	}
	// Without a limit the file holds a word.
	group, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
	if err != nil || group <= 0 {
		return limit
	}
	if limit == 0 {
		return Bytes(group)
	}
	return min(limit, Bytes(group))
}
