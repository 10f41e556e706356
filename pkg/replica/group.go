package replica

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// Costs that a Group adds to the expected time of a replica.
const (
	// remoteCost stands for the way to another availability zone and back.
	remoteCost = time.Millisecond
	// coldFactor is how much slower a replica is expected to be just after its
	// start.
	coldFactor = 1.6
	// riskWeight is the weight of the newest attempt in the share of those that a
	// replica sheds or fails.
	riskWeight = 0.15
	// leastRisk is the risk below which replicas count as alike.
	leastRisk = 0.05
	// riskCost is what an attempt that ends so costs, as a multiple of the median
	// latency: it takes a further attempt, for which the budget is small.
	riskCost = 6.0
	// riskMemory is the time after which the risk of an unused replica has faded
	// to 1/e.
	riskMemory = 3 * time.Second
	// queueFactor is how much work all nodes together may have at a replica, in
	// multiples of its slots: enough to keep it busy, while what waits does so at
	// the nodes, in order of rank and where it can still be given up.
	queueFactor = 4.0
	// lostFactor is how many times longer than expected an attempt without an
	// answer lasts before its replica counts as failed.
	lostFactor = 8.0
)

// Replica is one upstream of a Group. C is what the owner keeps with it, such
// as its connections.
type Replica[C any] struct {
	// Registration is replaced when the upstream announces something new.
	Registration upstream.Registration
	Data         C
	row          row
	coldUntil    time.Time
	// risk is the share of attempts that were shed or failed, as of riskAt;
	// between 0 and 1.
	risk   float64
	riskAt time.Time
	// replaced is true once another upstream has answered at the address.
	replaced bool
	// shedUntil is the time before which other replicas are preferred.
	shedUntil time.Time
}

// Group is the upstreams of one service as they come and go, and the choice
// between them. It reads no clock and is not safe for concurrent use.
type Group[C any] struct {
	service string
	zone    string
	make    func(upstream.Registration) C
	// connections is the number of attempts that may be in progress at one
	// replica.
	connections int
	// nodes is the number of nodes that share the replicas; at least 1.
	nodes    int
	replicas []*Replica[C]
	// median is the middle latency in seconds, as of the last Finish.
	median float64
}

// GroupConfig describes a Group.
type GroupConfig[C any] struct {
	Service string
	// AvailabilityZone is that of the node.
	AvailabilityZone string
	// Make returns what the owner keeps with a new replica.
	NewData func(upstream.Registration) C
}

// NewGroup returns a group without replicas.
func NewGroup[C any](config GroupConfig[C]) *Group[C] {
	return &Group[C]{service: config.Service, zone: config.AvailabilityZone, make: config.NewData, connections: 1, nodes: 1}
}

// SetBounds sets the connections that the node may use at one replica and the
// number of nodes that share it.
func (g *Group[C]) SetLimits(connections, nodes int) {
	g.connections = max(connections, 1)
	g.nodes = max(nodes, 1)
}

// Sync takes over which upstreams there are and returns those that ended.
// What is known of the others stays.
func (g *Group[C]) Sync(now time.Time, registrations []upstream.Registration) (ended []*Replica[C]) {
	next := make([]*Replica[C], 0, len(registrations))
	for _, registration := range registrations {
		replica := g.find(registration)
		if replica == nil {
			replica = &Replica[C]{Data: g.make(registration), row: row{limit: math.Inf(1)}}
		}
		replica.Registration = registration
		replica.row.leaving = replica.replaced || registration.Leaving
		replica.coldUntil = now.Add(registration.Cold)
		next = append(next, replica)
	}
	for _, old := range g.replicas {
		if !slices.Contains(next, old) {
			old.row.leaving = true
			ended = append(ended, old)
		}
	}
	g.replicas = next
	return ended
}

func (g *Group[C]) find(registration upstream.Registration) *Replica[C] {
	for _, replica := range g.replicas {
		if replica.Registration.SameProcess(registration) {
			return replica
		}
	}
	return nil
}

// Choose returns the replica with the lowest expected time that may get an
// attempt and hasn't been tried, or nil. Those far slower than the others, or
// that shed a moment ago, come last.
func (g *Group[C]) Choose(now time.Time, tried []*Replica[C], random *rand.Rand) *Replica[C] {
	if len(g.replicas) == 0 {
		return nil
	}
	var best, last *Replica[C]
	bestCost, lastCost := math.Inf(1), math.Inf(1)
	start := random.IntN(len(g.replicas))
	for offset := range g.replicas {
		replica := g.replicas[(start+offset)%len(g.replicas)]
		if !replica.row.usable(now) || replica.row.inFlight >= g.room(replica) || slices.Contains(tried, replica) {
			continue
		}
		cost := g.cost(replica, now)
		if g.secondary(replica, now) {
			if cost < lastCost {
				last, lastCost = replica, cost
			}
			continue
		}
		if cost < bestCost {
			best, bestCost = replica, cost
		}
	}
	if best == nil {
		return last
	}
	return best
}

