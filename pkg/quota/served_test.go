package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
)

// Loads of the tests of what is served: the quota is usualFactor times a team's usual rate.
const (
	usualFactor = 1.6
	servedTime  = 30 * time.Second
	moveSettles = time.Second
	// steadyLook is the time between two looks at the members. They don't change in these
	// tests, and looking takes most of the time of a run.
	steadyLook = 20 * time.Second
)

// fleets are the sizes at which quotas are tested.
var fleets = []struct{ nodes, serving int }{{9, 6}, {59, 9}, {300, 60}}

// teamRates are the requests a second that quotas of the tests allow.
var teamRates = []float64{1, 3, 30, 300}

// served returns what was granted from a time on, as a part of what a single bucket with
// the quota would have granted.
func (c *cluster) served(from time.Duration) float64 {
	allowed, single := 0, NewBucket(0, 0)
	single.SetLimit(0, c.quota.PerSecond, max(1, c.quota.Burst))
	for _, at := range c.arrived {
		if granted := single.Take(at, 1); at > from {
			allowed += granted
		}
	}
	return float64(len(after(c.used, from))) / float64(allowed)
}

// loadTime returns how long a load lasts that has enough requests of a team.
func loadTime(perSecond float64) time.Duration {
	return max(servedTime, seconds(200/perSecond))
}

// TestSteadyLoadIsServed guards against quotas that refuse what they allow. It answers a
// steady load, uneven over the serving nodes, that is 1/1.6 of the quota or 1.5 times it;
// messages take 1.4 ms. What the quota allows is what a
// single bucket would grant; its burst is what the quota allows in 2 s.
func TestSteadyLoadIsServed(t *testing.T) {
	const want = 0.97
	for _, fleet := range fleets {
		for _, perSecond := range teamRates {
			for _, factor := range []float64{1 / usualFactor, 1.5} {
				t.Run(fmt.Sprint(fleet.nodes, "/", perSecond, "/", factor), func(t *testing.T) {
					t.Parallel()
					c := newCluster(clusterConfig{nodes: fleet.nodes, serving: fleet.serving, quota: route.Quota{PerSecond: perSecond, Burst: 2 * perSecond}, delay: 1400 * time.Microsecond, look: steadyLook, seed: 3})
					start := c.now
					c.load(start+loadTime(perSecond), factor*perSecond, c.uneven(c.members[:c.serving]))
					c.runUntil(start + loadTime(perSecond))
					if got := c.served(start); got < want {
						t.Errorf("%.3f of what the quota allows is served, want %v", got, want)
					}
					t.Logf("%.3f served, %.1f messages a second", c.served(start), float64(c.messages)/loadTime(perSecond).Seconds())
				})
			}
		}
	}
}

// TestMovedLoadIsServed guards against quotas that stay with the nodes that callers have
// left. It answers a steady load of 1/1.6 of the quota, or of 1.5 times it, whose callers
// all move from some of the serving nodes to others; counted is what comes from 1 s after
// it.
func TestMovedLoadIsServed(t *testing.T) {
	const want = 0.95
	for _, fleet := range fleets {
		for _, perSecond := range teamRates {
			for _, factor := range []float64{1 / usualFactor, 1.5} {
				t.Run(fmt.Sprint(fleet.nodes, "/", perSecond, "/", factor), func(t *testing.T) {
					t.Parallel()
					c := newCluster(clusterConfig{nodes: fleet.nodes, serving: fleet.serving, quota: route.Quota{PerSecond: perSecond, Burst: 2 * perSecond}, delay: 1400 * time.Microsecond, look: steadyLook, seed: 4})
					half := c.serving / 2
					c.load(c.now+10*time.Second, factor*perSecond, c.uneven(c.members[:half]))
					c.runUntil(c.now + 10*time.Second)
					moved := c.now
					c.load(moved+loadTime(perSecond), factor*perSecond, c.uneven(c.members[half:c.serving]))
					c.runUntil(moved + loadTime(perSecond))
					if got := c.served(moved + moveSettles); got < want {
						t.Errorf("%.3f of what the quota allows is served, want %v", got, want)
					}
				})
			}
		}
	}
}

// TestQuotaError prints how far quotas are used or exceeded, for docs/CAPACITY.md: the
// largest window over PerSecond x window + Burst. It answers a load of a usual rate of 20
// requests a second times the hot factor, uneven over the serving nodes, for 30 s, at a
// quota of 1.6 times the usual rate with a burst of 1 s. Of what the quota allows 97% must
// be served, and the bound must hold.
func TestQuotaError(t *testing.T) {
	const usual, want = 20, 0.97
	t.Logf("| nodes | hot factor | message delay | error | bound | served | messages/s |")
	for _, fleet := range fleets {
		for _, hot := range []float64{1, 5, 7.5, 10} {
			for _, delay := range []time.Duration{200 * time.Microsecond, 1400 * time.Microsecond, 10 * time.Millisecond} {
				q := route.Quota{PerSecond: usualFactor * usual, Burst: usualFactor * usual}
				c := newCluster(clusterConfig{nodes: fleet.nodes, serving: fleet.serving, quota: q, delay: delay, look: steadyLook, seed: 5})
				start := c.now
				c.load(start+servedTime, hot*usual, c.uneven(c.members[:c.serving]))
				c.runUntil(start + servedTime)
				largest := float64(c.largestWindow(start))
				t.Logf("| %d | %v | %v | %.2f | %.2f | %.3f | %.0f |", fleet.nodes, hot, delay, largest/base(q), bound(q)/base(q), c.served(start), float64(c.messages)/servedTime.Seconds())
				if largest > bound(q) || c.served(start) < want {
					t.Errorf("%d nodes, %v times the usual rate, delay %v: %v requests in a window, the bound is %.1f; %.3f served, want %v", fleet.nodes, hot, delay, largest, bound(q), c.served(start), want)
				}
			}
		}
	}
}
