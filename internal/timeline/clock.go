package timeline

import (
	"sync/atomic"
	"time"
)

const (
	// logicalBits is the width of the logical counter in the low bits of a Stamp.
	logicalBits = 12
	// maximumLead is how far ahead of the wall clock a stamp of another node may be to
	// be observed. A stamp further ahead comes from a node whose clock is wrong.
	maximumLead = 24 * time.Hour
	// maximumStamp is the highest stamp of the wall clock, of the year 2103. It leaves
	// room for all stamps that follow.
	maximumStamp Stamp = 15 << 60
)

// Stamp is a timestamp of the hybrid logical clock: Unix microseconds in the upper
// 52 bits and a logical counter in the lower 12. Of two causally ordered events
// the later has the larger stamp, even if the wall clocks of their VMs differ.
type Stamp uint64

// Time returns the wall clock part, with a resolution of one microsecond.
func (s Stamp) Time() time.Time {
	return time.UnixMicro(int64(s >> logicalBits))
}

// Clock is a hybrid logical clock. It is safe for concurrent use, and its zero
// value is ready to use.
type Clock struct {
	// last is the newest stamp returned. It never decreases.
	last atomic.Uint64
}

// Now returns a stamp greater than all stamps returned or observed before.
func (c *Clock) Now() Stamp {
	return c.advance(0)
}

// Observe advances the clock past a stamp received from another node and returns
// the new stamp. It ignores a stamp that is more than maximumLead ahead.
func (c *Clock) Observe(remote Stamp) Stamp {
	if remote > wallStamp(time.Now().Add(maximumLead)) {
		remote = 0
	}
	return c.advance(remote)
}

// advance returns a stamp greater than last and floor and not before the wall clock.
func (c *Clock) advance(floor Stamp) Stamp {
	for {
		last := c.last.Load()
		next := max(wallStamp(time.Now()), Stamp(last)+1, floor+1)
		if c.last.CompareAndSwap(last, uint64(next)) {
			return next
		}
	}
}

// wallStamp returns the first stamp of a time of day: 0 before 1970, and maximumStamp
// if the time is too late for one.
func wallStamp(now time.Time) Stamp {
	micros := min(max(0, now.UnixMicro()), int64(maximumStamp>>logicalBits))
	return Stamp(micros) << logicalBits
}
