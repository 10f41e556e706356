package quota

import (
	"flag"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bronzereach/bronzereach/pkg/route"
)

func init() {
	// A fixed seed makes the cases reproducible. rapid defines the flag, so Set can't fail.
	_ = flag.Set("rapid.seed", "1")
}

// TestBoundHoldsThroughFaults guards against a quota that is exceeded because two nodes
// lend it, or tokens are used late. It answers a load of 1.5 to 10 times the quota, uneven
// over all nodes or the serving ones, for 25 s; messages are late, lost and doubled, and
// nodes are split from others, killed, restarted and suspended. Each node sees a change of
// the members 0.5 to 3 s after it.
func TestBoundHoldsThroughFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{1, 2, 3, 5, 9, 24, 59}).Draw(t, "nodes")
		config := clusterConfig{
			nodes: nodes, serving: min(nodes, rapid.SampledFrom([]int{3, 6, 9}).Draw(t, "serving")),
			quota: route.Quota{
				PerSecond: rapid.SampledFrom([]float64{0.5, 1, 2.7, 10, 40, 150, 400}).Draw(t, "perSecond"),
				Burst:     rapid.SampledFrom([]float64{0, 1, 10, 100, 800}).Draw(t, "burst"),
			},
			delay:   rapid.SampledFrom([]time.Duration{0, 1400 * time.Microsecond, 20 * time.Millisecond, 60 * time.Millisecond}).Draw(t, "delay"),
			lost:    rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "lost"),
			doubled: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "doubled"),
			notRun:  rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "notRun"),
			seed:    rapid.Uint64().Draw(t, "seed"),
		}
		c := newCluster(config)
		start := c.now
		end := start + 25*time.Second
		used := c.members
		if rapid.Bool().Draw(t, "onlyServing") {
			used = c.members[:c.serving]
		}
		c.load(end, c.quota.PerSecond*rapid.SampledFrom([]float64{1.5, 5, 10}).Draw(t, "hot"), c.uneven(used))
		for at := start; at < end; {
			at += time.Duration(rapid.IntRange(0, 4000).Draw(t, "pauseMs")) * time.Millisecond
			c.runUntil(min(at, end))
			drawFault(t, c)
		}
		c.runUntil(end)
		if largest := c.largestWindow(start); float64(largest) > bound(c.quota) {
			t.Fatalf("%d requests in a window, the bound is %.1f", largest, bound(c.quota))
		}
	})
}

// drawFault does one thing to the cluster.
func drawFault(t *rapid.T, c *cluster) {
	affected := make([]bool, len(c.members))
	fraction := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "fraction")
	first := rapid.IntRange(0, len(affected)-1).Draw(t, "first")
	if rapid.Bool().Draw(t, "lender") {
		first = c.lender()
	}
	for i := range affected {
		affected[i] = i == first || c.random.Float64() < fraction
	}
	each := func(do func(n *testNode)) func() {
		return func() {
			for i, n := range c.members {
				if affected[i] {
					do(n)
				}
			}
		}
	}
	switch rapid.SampledFrom([]string{"split", "heal", "isolate", "kill", "restart", "suspend", "resume", "heal"}).Draw(t, "fault") {
	case "split":
		c.change(each(func(n *testNode) { c.side[n.index] = 1 - c.side[n.index] }))
	case "isolate":
		c.change(each(func(n *testNode) { c.side[n.index] = 2 + n.index }))
	case "heal":
		c.change(func() { clear(c.side) })
	case "kill":
		c.change(each((*testNode).kill))
	case "restart":
		c.change(each((*testNode).restart))
	case "suspend":
		c.change(each(func(n *testNode) { n.suspended = true }))
	case "resume":
		c.change(func() {
			for _, n := range c.members {
				n.resume()
			}
		})
	}
}

// TestBoundHoldsWhenTheQuotaIsLowered guards against tokens of a former quota: it is
// lowered to a tenth, at a load of 10 times the former one. The bound is that of the new
// quota, from one window after the change on.
func TestBoundHoldsWhenTheQuotaIsLowered(t *testing.T) {
	for _, perSecond := range []float64{5, 50, 500} {
		c := newCluster(clusterConfig{nodes: 9, serving: 6, quota: route.Quota{PerSecond: perSecond, Burst: 4 * perSecond}, delay: time.Millisecond, seed: 1})
		c.load(c.now+15*time.Second, 10*perSecond, c.uneven(c.members[:c.serving]))
		c.runUntil(c.now + 3*time.Second)
		c.quota, c.version = route.Quota{PerSecond: perSecond / 10, Burst: perSecond / 10}, 2
		lowered := c.now
		c.runUntil(lowered + 12*time.Second)
		c.used = after(c.used, lowered)
		if largest := c.largestWindow(lowered); float64(largest) > bound(c.quota) || float64(largest) < math.Floor(c.quota.PerSecond*5) {
			t.Errorf("quota of %v lowered: %d requests in a window, the bound is %.1f", perSecond, largest, bound(c.quota))
		}
	}
}

// after returns the times that are later than a time.
func after(times []time.Duration, from time.Duration) (later []time.Duration) {
	for _, at := range times {
		if at > from {
			later = append(later, at)
		}
	}
	return later
}
