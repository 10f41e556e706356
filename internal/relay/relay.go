// Package relay forwards callers' requests to upstreams. A request goes to one
// upstream of a service, or to one upstream of each shard, whose replies are
// merged. A Protocol defines how upstreams are spoken to.
package relay

// Flow of a request:
//
//	callers ──Request──▶ Relay ──▶ forwarder ──start──▶ attempt ──HTTP──▶ upstream
//	        ◀──Answer───               ▲  ◀─forwarderEvent─
//	                                   │
//	SetTable, SetUpstreams ──▶ routingState (table, services)
//
// A forwarder runs on its caller's goroutine and each attempt on its own. The
// lock of a service guards the state of the service's replicas.

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/pkg/budget"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/route"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

const (
	// defaultDeadline is the deadline of requests that state none.
	defaultDeadline = 30 * time.Second
	// notReadyRetryAfter is the retry delay told to callers while the node has no
	// routing table yet.
	notReadyRetryAfter = 500 * time.Millisecond
	// goldenRatio is the fractional part of the golden ratio. Its successive
	// multiples, modulo 1, spread evenly over [0, 1).
	goldenRatio = 0.6180339887498949
)

// Config configures a Relay.
type Config struct {
	VM               string
	AvailabilityZone string
	Protocol         Protocol
	// Budget bounds attempts beyond the first, summed over all nodes.
	Budget budget.Config
	// AwaitZones makes the relay refuse requests until SetEvacuated or StopAwaitingZones is
	// called.
	AwaitZones bool
	// Cold is the tolerance of the rate limit of cold upstreams.
	Cold ColdTolerance
	// Fleet returns the nodes that send requests to the upstreams.
	Fleet func() Fleet
	// Started is when the node started; zero if it starts now. A node that has just
	// started has less of the budget.
	Started time.Time
	// UpstreamLeaves is called, from any goroutine, when an upstream tells in a reply
	// that it leaves; nil if nobody asks.
	UpstreamLeaves func(upstream.Instance)
	// MaxIdle is the number of idle connections to all upstreams together; 0 for no bound.
	MaxIdle int
	// Memory bounds what requests and replies take; nil for no bound.
	Memory *memory.Account
	// Quotas keeps the quotas of teams; nil for none.
	Quotas Quotas
	Log    logr.Logger
}

// Fleet tells how many nodes share what upstreams allow, such as connections.
type Fleet struct {
	// Serving is the number of nodes that callers are sent to; at least 1.
	Serving int
	// Serves is true if this node is one of them. Another one gets few requests.
	Serves bool
	// Others is the number of nodes that callers are not sent to.
	Others int
	// Replaceable is true if callers are sent to other nodes than this one.
	Replaceable bool
	// Joining is true while this node may not know the others yet.
	Joining bool
}

// Relay forwards requests according to its routing table and the known
// upstreams. It is safe for concurrent use.
type Relay struct {
	config Config
	// Metrics holds the relay's Prometheus metrics.
	Metrics *Metrics

	// mu serializes writers of routingState.
	mu           sync.Mutex
	routingState atomic.Pointer[routingState]
	idle         *idleConnections
	// evacuated holds the evacuated availability zones, guarded by mu.
	evacuated upstream.EvacuatedZones
	// awaitsZones is true until the evacuated zones are known or not awaited any more.
	awaitsZones atomic.Bool

	// replicaReplaced is true from when a reply shows that an upstream is not at its
	// address until the next Tick.
	replicaReplaced atomic.Bool

	inProgress atomic.Int64
	leaving    atomic.Pointer[leaving]
	sharing    *sharing
	// budgetNodes is the number of nodes that share the budget. nodeCount, which mu
	// guards, keeps it up while their attempts still count.
	budgetNodes atomic.Int64
	nodeCount   *budget.NodeCount
	// answerNow is closed when all requests in progress must be answered. Replies that
	// have arrived may be read for lastReplyTime then, which is set before.
	answerNow     chan struct{}
	lastReplyTime time.Duration
	answerNowOnce sync.Once

	splitCount       atomic.Uint64
	hedgeDelays      hedgeDelays
	deadlineTrackers deadlineTrackers
	answerTimes      answerTimes
	wakeupDelay      wakeupDelay
	logLimiter       logRateLimiter
}

