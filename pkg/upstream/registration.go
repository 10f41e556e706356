package upstream

import "time"

// Registration is what one process of an upstream has announced about itself.
// It is passed by value.
type Registration struct {
	// ID identifies the incarnation and is never reused for another service.
	ID      string
	Service string
	// Address is host:port; another upstream may reuse it after this one has
	// stopped.
	Address          string
	AvailabilityZone string
	// Slots is the number of requests that it processes concurrently; at least 1.
	Slots int
	// Born is the start time in milliseconds since the Unix epoch.
	Born int64
	// Leaving is true once the upstream shuts down and must get no new requests.
	Leaving bool
	// ColdRemaining is the remaining time, as of the announcement, during which
	// the upstream is slow after its start.
	ColdRemaining time.Duration
	// Revision is the revision of the store as of which the registration is known.
	Revision Revision
}

// Instance returns the identity of the process that announced the registration.
func (r Registration) Instance() Instance {
	return Instance{ID: r.ID, Born: r.Born}
}

// SameProcess reports whether both were announced by the same process.
func (r Registration) SameProcess(other Registration) bool {
	return r.ID == other.ID && r.Address == other.Address && r.Born == other.Born
}
