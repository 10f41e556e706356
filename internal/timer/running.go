package timer

import "time"

// suspensionGap is the time between two readings of a RunningClock from which the process
// counts as suspended in between.
const suspensionGap = time.Second

// RunningClock tells a time that stands still while the process is suspended: what a node
// keeps for a while for want of news must not expire before it could hear any. Its owner
// reads it more often than once per suspensionGap. The zero value is ready to use; it is not
// safe for concurrent use.
type RunningClock struct {
	// last is the time of day and of the steady clock at the last reading.
	last time.Time
	// suspended is the sum of all suspensions.
	suspended time.Duration
}

// Now returns the time, which is behind that of the system by all suspensions so far.
func (c *RunningClock) Now() time.Time {
	return c.at(time.Now())
}

// at returns the time that the clock shows at a time of the system.
func (c *RunningClock) at(now time.Time) time.Time {
	if gap := now.Sub(c.last); !c.last.IsZero() && gap >= suspensionGap {
		c.suspended += gap
	}
	c.last = now
	return now.Add(-c.suspended)
}
