package quota

import "time"

// promises spaces the times at which refused askers are told to come back, so that they
// don't all come for the same token.
type promises struct {
	// next is the earliest time that the next asker is told.
	next time.Duration
}

// wait returns how long an asker is to wait: until earliest, or until its turn behind the
// askers before it if that is later. gap is the time between two tokens. Turns later than
// limit after earliest are moved into that time, where they lie between the others.
func (p *promises) wait(now, earliest, gap, limit time.Duration) time.Duration {
	at := max(earliest, p.next)
	if late := at - earliest; late > limit {
		at = earliest + late%limit
	}
	p.next = at + gap
	return max(0, at-now)
}