// routingState is a consistent view of the routing table and the services. It is
// not modified after it has been stored.
type routingState struct {
	table *route.Table
	// services holds every service that has an upstream, or that had one and is
	// still in the table.
	services map[string]*service
	// upstreamsKnown is true once SetUpstreams has been called.
	upstreamsKnown bool
	// registrations holds all registrations, and reachable those of them whose address
	// no other upstream has taken over.
	registrations []upstream.Registration
	reachable     []upstream.Registration
	// upstreamZones holds the availability zones that hold upstreams of the shards.
	upstreamZones []string
}

// New returns a relay without a routing table and upstreams.
func New(config Config) *Relay {
	if config.Started.IsZero() {
		config.Started = time.Now()
	}
	r := &Relay{
		config:           config,
		idle:             newIdleConnections(config.MaxIdle),
		Metrics:          newMetrics(),
		hedgeDelays:      newHedgeDelays(),
		deadlineTrackers: newDeadlineTrackers(),
		answerTimes:      newAnswerTimes(),
		wakeupDelay:      newWakeupDelay(),
		answerNow:        make(chan struct{}),
		nodeCount:        budget.NewNodeCount(config.Budget.Period),
		sharing:          newSharing(),
	}
	r.updateBudgetNodes()
	r.awaitsZones.Store(config.AwaitZones)
	r.leaving.Store(&leaving{})
	r.routingState.Store(&routingState{})
	return r
}

// SetTable replaces the routing table. A table whose version is not higher than
// the current one is ignored.
func (r *Relay) SetTable(table *route.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.routingState.Load()
	if old.table != nil && table.Version() <= old.table.Version() {
		return
	}
	r.replaceTable(table)
	r.sharing.setTable(table)
	r.hedgeDelays.retain(table)
	r.deadlineTrackers.retain(table)
	r.answerTimes.retain(table)
}

// replaceTable replaces the table and decides anew which upstreams are reachable; mu must
// be held.
func (r *Relay) replaceTable(table *route.Table) {
	old := r.routingState.Load()
	next := *old
	next.table = table
	reachable := old.reachableUpstreams(table, old.registrations)
	if !slices.Equal(reachable, old.reachable) {
		next.services = r.updateServices(old.services, table, reachable)
		next.reachable = reachable
	}
	next.upstreamZones = upstream.Zones(reachable, table.Shards())
	r.updateLimits(&next)
	r.routingState.Store(&next)
}

// SetUpstreams replaces the registrations of all upstreams.
func (r *Relay) SetUpstreams(registrations []upstream.Registration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.routingState.Load()
	reachable := old.reachableUpstreams(old.table, registrations)
	next := routingState{
		table:          old.table,
		upstreamsKnown: true,
		services:       r.updateServices(old.services, old.table, reachable),
		registrations:  registrations,
		reachable:      reachable,
		upstreamZones:  upstream.Zones(reachable, old.table.Shards()),
	}
	r.updateLimits(&next)
	r.routingState.Store(&next)
}

// reachableUpstreams returns the registrations whose address no other upstream has taken
// over. Only those of services that get requests by the table can, unless a reply has shown
// that they are not there.
func (s *routingState) reachableUpstreams(table *route.Table, registrations []upstream.Registration) []upstream.Registration {
	replaced := map[string]upstream.Registration{}
	for _, svc := range s.services {
		for _, registration := range svc.replacedRegistrations() {
			replaced[registration.ID] = registration
		}
	}
	return upstream.WithoutReplaced(registrations, func(registration upstream.Registration) bool {
		return table.UsesService(registration.Service) && !replaced[registration.ID].SameProcess(registration)
	})
}

