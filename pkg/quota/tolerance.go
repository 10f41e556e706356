// Package quota holds the decisions by which the nodes together keep the quotas of teams.
// One node is the lender of a team; it has the team's token bucket and lends tokens to the
// others. All times are readings of a steady clock that goes on during suspensions.
package quota

import (
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
)

// How the tolerance of a quota is divided, in eighths. The sum of the parts is 8.
const (
	// reserveEighths is for nodes that can't reach the lender.
	reserveEighths = 4
	// holdingEighths is for tokens that are used later than they were lent.
	holdingEighths = 2
	// depthEighths lets a bucket take in arrivals that are not evenly spaced.
	depthEighths = 1
	// takeoverEighths is for the time in which two nodes take themselves for the lender.
	takeoverEighths = 1
)

const (
	// DefaultWindow is the window in which a quota is counted unless the settings name one.
	DefaultWindow = 5 * time.Second
	// maxLifetime is the longest time for which a lent token can be used.
	maxLifetime = time.Second
)

// Tolerance is by how much the requests of a team in a window may exceed its quota.
type Tolerance struct {
	Window time.Duration
	// Overage is a fraction of what the quota allows in the window, Slack a number of
	// requests.
	Overage float64
	Slack   float64
}

// part returns a number of eighths of the requests that the tolerance allows beyond a
// quota.
func (t Tolerance) part(q route.Quota, eighths float64) float64 {
	return (t.Slack + t.Overage*q.PerSecond*t.Window.Seconds()) * eighths / 8
}

// Lifetime returns how long a lent token can be used. A window may contain the uses of all
// tokens lent within the window and one lifetime before it, so the lifetime is such that
// what is lent in it stays within the tolerance.
func (t Tolerance) Lifetime(q route.Quota) time.Duration {
	return min(maxLifetime, seconds(t.part(q, holdingEighths)/q.PerSecond))
}

// depth returns the number of tokens that a bucket with the whole quota holds.
func (t Tolerance) depth(q route.Quota) float64 {
	return max(1, q.Burst) + t.part(q, depthEighths)
}

// takeoverWait returns how long a node that has become the lender lends nothing, as the
// lender before it may still lend: others may see a change of members later than this node.
// Of a small quota the tolerance allows some overlap.
func (t Tolerance) takeoverWait(q route.Quota) time.Duration {
	return max(0, fullTakeoverWait-seconds(t.part(q, takeoverEighths)/q.PerSecond))
}

// maxSeconds bounds conversions to time.Duration.
const maxSeconds = 1e6

// seconds converts a number of seconds, which may be infinite.
func seconds(number float64) time.Duration {
	return time.Duration(min(number, maxSeconds) * float64(time.Second))
}
