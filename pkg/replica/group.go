package replica

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// Parameters of the cost by which a Group ranks its replicas.
const (
	// remoteCost is the assumed round-trip time to another availability zone.
	remoteCost = time.Millisecond
	// crossingCost is the cost of leaving the availability zone, in multiples of the
	// median latency. The bytes that cross are paid for, so a request crosses only
	// if replicas in the zone are much slower or busier.
	crossingCost = 1.5
	// coldFactor multiplies the expected time of a replica that started recently.
	coldFactor = 1.6
	// riskWeight is the weight of the newest attempt in the moving average of
	// shed and failed attempts.
	riskWeight = 0.15
	// minRisk is the risk below which a replica counts as free of risk.
	minRisk = 0.05
	// riskCost is the cost of a shed or failed attempt, in multiples of the median
	// latency. It is high because such an attempt needs a retry, and the retry
	// budget is small.
	riskCost = 6.0
	// riskDecayTime is the time in which the risk of an unused replica decays to
	// 1/e.
	riskDecayTime = 3 * time.Second
	// queueFactor is the maximum number of attempts that all nodes together have in
	// progress at a replica, in multiples of its slots. It is enough to keep the
	// replica busy. Further requests wait at the nodes, where they are ordered by
	// rank and can still be cancelled.
	queueFactor = 4.0
	// noAnswerFactor is the multiple of the expected latency, or of the median if
	// that is higher, after which an abandoned attempt counts as failed.
	noAnswerFactor = 8.0
	// unknownLatency is the latency assumed before the first reply of a group.
	unknownLatency = 50 * time.Millisecond
)

// Replica is one upstream of a Group. C is the type of the data that the owner
// of the group attaches to it, such as its connections.
type Replica[C any] struct {
	// Registration is the latest one that the upstream announced.
	Registration upstream.Registration
	Data         C
	state        state
	// coldUntil is the time until which coldFactor and the limit of cold replicas apply.
	coldUntil time.Time
	// risk is the moving average of the share of attempts that were shed or
	// failed, as of riskAt; between 0 and 1.
	risk   float64
	riskAt time.Time
	// replaced is true once another upstream answered at this address.
	replaced bool
	// toldLeaving is true once the upstream told in a reply that it leaves.
	toldLeaving bool
	// shedUntil is the time until which other replicas are preferred because this
	// one shed a request.
	shedUntil time.Time
	// pacer keeps the rate limit that the upstream named last.
	pacer pacer
}

// Group selects among the upstreams of one service while upstreams join and
// leave. It reads no clock and is not safe for concurrent use.
type Group[C any] struct {
	service string
	zone    string
	// newData returns the owner's data for a new replica.
	newData func(upstream.Registration) C
	// connections is the maximum number of attempts in progress at one replica.
	connections int
	// nodes is the number of nodes that share the replicas; at least 1.
	nodes int
	// rateShare is the fraction of a replica's rate limit that this node may use.
	rateShare float64
	replicas  []*Replica[C]
	// median is the median latency of the replicas in seconds, as of the last
	// Finish.
	median float64
	// removedBackoffs holds the backoffs of replicas that were removed before they ended.
	removedBackoffs map[upstream.Instance]backoff
	// evacuated holds the availability zones whose replicas get no attempts.
	evacuated upstream.EvacuatedZones
	// cold is the limit of each replica while it is cold.
	cold ColdLimit
}

// GroupConfig holds the parameters of NewGroup.
type GroupConfig[C any] struct {
	Service string
	// AvailabilityZone is the zone of this node.
	AvailabilityZone string
	// NewData returns the owner's data for a new replica.
	NewData func(upstream.Registration) C
}

// NewGroup returns a group without replicas.
func NewGroup[C any](config GroupConfig[C]) *Group[C] {
	return &Group[C]{service: config.Service, zone: config.AvailabilityZone, newData: config.NewData, connections: 1, nodes: 1, rateShare: 1, removedBackoffs: map[upstream.Instance]backoff{}}
}

// Limits tell how much of the replicas this node may use.
type Limits struct {
	// Connections is the maximum number of connections to one replica; at least 1.
	Connections int
	// Nodes is the number of nodes that share the replicas; at least 1.
	Nodes int
	// RateShare is the fraction of a replica's rate limit, above 0.
	RateShare float64
	// Cold bounds the attempts at cold replicas.
	Cold ColdLimit
}

// SetLimits replaces the limits of this node.
func (g *Group[C]) SetLimits(limits Limits) {
	g.connections = max(limits.Connections, 1)
	g.nodes = max(limits.Nodes, 1)
	g.rateShare = limits.RateShare
	g.cold = limits.Cold
	for _, replica := range g.replicas {
		g.setColdPace(replica)
	}
}

