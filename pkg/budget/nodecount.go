package budget

import "time"

// UnknownNodes is the number of nodes that share a limit while a node that starts does
// not know it yet.
const UnknownNodes = 0

// NodeCount tells among how many nodes a limit is shared: the most that there were
// within the last period. What a node has spent before it died still counts for that
// long.
type NodeCount struct {
	period time.Duration
	// samples is ordered by rising time and falling number of nodes: one with an
	// earlier time and no higher number than another is not needed.
	samples []nodeSample
}

// nodeSample is a number of nodes and when it was last seen.
type nodeSample struct {
	at    time.Duration
	nodes int
}

// NewNodeCount returns a count of UnknownNodes.
func NewNodeCount(period time.Duration) *NodeCount {
	return &NodeCount{period: period}
}

// Observe records the number of nodes at a time, which must not be before that of an
// earlier call, and returns the most within the last period.
func (c *NodeCount) Observe(now time.Duration, nodes int) int {
	for len(c.samples) > 0 && c.samples[len(c.samples)-1].nodes <= nodes {
		c.samples = c.samples[:len(c.samples)-1]
	}
	c.samples = append(c.samples, nodeSample{at: now, nodes: nodes})
	for now-c.samples[0].at > c.period {
		c.samples = c.samples[1:]
	}
	return c.samples[0].nodes
}
