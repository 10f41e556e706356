package member

import "time"

// Limits of rejoining.
const (
	// maximumIncarnation is the highest incarnation that is accepted, far above those
	// that rejoining reaches.
	maximumIncarnation = 1<<63 - 1
	// firstRejoinWait is the time from a node's first rejoin to the next one. It
	// doubles with each rejoin, up to maximumRejoinWait.
	firstRejoinWait   = 100 * time.Millisecond
	maximumRejoinWait = time.Minute
	// rejoinMemory is the time without a rejoin after which the wait is forgotten.
	rejoinMemory = 5 * time.Minute
)

// rejoinLimit bounds how often a node rejoins: two processes under one VM name
// outbid each other for as long as both run.
type rejoinLimit struct {
	// count is the number of rejoins in a row, each less than rejoinMemory after the
	// one before.
	count int
	last  time.Time
	// wait is the time from last to the next rejoin.
	wait time.Duration
}

// allow reports whether the node may rejoin now, and counts the rejoin if so.
func (l *rejoinLimit) allow(now time.Time) bool {
	if now.Sub(l.last) >= rejoinMemory {
		*l = rejoinLimit{}
	}
	if now.Sub(l.last) < l.wait {
		return false
	}
	l.count++
	l.last = now
	l.wait = min(max(2*l.wait, firstRejoinWait), maximumRejoinWait)
	return true
}