// Sync replaces the list of upstreams and returns the replicas that are no
// longer in it. The remaining replicas keep their statistics.
func (g *Group[C]) Sync(now time.Time, registrations []upstream.Registration) (ended []*Replica[C]) {
	next := make([]*Replica[C], 0, len(registrations))
	for _, registration := range registrations {
		replica := g.find(registration)
		if replica == nil {
			replica = &Replica[C]{Data: g.newData(registration), state: state{limit: math.Inf(1), backoff: g.removedBackoffs[registration.Instance()]}}
		}
		replica.updateCold(now, registration)
		replica.Registration = registration
		replica.state.leaving = replica.replaced || replica.toldLeaving || registration.Leaving
		replica.state.evacuated = g.evacuated.Has(registration.AvailabilityZone)
		g.setColdPace(replica)
		next = append(next, replica)
	}
	for _, old := range g.replicas {
		if !slices.Contains(next, old) {
			old.state.leaving = true
			ended = append(ended, old)
		}
	}
	g.replicas = next
	g.rememberBackoffs(now, ended)
	return ended
}

// current returns the replica of the same process that is in the group now. A reply may
// come when its upstream was removed and has registered again. If there is none, current
// returns the replica itself.
func (g *Group[C]) current(replica *Replica[C]) *Replica[C] {
	if found := g.find(replica.Registration); found != nil {
		return found
	}
	return replica
}

func (g *Group[C]) find(registration upstream.Registration) *Replica[C] {
	for _, replica := range g.replicas {
		if replica.Registration.SameProcess(registration) {
			return replica
		}
	}
	return nil
}

// Choose returns the available replica with the lowest expected cost that is
// not in excluded, or nil if there is none. Replicas that are much slower than
// the others, or that shed a request recently, are used only if there is no
// other.
func (g *Group[C]) Choose(now time.Time, excluded []*Replica[C], random *rand.Rand) *Replica[C] {
	if len(g.replicas) == 0 {
		return nil
	}
	var best, fallback *Replica[C]
	bestCost, fallbackCost := math.Inf(1), math.Inf(1)
	start := random.IntN(len(g.replicas))
	for offset := range g.replicas {
		replica := g.replicas[(start+offset)%len(g.replicas)]
		if !g.hasFreeSlot(replica, now) || !replica.pacer.allows(g.rateShare, now) || slices.Contains(excluded, replica) {
			continue
		}
		cost := g.cost(replica, now)
		if g.lastResort(replica, now) {
			if cost < fallbackCost {
				fallback, fallbackCost = replica, cost
			}
			continue
		}
		if cost < bestCost {
			best, bestCost = replica, cost
		}
	}
	if best == nil {
		return fallback
	}
	return best
}

// hasFreeSlot reports whether one more attempt may be in progress at a replica.
func (g *Group[C]) hasFreeSlot(replica *Replica[C], now time.Time) bool {
	return replica.state.usable(now) && replica.state.inFlight < g.attemptLimit(replica, now)
}

// attemptLimit returns the number of attempts that may be in progress at a
// replica. It grows slowly after a backoff and falls when the replica sheds, so
// that requests wait at this node in order of rank instead of being sent and
// refused. This node's share of the replica is at least one attempt.
func (g *Group[C]) attemptLimit(replica *Replica[C], now time.Time) int {
	share := max(1, queueFactor*float64(replica.Registration.Slots)/float64(g.nodes))
	return int(replica.state.backoff.limit(min(replica.state.limit, float64(g.connections), share), now))
}

// cost returns the expected time of one more attempt at the replica in
// seconds, including a cold start, the risk of a failure and the round trip to
// another availability zone.
func (g *Group[C]) cost(replica *Replica[C], now time.Time) float64 {
	cost := max(replica.state.expected, remoteCost.Seconds()) * float64(replica.state.inFlight+1)
	if now.Before(replica.coldUntil) {
		cost *= coldFactor
	}
	cost += replica.decayedRisk(now) * riskCost * g.median
	if replica.Registration.AvailabilityZone != g.zone {
		cost += max(remoteCost.Seconds(), crossingCost*g.median)
	}
	return cost
}

// decayedRisk returns the risk after its decay since the last attempt.
func (r *Replica[C]) decayedRisk(now time.Time) float64 {
	risk := r.risk * math.Exp(-now.Sub(r.riskAt).Seconds()/riskDecayTime.Seconds())
	if risk < minRisk {
		return 0
	}
	return risk
}