// updateServices passes the registrations to their services, of which it returns those that
// have one or are in the table.
func (r *Relay) updateServices(old map[string]*service, table *route.Table, registrations []upstream.Registration) map[string]*service {
	byService := map[string][]upstream.Registration{}
	for _, registration := range registrations {
		byService[registration.Service] = append(byService[registration.Service], registration)
	}
	now := time.Now()
	services := make(map[string]*service, len(old))
	for name, s := range old {
		if len(byService[name]) > 0 || table.UsesService(name) {
			services[name] = s
			continue
		}
		s.updateReplicas(now, nil)
	}
	for name := range byService {
		if services[name] == nil {
			services[name] = newService(r, name)
			services[name].setEvacuated(now, r.evacuated)
		}
	}
	for name, s := range services {
		s.updateReplicas(now, byService[name])
	}
	return services
}

// Fractions of a node's share of the connections that an upstream allows.
const (
	// busyFraction and idleFraction leave connections for nodes that are starting.
	busyFraction = 0.8
	idleFraction = 0.8
)

// updateLimits sets how much of each upstream this node may use.
func (r *Relay) updateLimits(s *routingState) {
	fleet := r.config.Fleet()
	for name, svc := range s.services {
		settings, _ := s.table.Service(name)
		maxBusy, maxIdle := connectionShare(settings.Connections, fleet)
		svc.setLimits(replica.Limits{Connections: maxBusy, Nodes: fleet.Serving, RateShare: rateShare(fleet), Cold: r.coldLimit(settings, fleet)}, maxIdle)
	}
}

// updateBudgetNodes updates the number of nodes that share the budget.
func (r *Relay) updateBudgetNodes() {
	fleet := r.config.Fleet()
	if fleet.Joining {
		return
	}
	r.budgetNodes.Store(int64(r.nodeCount.Observe(time.Since(r.config.Started), fleet.Serving)))
}

// connectionShare returns how many busy and idle connections a node may have to an
// upstream that accepts the given number from all nodes; 0 for no limit. Idle ones
// are kept only by nodes that serve callers, and only if there is one for each of
// them: in a large fleet the idle connections of the others would use up the limit,
// and the upstream would reset those of the nodes that serve.
func connectionShare(connections int, fleet Fleet) (maxBusy, maxIdle int) {
	maxBusy, maxIdle = math.MaxInt32, math.MaxInt32
	if connections > 0 {
		share := float64(connections) / float64(fleet.Serving)
		maxBusy, maxIdle = int(busyFraction*share), int(idleFraction*share)
	}
	if !fleet.Serves {
		maxIdle = 0
	}
	return max(maxBusy, 1), maxIdle
}

// othersRateFraction is the fraction of an upstream's rate limit for the nodes that
// callers are not sent to: some callers still use an older list of addresses.
const othersRateFraction = 0.1

// rateShare returns the fraction of an upstream's rate limit that one node may use. The
// fractions of all nodes add up to 1.
func rateShare(fleet Fleet) float64 {
	switch {
	case fleet.Serves && fleet.Others == 0:
		return 1 / float64(fleet.Serving)
	case fleet.Serves:
		return (1 - othersRateFraction) / float64(fleet.Serving)
	default:
		return othersRateFraction / float64(max(fleet.Others, 1))
	}
}

// Tick updates limits that depend on the number of nodes, closes idle connections that
// upstreams are about to close, and uses addresses again for the upstreams that had them
// before those that replies have shown not to be there. It is to be called regularly.
func (r *Relay) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replicaReplaced.Swap(false) {
		r.replaceTable(r.routingState.Load().table)
	}
	current := r.routingState.Load()
	r.updateLimits(current)
	r.updateBudgetNodes()
	now := time.Now()
	leaving, backingOff := 0, 0
	for _, s := range current.services {
		s.closeExpired(now)
		l, b := s.countUnused(now)
		leaving, backingOff = leaving+l, backingOff+b
	}
	r.Metrics.setUnused(leaving, backingOff)
}

