package budget

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetModel is a fleet whose nodes start, join and are killed at random times.
type fleetModel struct {
	config Config
	// nodes holds the nodes that run; nil for one that does not.
	nodes []*modelNode
	// requests and extras are counted by step.
	requests, extras []int
}

// modelNode is one life of a node.
type modelNode struct {
	window *Window
	count  *NodeCount
	// knowsOthersAt is when the node knows the others.
	knowsOthersAt time.Duration
}

// modelStep is the time between two steps of a fleetModel.
const modelStep = 50 * time.Millisecond

func (m *fleetModel) alive() (running []*modelNode) {
	for _, n := range m.nodes {
		if n != nil {
			running = append(running, n)
		}
	}
	return running
}

// start starts a life of a node.
func (m *fleetModel) start(node int, now, joining time.Duration) {
	n := &modelNode{window: NewWindow(m.config), count: NewNodeCount(m.config.Period), knowsOthersAt: now + joining}
	n.window.Start(now)
	m.nodes[node] = n
}

// spend lets a node make as many of the wanted extra attempts as it may.
func (m *fleetModel) spend(now time.Duration, n *modelNode, wanted int) (spent int) {
	nodes := UnknownNodes
	if now >= n.knowsOthersAt {
		nodes = n.count.Observe(now, len(m.alive()))
	}
	for spent < wanted && n.window.Spend(now, nodes, Retry) {
		spent++
	}
	return spent
}

// largestExcess returns by how much the extra attempts of a period exceed the users'
// limit, at most over all periods; the requests are those of the period, of the one
// before or of the one half a period before, whichever has most.
func (m *fleetModel) largestExcess() float64 {
	length := int(m.config.Period / modelStep)
	sum := func(counts []int, from int) (total int) {
		for i := max(from, 0); i < min(from+length, len(counts)); i++ {
			total += counts[i]
		}
		return total
	}
	largest := -m.config.Slack
	for from := range m.extras {
		requests := max(sum(m.requests, from), sum(m.requests, from-length), sum(m.requests, from-length/2))
		excess := float64(sum(m.extras, from)) - m.config.Ratio*float64(requests) - m.config.Slack
		largest = max(largest, excess)
	}
	return largest
}

// TestLivesStayWithinTheBound checks that the extra attempts stay below the shared limit
// in every period while nodes join, are killed and start again at random times.
func TestLivesStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 600
		size := rapid.IntRange(1, 12).Draw(t, "size")
		ratio := rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "ratio")
		m := &fleetModel{
			config:   Config{Ratio: ratio, Slack: 58, Period: 10 * time.Second},
			nodes:    make([]*modelNode, size),
			requests: make([]int, steps),
			extras:   make([]int, steps),
		}
		kills := rapid.IntRange(0, 30).Draw(t, "killsPerThousand")
		starts := rapid.IntRange(1, 200).Draw(t, "startsPerThousand")
		joining := time.Duration(rapid.IntRange(0, 500).Draw(t, "joiningMs")) * time.Millisecond
		rate := rapid.IntRange(0, 12).Draw(t, "requestsPerStep")
		calm := rapid.IntRange(0, steps).Draw(t, "calmSteps")
		chance := rapid.IntRange(0, 999)
		for i := range steps {
			now := time.Duration(i) * modelStep
			for node := range m.nodes {
				switch {
				case m.nodes[node] == nil && (i == 0 || chance.Draw(t, "start") < starts):
					m.start(node, now, joining)
				case m.nodes[node] != nil && chance.Draw(t, "kill") < kills:
					m.nodes[node] = nil
				}
			}
			running := m.alive()
			if len(running) == 0 {
				continue
			}
			for range rate {
				m.requests[i]++
				running[rapid.IntRange(0, len(running)-1).Draw(t, "node")].window.AddRequest(now)
			}
			if i < calm {
				continue
			}
			for _, n := range running {
				m.extras[i] += m.spend(now, n, rapid.IntRange(0, 8).Draw(t, "wanted"))
			}
		}
		if excess := m.largestExcess(); excess > 0 {
			t.Fatalf("%.1f extra attempts too many", excess)
		}
	})
}