// room is the number of attempts that a replica may have in progress: it falls
// when the replica sheds, so that work waits here, in its order, and isn't sent
// in vain.
func (g *Group[C]) room(replica *Replica[C]) int {
	share := max(1, queueFactor*float64(replica.Registration.Slots)/float64(g.nodes))
	return int(min(replica.row.limit, float64(g.connections), share))
}

func (g *Group[C]) cost(replica *Replica[C], now time.Time) float64 {
	cost := max(replica.row.expected, remoteCost.Seconds()) * float64(replica.row.inFlight+1)
	if now.Before(replica.coldUntil) {
		cost *= coldFactor
	}
	cost += replica.riskNow(now) * riskCost * g.median
	if replica.Registration.AvailabilityZone != g.zone {
		cost += remoteCost.Seconds()
	}
	return cost
}

// riskNow is the risk, faded since the last attempt.
func (r *Replica[C]) riskNow(now time.Time) float64 {
	risk := r.risk * math.Exp(-now.Sub(r.riskAt).Seconds()/riskMemory.Seconds())
	if risk < leastRisk {
		return 0
	}
	return risk
}

// learnRisk takes in whether an attempt was shed or failed.
func (r *Replica[C]) learnRisk(now time.Time, bad bool) {
	r.risk = (1 - riskWeight) * r.riskNow(now)
	if bad {
		r.risk += riskWeight
	}
	r.riskAt = now
}

// secondary reports whether a replica is only used if no other can be; a slow
// one still gets a probe from time to time.
func (g *Group[C]) secondary(replica *Replica[C], now time.Time) bool {
	if now.Before(replica.shedUntil) {
		return true
	}
	return replica.row.slow && now.Sub(replica.row.lastUsed) < probeInterval
}

// Usable returns the number of replicas that may get attempts, and how long it
// takes until the first of the others may.
func (g *Group[C]) CountUsable(now time.Time) (count int, wait time.Duration) {
	for _, replica := range g.replicas {
		if replica.row.usable(now) {
			count++
			continue
		}
		if rest := replica.row.downUntil.Sub(now); !replica.row.leaving && (wait == 0 || rest < wait) {
			wait = rest
		}
	}
	return count, wait
}

// Replicas returns the replicas; the slice must not be changed.
func (g *Group[C]) Replicas() []*Replica[C] {
	return g.replicas
}

// Replace notes that another upstream answers at a replica's address: it gets
// no more attempts.
func (g *Group[C]) MarkReplaced(replica *Replica[C]) {
	replica.replaced, replica.row.leaving = true, true
}

// Start notes that an attempt begins.
func (g *Group[C]) Start(replica *Replica[C], now time.Time) {
	replica.row.inFlight++
	replica.row.lastUsed = now
}

// Finish notes that an attempt ended after it took the time.
func (g *Group[C]) Finish(replica *Replica[C], now time.Time, outcome Outcome, took time.Duration) {
	row := &replica.row
	row.inFlight--
	if outcome == Abandoned && took.Seconds() > lostFactor*max(row.expected, g.median) {
		outcome = Failed
	}
	if outcome == Succeeded || outcome == Refused || outcome == Failed {
		replica.learnRisk(now, outcome != Succeeded)
	}
	switch outcome {
	case Succeeded:
		row.failures, row.sheds = 0, 0
		replica.shedUntil = time.Time{}
		row.learn(took)
		row.limit = min(float64(g.connections), row.limit+recovery*float64(g.connections))
	case Abandoned:
		if took.Seconds() > row.latency {
			row.learn(abandonedFactor * took)
		}
	case Refused:
		if now.Sub(row.lastShed) >= shedInterval {
			row.lastShed = now
			row.limit = max(1, min(row.limit, float64(row.inFlight+1))*shedFactor)
		}
		replica.shedUntil = now.Add(min(firstShedPause<<min(row.sheds, 10), longestShedPause))
		row.sheds++
	case Failed:
		row.fail(now)
	case Declined:
	}
	row.limit = max(1, row.limit)
	g.assess(now)
}

func (g *Group[C]) assess(now time.Time) {
	latencies := make([]float64, 0, 8)
	for _, replica := range g.replicas {
		if replica.row.latency > 0 && replica.row.usable(now) {
			latencies = append(latencies, replica.row.latency)
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		g.median = latencies[(len(latencies)-1)/2]
	}
	for _, replica := range g.replicas {
		replica.row.assess(g.median, now)
	}
}
