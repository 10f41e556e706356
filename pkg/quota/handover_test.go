package quota

import (
	"slices"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
)

// askMembers sends the questions of the node's lender.
func (n *testNode) askMembers() {
	c := n.c
	if c.waitOnly {
		return
	}
	for _, q := range n.lender.Questions(c.now) {
		for _, other := range c.members {
			if other.name == q.Member {
				n.ask(other, q)
			}
		}
	}
}

// ask sends a question to a member. If the process there is gone, its machine refuses the
// connection.
func (n *testNode) ask(other *testNode, q Question) {
	c, asked, lender := n.c, n.c.now, n.lender
	confirm := func(answer Answer) {
		c.send(other, n, func() {
			if n.lender == lender {
				n.lender.Confirm(c.now, asked, q, answer)
				n.askMembers()
			}
		})
	}
	c.questions++
	if !other.running {
		c.refuse(n, other, func() { confirm(NotLending(len(q.Teams))) })
		return
	}
	c.send(n, other, func() { confirm(other.lender.Answer(c.now, n.name, q.Teams)) })
}

// refuse runs something if the machine of a process that has ended can be reached and
// the process has not been started again.
func (c *cluster) refuse(from, to *testNode, run func()) {
	c.messages++
	if c.random.Float64() < c.lost {
		return
	}
	c.after(c.delay, func() {
		if c.side[from.index] == c.side[to.index] && !to.running {
			run()
		}
	})
}

// Loads of the tests of what is served while nodes start.
const (
	restartFactor = 0.6
	restartSeeds  = 5
	wantAtRestart = 0.95
	restartPause  = 2 * time.Second
	// restartJoins is how soon at the latest a new process has its first exchange.
	restartJoins = 300 * time.Millisecond
)

// restartRates are the requests a second that quotas of these tests allow.
var restartRates = []float64{3, 30, 300}

// restartCluster returns the cluster of these tests, 59 nodes of which 9 serve, with a load.
func restartCluster(config clusterConfig, perSecond float64, lasts time.Duration) *cluster {
	config.nodes, config.serving = 59, 9
	config.quota = route.Quota{PerSecond: perSecond, Burst: 2 * perSecond}
	config.delay, config.joins = 1400*time.Microsecond, restartJoins
	c := newCluster(config)
	c.load(c.now+lasts, restartFactor*perSecond, c.available)
	return c
}

// available returns one of the serving nodes that take requests.
func (c *cluster) available() *testNode {
	for {
		n := c.members[c.random.IntN(c.serving)]
		if n.running && !n.leaving && n.exchanged || !slices.ContainsFunc(c.members[:c.serving], func(n *testNode) bool { return n.running && n.exchanged }) {
			return n
		}
	}
}

// servedAtRestart returns the part of requests that is granted from a time after the start
// on, over some seeds, while act changes the cluster.
func servedAtRestart(t *testing.T, config clusterConfig, perSecond float64, from, lasts time.Duration, act func(c *cluster)) float64 {
	t.Helper()
	arrived, used := 0, 0
	for seed := range uint64(restartSeeds) {
		config.seed = seed
		c := restartCluster(config, perSecond, lasts)
		start := c.now
		act(c)
		c.runUntil(start + lasts)
		arrived += len(after(c.arrived, start+from))
		used += len(after(c.used, start+from))
		if largest := c.largestWindow(start); float64(largest) > bound(c.quota) {
			t.Errorf("seed %d: %d requests in a window, the bound is %.1f", seed, largest, bound(c.quota))
		}
	}
	return float64(used) / float64(arrived)
}

// TestServedAfterAllNodesRestart guards against teams that are refused for long after all
// nodes were killed and started at once. Nodes see each other within 1.5 s; counted is the
// time from then on: 10 s, or that in which the quota allows 100 requests.
func TestServedAfterAllNodesRestart(t *testing.T) {
	const settled = 1500 * time.Millisecond
	act := func(c *cluster) {
		for _, n := range c.members {
			n.restart()
		}
		c.after(restartJoins, func() { c.change(func() {}) })
	}
	for _, perSecond := range restartRates {
		config := clusterConfig{detection: [2]time.Duration{0, settled - restartJoins}}
		lasts := settled + max(10*time.Second, seconds(100/perSecond))
		got := servedAtRestart(t, config, perSecond, settled, lasts, act)
		config.waitOnly = true
		t.Logf("quota %v: %.3f served, %.3f if new lenders only wait", perSecond, got, servedAtRestart(t, config, perSecond, settled, lasts, act))
		if got < wantAtRestart {
			t.Errorf("quota %v: %.3f served, want %v", perSecond, got, wantAtRestart)
		}
	}
}

// TestServedInRollingRestart guards against teams that are refused while the serving nodes
// are restarted one after the other. Each tells that it leaves, ends 1 s later, and its
// next process starts 0.5 s after that. Nodes see changes within 0.7 s. Of a quota of 3 a
// second it only prints the figure: new lenders begin with an empty bucket.
func TestServedInRollingRestart(t *testing.T) {
	act := func(c *cluster) {
		for i, n := range c.members[:c.serving] {
			c.after(time.Duration(i)*restartPause, func() { c.change(func() { n.leaving = true }) })
			c.after(time.Duration(i)*restartPause+time.Second, func() { c.change(n.kill) })
			c.after(time.Duration(i)*restartPause+1500*time.Millisecond, n.restart)
			c.after(time.Duration(i)*restartPause+1500*time.Millisecond+restartJoins, func() { c.change(func() {}) })
		}
	}
	for _, perSecond := range restartRates {
		config := clusterConfig{detection: [2]time.Duration{100 * time.Millisecond, 700 * time.Millisecond}}
		lasts := 9*restartPause + restartPause
		got := servedAtRestart(t, config, perSecond, 0, lasts, act)
		config.waitOnly = true
		t.Logf("quota %v: %.3f served, %.3f if new lenders only wait", perSecond, got, servedAtRestart(t, config, perSecond, 0, lasts, act))
		if got < wantAtRestart && perSecond > 3 {
			t.Errorf("quota %v: %.3f served, want %v", perSecond, got, wantAtRestart)
		}
	}
}