// updateRisk adds one attempt to the moving average of shed and failed attempts.
func (r *Replica[C]) updateRisk(now time.Time, unsuccessful bool) {
	r.risk = (1 - riskWeight) * r.decayedRisk(now)
	if unsuccessful {
		r.risk += riskWeight
	}
	r.riskAt = now
}

// lastResort reports whether a replica is used only if no other is available. A
// slow replica still gets one probe per probeInterval.
func (g *Group[C]) lastResort(replica *Replica[C], now time.Time) bool {
	if now.Before(replica.shedUntil) {
		return true
	}
	return replica.state.slow && now.Sub(replica.state.lastUsed) < probeInterval
}

// CountUsable returns the number of replicas that may get attempts, a probe counted as
// one, and the time until the first of the others may get attempts again; 0 if none of them will.
func (g *Group[C]) CountUsable(now time.Time) (count int, wait time.Duration) {
	for _, replica := range g.replicas {
		if replica.state.usable(now) {
			count++
			continue
		}
		if remaining := replica.state.usableAt().Sub(now); !replica.state.withdrawn() && (wait == 0 || remaining < wait) {
			wait = remaining
		}
	}
	if count == 0 && g.Probe(now) != nil {
		count = 1
	}
	return count, wait
}

// Replicas returns the replicas; the slice must not be changed.
func (g *Group[C]) Replicas() []*Replica[C] {
	return g.replicas
}

// MarkReplaced records that another upstream answers at the address of a
// replica. The replica gets no more attempts.
func (g *Group[C]) MarkReplaced(replica *Replica[C]) {
	replica.replaced, replica.state.leaving = true, true
}

// Replaced reports whether MarkReplaced was called.
func (r *Replica[C]) Replaced() bool {
	return r.replaced
}

// MarkLeaving records that a replica told in a reply that it leaves. It gets no more
// attempts, whatever is registered for it. MarkLeaving reports whether that is news.
func (g *Group[C]) MarkLeaving(replica *Replica[C]) (news bool) {
	replica = g.current(replica)
	news = !replica.toldLeaving
	replica.toldLeaving, replica.state.leaving = true, true
	return news
}

// Start records the start of an attempt.
func (g *Group[C]) Start(replica *Replica[C], now time.Time) {
	replica.state.inFlight++
	replica.state.lastUsed = now
	replica.pacer.start()
}

// Finish records the outcome and duration of an attempt. An attempt that was
// abandoned long after a reply was expected counts as failed: the replica may be
// dead.
func (g *Group[C]) Finish(replica *Replica[C], now time.Time, outcome Outcome, took time.Duration) {
	state := &replica.state
	state.inFlight--
	if outcome == Abandoned && took.Seconds() > noAnswerFactor*g.usualLatency(replica) {
		outcome = Failed
	}
	if outcome == Succeeded || outcome == Refused || outcome == Failed {
		replica.updateRisk(now, outcome != Succeeded)
	}
	switch outcome {
	case Succeeded:
		state.failures, state.sheds = 0, 0
		state.downUntil, replica.shedUntil = time.Time{}, time.Time{}
		state.recordLatency(took, g.median)
		state.limit = min(float64(g.connections), state.limit+limitIncrease*float64(g.connections))
	case Abandoned:
		if took.Seconds() > state.latency {
			state.recordLatency(abandonedFactor*took, g.median)
		}
	case Refused:
		if now.Sub(state.lastShed) >= shedInterval {
			state.lastShed = now
			// The limit may be far above the number of attempts at which the
			// replica shed: inFlight+1, counting this one.
			state.limit = max(1, min(state.limit, float64(state.inFlight+1))*limitDecrease)
		}
		replica.shedUntil = now.Add(min(firstShedPause<<min(state.sheds, 10), maxShedPause))
		state.sheds++
	case Failed:
		state.recordFailure(now)
	case Declined:
	}
	state.limit = max(1, state.limit)
	g.updateExpected(now)
}

// usualLatency returns how long a reply of the replica usually takes, in seconds.
func (g *Group[C]) usualLatency(replica *Replica[C]) float64 {
	if g.median == 0 {
		return unknownLatency.Seconds()
	}
	return max(replica.state.expected, g.median)
}

// updateExpected recomputes the median latency and the expected latency of each
// replica.
func (g *Group[C]) updateExpected(now time.Time) {
	latencies := make([]float64, 0, 8)
	for _, replica := range g.replicas {
		if replica.state.latency > 0 && replica.state.usable(now) {
			latencies = append(latencies, replica.state.latency)
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		g.median = latencies[(len(latencies)-1)/2]
	}
	for _, replica := range g.replicas {
		replica.state.updateExpected(g.median, now)
	}
}
