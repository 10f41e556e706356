package upstream

import "time"

// Registration is what one incarnation of an upstream has announced of itself.
// It is a value.
type Registration struct {
	// ID names the incarnation and is never reused for another service.
	ID      string
	Service string
	// Address is host:port; another upstream may get it after this one ended.
	Address          string
	AvailabilityZone string
	// Slots is the number of requests that it works on at once; at least 1.
	Slots int
	// Born is when it started, in milliseconds since the Unix epoch.
	Born int64
	// Leaving upstreams get no new work.
	Leaving bool
	// Cold is how much longer it is slow after its start, as of the
	// announcement.
	ColdRemaining time.Duration
	// Revision is that of the store up to which this is known.
	Revision uint64
}

// SameProcess reports whether both were announced by one process.
func (r Registration) SameProcess(other Registration) bool {
	return r.ID == other.ID && r.Address == other.Address && r.Born == other.Born
}
