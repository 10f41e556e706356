package timeline

import (
	"sync/atomic"
	"time"
)

// logicalBits is the width of the counter below the wall clock in a Stamp.
const logicalBits = 12

// Stamp is a time of the hybrid logical clock: microseconds since 1970 in the
// upper 52 bits and a counter in the lower 12. Stamps of causally ordered
// events rise, also between VMs whose wall clocks differ.
type Stamp uint64

// Time returns the wall clock part, exact to a microsecond.
func (s Stamp) Time() time.Time {
	return time.UnixMicro(int64(s >> logicalBits))
}

// Clock is a hybrid logical clock, safe for use from many goroutines.
type Clock struct {
	// last never falls.
	last atomic.Uint64
}

// Now returns a stamp above every stamp returned or observed before.
func (c *Clock) Now() Stamp {
	return c.advance(0)
}

// Observe takes a stamp from another node into account.
func (c *Clock) Observe(remote Stamp) Stamp {
	return c.advance(uint64(remote))
}

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