// CanServe reports whether the relay can serve requests: it has a routing table, and
// SetUpstreams has been called.
func (r *Relay) CanServe() bool {
	s := r.routingState.Load()
	return s.table != nil && s.upstreamsKnown
}

// LacksUpstreams reports whether SetUpstreams has not been called yet or the table
// names a service of which no upstream has been seen.
func (r *Relay) LacksUpstreams() bool {
	return r.LackingServices() > 0
}

// LackingServices returns the number of services in the table of which no upstream has
// been seen; at least 1 until SetUpstreams has been called.
func (r *Relay) LackingServices() (count int) {
	s := r.routingState.Load()
	for _, name := range s.table.Services() {
		if s.services[name] == nil {
			count++
		}
	}
	if !s.upstreamsKnown {
		return max(count, 1)
	}
	return count
}

// Table returns the current routing table; nil if there is none yet.
func (r *Relay) Table() *route.Table {
	return r.routingState.Load().table
}

// UpstreamZones returns the availability zones that hold upstreams of many shards;
// the slice must not be changed.
func (r *Relay) UpstreamZones() []string {
	return r.routingState.Load().upstreamZones
}

// InProgress returns the number of requests that are not answered yet.
func (r *Relay) InProgress() int64 {
	return r.inProgress.Load()
}

// Do forwards a request and returns its answer. If ctx ends, which means that the
// caller has disconnected, it returns early.
func (r *Relay) Do(ctx context.Context, request *Request) *Answer {
	r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	request.setDefaultDeadline()
	answer := r.answer(ctx, request)
	r.recordAnswer(request, answer)
	return answer
}

func (r *Relay) answer(ctx context.Context, request *Request) *Answer {
	s := r.routingState.Load()
	if s.table == nil {
		return refusal(ReasonNoConfig, notReadyRetryAfter)
	}
	request.match(s.table)
	if answer := request.refuseUnmatched(); answer != nil {
		return answer
	}
	if answer := request.refuseUnauthorized(); answer != nil {
		return answer
	}
	if answer := r.refuseLeaving(request); answer != nil {
		answer.ConfigVersion = s.table.Version()
		return answer
	}
	if r.AwaitsZones() {
		answer := refusal(ReasonZonesUnknown, notReadyRetryAfter)
		answer.ConfigVersion = s.table.Version()
		return answer
	}
	ticket, overQuota := r.takeQuota(ctx, request)
	if overQuota != nil {
		overQuota.ConfigVersion = s.table.Version()
		return overQuota
	}
	answer := r.forward(ctx, request, s)
	r.returnQuota(ticket, answer)
	answer.ConfigVersion = s.table.Version()
	return answer
}

// forward sends a request that may be sent to upstreams, and returns its answer.
func (r *Relay) forward(ctx context.Context, request *Request, s *routingState) *Answer {
	prepared, err := r.config.Protocol.Prepare(request)
	if err != nil {
		r.config.Log.Info("requestMalformed", "requestID", request.ID, "error", err.Error())
		return &Answer{Outcome: Malformed, Reason: ReasonMalformed, Run: NotRun}
	}
	request.prepared = prepared
	f := r.newForwarder(request, s)
	answer := f.run(ctx)
	if now := time.Now(); answer.Run == Ran && answer.Outcome != CallerDisconnected {
		r.answerTimes.add(request.Route.Name, now, now.Sub(request.Received))
	}
	return answer
}

// services returns the names of the services that a request goes to: all shards
// of a sharded route, otherwise one target picked by weight. It returns none if
// no target of the route has a weight.
func (r *Relay) services(matched *route.Route) []string {
	if len(matched.Shards) > 0 {
		return matched.Shards
	}
	switch len(matched.Targets) {
	case 0:
		return nil
	case 1:
		return []string{matched.Targets[0].Service}
	}
	point := float64(r.splitCount.Add(1)) * goldenRatio
	return []string{matched.PickService(point - math.Floor(point))}
}
