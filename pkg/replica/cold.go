package replica

import (
	"time"

	"github.com/bronzereach/bronzereach/pkg/upstream"
)

const (
	// coldBurstFraction is the part of what cold upstreams may get beyond their limit that
	// unused shares may add up to. The rest is for the rounding of each node's share to
	// whole attempts.
	coldBurstFraction = 1.0 / 3
	// minColdBurstTime lets a node use its share at all, as requests don't come just when an
	// attempt is allowed; maxColdBurstTime bounds what many nodes keep for one attempt each.
	minColdBurstTime = 20 * time.Millisecond
	maxColdBurstTime = 500 * time.Millisecond
)

// ColdLimit bounds the attempts at each replica that is cold. The zero value is no limit.
type ColdLimit struct {
	// PerSecond is the number of attempts that all nodes together start in a second; 0 for
	// no limit.
	PerSecond float64
	// BurstTime is the time for which an unused share is kept.
	BurstTime time.Duration
	// FirstToken is the part of a token, below 1, with which a cold replica starts. It is
	// random, as many nodes hear of a cold replica at the same time.
	FirstToken float64
}

// ColdBurstTime returns the time for which an unused share of a limit may be kept if in any
// second all nodes may start the limit times the overage, and the slack.
func ColdBurstTime(perSecond, overage, slack float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	excess := (overage-1)*perSecond + slack
	seconds := min(coldBurstFraction*excess/perSecond, maxColdBurstTime.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minColdBurstTime)
}

// coldPace is the limit of a replica while it is cold.
type coldPace struct {
	limit ColdLimit
	until time.Time
}

// applies reports whether there is a limit because the replica is cold.
func (c coldPace) applies(now time.Time) bool {
	return c.limit.PerSecond > 0 && now.Before(c.until)
}

// updateCold takes over the cold time that a registration names, counted from now. A process
// becomes cold again only by a later registration that names more time than the one before:
// registrations are passed on again whenever another one changes, and may be read again.
func (r *Replica[C]) updateCold(now time.Time, next upstream.Registration) {
	previous, until := r.Registration, now.Add(next.ColdRemaining)
	switch {
	case r.coldUntil.IsZero():
	case next.Revision < previous.Revision:
		return
	case next.ColdRemaining <= previous.ColdRemaining && !until.Before(r.coldUntil):
		return
	}
	r.coldUntil = until
}

// setColdPace passes the limit of cold replicas on to the pacer of a replica.
func (g *Group[C]) setColdPace(replica *Replica[C]) {
	replica.pacer.cold = coldPace{limit: g.cold, until: replica.coldUntil}
}