// TestSlackGrowsWithAge: a node that starts has no slack, and its whole share after a
// period; the time before its first request counts.
func TestSlackGrowsWithAge(t *testing.T) {
	config := Config{Slack: 60, Period: 10 * time.Second}
	for age, want := range map[time.Duration]int{0: 0, config.Period / 2: 5, config.Period: 10, 3 * config.Period: 10} {
		w := NewWindow(config)
		w.Start(time.Minute)
		spent := 0
		for w.Spend(time.Minute+age, 3, Retry) {
			spent++
		}
		if spent != want {
			t.Errorf("%d extra attempts at the age of %s, want %d", spent, age, want)
		}
	}
}

// TestNoSlackWhileOthersAreUnknown: a node that doesn't know the others yet does not take
// the slack of all.
func TestNoSlackWhileOthersAreUnknown(t *testing.T) {
	w := NewWindow(Config{Slack: 58, Period: 10 * time.Second})
	w.Start(0)
	if w.Spend(time.Minute, UnknownNodes, Retry) {
		t.Error("an extra attempt of a node that doesn't know the others")
	}
}

// TestDeadNodesCountForAPeriod: the nodes left take over the share of a dead one once
// what it spent no longer counts.
func TestDeadNodesCountForAPeriod(t *testing.T) {
	c := NewNodeCount(10 * time.Second)
	for _, step := range []struct {
		at          time.Duration
		nodes, want int
	}{
		{0, 2, 2},
		{time.Second, 9, 9},
		{2 * time.Second, 4, 9},
		{5 * time.Second, 6, 9},
		{11 * time.Second, 3, 9},
		{11*time.Second + 1, 3, 6},
		{16 * time.Second, 3, 3},
		{17 * time.Second, 7, 7},
	} {
		if got := c.Observe(step.at, step.nodes); got != step.want {
			t.Errorf("%d nodes at %s, want %d", got, step.at, step.want)
		}
	}
}

// TestSurvivorLeavesTheShareOfTheDead: a node that is left alone for a moment does not
// spend what the others have spent before and take up again after.
func TestSurvivorLeavesTheShareOfTheDead(t *testing.T) {
	const size = 9
	m := &fleetModel{config: Config{Slack: 58, Period: 10 * time.Second}, nodes: make([]*modelNode, size)}
	spent, now := 0, time.Duration(0)
	spendAll := func() {
		for _, n := range m.alive() {
			spent += m.spend(now, n, 100)
		}
	}
	for node := range size {
		m.start(node, now, 0)
	}
	for now < m.config.Period {
		now += modelStep
		m.spend(now, m.nodes[0], 0)
	}
	spendAll()
	for node := 1; node < size; node++ {
		m.nodes[node] = nil
	}
	spendAll()
	for node := 1; node < size; node++ {
		m.start(node, now, 0)
	}
	now += m.config.Period - modelStep
	spendAll()
	if float64(spent) > m.config.Slack {
		t.Errorf("%d extra attempts within a period, allowed are %.0f", spent, m.config.Slack)
	}
}

// TestKillsAfterABurstStayWithinTheBound: nodes that are all killed just after they spent
// what many requests gave them leave their callers to nodes that don't know of it.
func TestKillsAfterABurstStayWithinTheBound(t *testing.T) {
	const steps, size, rate = 1000, 9, 2
	for _, killedAt := range [][]int{{450}, {401, 430}, {440, 441, 500, 560}, {420, 619}, {420, 621}} {
		m := &fleetModel{
			config:   Config{Ratio: 0.2, Slack: 58, Period: 10 * time.Second},
			nodes:    make([]*modelNode, size),
			requests: make([]int, steps),
			extras:   make([]int, steps),
		}
		for i := range steps {
			now := time.Duration(i) * modelStep
			if i == 0 || slices.Contains(killedAt, i) {
				for node := range size {
					m.start(node, now, 0)
				}
			}
			for _, n := range m.nodes {
				for range rate {
					n.window.AddRequest(now)
				}
				m.requests[i] += rate
				if i >= 400 {
					m.extras[i] += m.spend(now, n, 10)
				}
			}
		}
		if excess := m.largestExcess(); excess > 0 {
			t.Errorf("%.0f extra attempts too many after kills at steps %v", excess, killedAt)
		}
	}
}
