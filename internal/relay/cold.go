package relay

import (
	"time"

	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/route"
)

// ColdTolerance tells what cold upstreams may get beyond their rate limit: in any second the
// limit times Overage, and Slack.
type ColdTolerance struct {
	Overage float64
	Slack   float64
}

// joiningColdFraction is the fraction of the limit of cold upstreams that a node shares with
// others while it may not know them yet. Without it each node of a fleet that starts at once
// would take the whole limit.
const joiningColdFraction = 0.01

// coldSettleTime is how long after its start a node keeps to that fraction also once it has
// joined: it may know only some of the nodes that start with it as ready.
const coldSettleTime = 2 * time.Second

// coldLimit returns the limit of all nodes together on attempts at a cold upstream of a
// service. The service adds its first token.
func (r *Relay) coldLimit(settings route.Service, fleet Fleet) replica.ColdLimit {
	limit := replica.ColdLimit{
		PerSecond: settings.ColdPerSecond,
		BurstTime: replica.ColdBurstTime(settings.ColdPerSecond, r.config.Cold.Overage, r.config.Cold.Slack),
	}
	if fleet.Joining || time.Since(r.config.Started) < coldSettleTime {
		limit.PerSecond *= joiningColdFraction
	}
	return limit
}
