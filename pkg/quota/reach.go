package quota

import "time"

const (
	// isolationTime is how long after its last exchange with another member a node counts
	// as the only live one.
	isolationTime = time.Second
	// forgetTime is how long a member that is not live any more counts as known while
	// more than half of the known ones are live, and longForgetTime otherwise.
	forgetTime     = time.Minute
	longForgetTime = 10 * time.Minute
)

// Contacts are the members as a node sees them, each in one of the lists.
type Contacts struct {
	Self string
	// Live holds the members in contact, including the node itself.
	Live []string
	// Leaving holds those that have announced that they leave, and lend no more.
	Leaving []string
	// Missing holds those that are suspected or known to be lost.
	Missing []string
	// SinceExchange is the time since the last exchange with another member. It does not
	// count while Exchanged is false, as there was none.
	SinceExchange time.Duration
	Exchanged     bool
	// HasPeers is true if the settings name other nodes.
	HasPeers bool
}

// isolated reports whether the node has lost contact with all others.
func (c *Contacts) isolated() bool {
	return !c.Exchanged || c.SinceExchange >= isolationTime
}

// Reach tells which share of a quota the members that a node is in contact with may use:
// their part of the known members. The shares of the parts of a split cluster therefore add
// up to 1 at most.
type Reach struct {
	started time.Duration
	// settlesAt is the time until which a node that has started hears of the others; 0
	// while it has not heard of any. Until then every live member counts.
	settlesAt time.Duration
	// members holds the members that count, and those that don't any more.
	members map[string]*sighting
	// counted is the number of those that count.
	counted int
}

// sighting tells when a member was last live.
type sighting struct {
	seen time.Duration
	// forgotten is true if the member does not count as known.
	forgotten bool
}

// NewReach returns a reach that knows no members. now is when the node started.
func NewReach(now time.Duration) *Reach {
	return &Reach{started: now, members: map[string]*sighting{}}
}

// Share returns the share at a time.
func (r *Reach) Share(now time.Duration, c Contacts) float64 {
	if !c.Exchanged && c.HasPeers && now-r.started < longForgetTime {
		// The node may have been cut off since its start, and knows nobody yet.
		return 0
	}
	live := c.Live
	if c.isolated() {
		live = []string{c.Self}
	}
	for _, member := range c.Leaving {
		r.members[member] = &sighting{seen: now, forgotten: true}
	}
	for _, member := range c.Missing {
		// One that this node has never seen live was so for others: a node that starts in
		// one part of a split cluster must not take that for the whole.
		if r.members[member] == nil {
			r.members[member] = &sighting{seen: now}
		}
	}
	if r.settlesAt == 0 {
		r.settlesAt = now + fullTakeoverWait
	}
	if now < r.settlesAt {
		r.admit(now, live)
	}
	present := r.observe(now, live)
	r.forget(now, present)
	if present == r.counted {
		r.admit(now, live)
		return 1
	}
	return float64(present) / float64(r.counted)
}

// observe notes the live members and returns how many of them count.
func (r *Reach) observe(now time.Duration, live []string) (present int) {
	for _, member := range live {
		if s := r.members[member]; s != nil && !s.forgotten {
			s.seen = now
			present++
		}
	}
	return present
}

// admit makes live members count. After the start this is done only while none is missing:
// members that appear in one part of a split cluster, unknown to the other part, must not
// raise its share.
func (r *Reach) admit(now time.Duration, live []string) {
	for _, member := range live {
		r.members[member] = &sighting{seen: now}
	}
}

// forget stops counting the members that have been missing for long, and updates counted.
// It drops those that no longer matter.
func (r *Reach) forget(now time.Duration, present int) {
	r.counted = 0
	for _, s := range r.members {
		if !s.forgotten {
			r.counted++
		}
	}
	period := longForgetTime
	if 2*present > r.counted {
		period = forgetTime
	}
	for member, s := range r.members {
		if !s.forgotten && now-s.seen >= period {
			s.forgotten = true
			r.counted--
		}
		if now-s.seen >= 2*longForgetTime {
			delete(r.members, member)
		}
	}
}

// IsAlone reports whether the node has never had contact with another one and has no peers
// to ask.
func (c *Contacts) IsAlone() bool {
	return !c.HasPeers && !c.Exchanged
}
