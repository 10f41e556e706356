package timeline

import (
	"sync/atomic"
	"time"
)

// logicalBits is the width of the logical counter in the low bits of a Stamp.
const logicalBits = 12

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
// the new stamp.
func (c *Clock) Observe(remote Stamp) Stamp {
	return c.advance(uint64(remote))
}

// advance returns a stamp greater than last and floor and not before the wall clock.
func (c *Clock) advance(floor uint64) Stamp {
	for {
		last := c.last.Load()
		wall := uint64(time.Now().UnixMicro()) << logicalBits
		next := max(wall, last+1, floor+1)
		if c.last.CompareAndSwap(last, next) {
			return Stamp(next)
		}
	}
}
