// Package relay carries callers' requests to upstreams that speak a protocol
// of their own: one upstream of a service, or one upstream of each shard, whose
// replies it merges. Which protocol that is, a Protocol tells.
package relay

// Who sends which event to whom:
//
//	callers ──Request──▶ Relay ──▶ flight ──exchange──▶ attempt ──HTTP──▶ upstream
//	        ◀──Answer───             ▲  ◀────result──────
//	                                 │
//	SetTable, SetUpstreams ──▶ state (table, services)
//
// A flight runs on its caller's goroutine and each attempt on its own. What is
// known of the replicas of a service is under that service's lock.

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/pkg/budget"
	"github.com/bronzereach/bronzereach/pkg/route"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

const (
	// defaultDeadline bounds requests that come without a deadline.
	defaultDeadline = 30 * time.Second
	// startRetryAfter is how long a caller is asked to wait while the node does
	// not know its configuration or upstreams yet.
	startRetryAfter = 500 * time.Millisecond
	// goldenRatio spreads successive points evenly over [0, 1).
	goldenRatio = 0.6180339887498949
)

// Config describes a Relay.
type Config struct {
	VM               string
	AvailabilityZone string
	Protocol         Protocol
	// Budget bounds attempts beyond the first, over all nodes.
	Budget budget.Config
	// Nodes returns how many nodes share budgets and connections.
	NodeCount func() int
	Log       logr.Logger
}

// Relay holds what is known of routes and upstreams.
type Relay struct {
	config  Config
	started time.Time
	// Metrics counts what the relay does.
	Metrics *Metrics

	// mu guards the writing of state.
	mu    sync.Mutex
	state atomic.Pointer[state]

	inProgress atomic.Int64
	splits     atomic.Uint64
	delays     delays
	allowances allowances
	lines      lineBudget
}

// state is one consistent view of the outside. It is immutable.
type state struct {
	table *route.Table
	// services holds every service that has an upstream, or had one and is in the
	// table.
	services map[string]*service
	// known is true once the upstreams have been heard of.
	known bool
}

// New returns a relay that knows nothing yet.
func New(config Config) *Relay {
	r := &Relay{
		config:     config,
		started:    time.Now(),
		Metrics:    newMetrics(),
		delays:     newDelays(),
		allowances: newAllowances(),
	}
	r.state.Store(&state{})
	return r
}

// SetTable puts a table in force. A table with a lower version than the present
// one is ignored.
func (r *Relay) SetTable(table *route.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.state.Load()
	if old.table != nil && table.Version() <= old.table.Version() {
		return
	}
	next := *old
	next.table = table
	r.state.Store(&next)
	r.bound(&next)
	r.delays.keep(table)
	r.allowances.keep(table)
}

// SetUpstreams replaces what is known of all upstreams.
func (r *Relay) SetUpstreams(registrations []upstream.Registration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.state.Load()
	next := state{table: old.table, known: true, services: make(map[string]*service, len(old.services))}
	byService := map[string][]upstream.Registration{}
	for _, registration := range registrations {
		byService[registration.Service] = append(byService[registration.Service], registration)
	}
	for name, s := range old.services {
		if len(byService[name]) > 0 || old.table.UsesService(name) {
			next.services[name] = s
			continue
		}
		s.sync(time.Now(), nil)
	}
	for name := range byService {
		if next.services[name] == nil {
			next.services[name] = newService(r, name)
		}
	}
	now := time.Now()
	for name, s := range next.services {
		s.sync(now, byService[name])
	}
	r.state.Store(&next)
	r.bound(&next)
}

// Parts of an upstream's connections, shared out over the nodes.
const (
	// busyPart and idlePart leave some for nodes that start.
	busyPart = 0.8
	idlePart = 0.8
)

// bound sets how many connections the node may hold at each upstream.
func (r *Relay) bound(s *state) {
	nodes := max(r.config.NodeCount(), 1)
	for name, group := range s.services {
		busy, idle := math.MaxInt32, math.MaxInt32
		if settings, found := s.table.Service(name); found && settings.Connections > 0 {
			share := float64(settings.Connections) / float64(nodes)
			busy, idle = int(busyPart*share), int(idlePart*share)
		}
		group.setBounds(busy, max(idle, 1), nodes)
	}
}

// Tick brings bounds that depend on the number of nodes up to date and closes
// connections that upstreams are about to close.
func (r *Relay) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.state.Load()
	r.bound(current)
	now := time.Now()
	for _, s := range current.services {
		s.expire(now)
	}
}

// Known reports whether the relay can serve: it has a table and has heard of
// upstreams.
func (r *Relay) CanServe() bool {
	s := r.state.Load()
	return s.table != nil && s.known
}

// Missing reports whether the table names a service of which no upstream has
// been heard.
func (r *Relay) LacksUpstreams() bool {
	s := r.state.Load()
	for _, name := range s.table.Services() {
		if s.services[name] == nil {
			return true
		}
	}
	return !s.known
}

// Table returns the table in force; nil before the first.
func (r *Relay) Table() *route.Table {
	return r.state.Load().table
}

// InProgress returns the number of requests without an answer.
func (r *Relay) InProgress() int64 {
	return r.inProgress.Load()
}

// Do answers a request. It returns early if the context ends, which means that
// the caller has left.
func (r *Relay) Do(ctx context.Context, request *Request) *Answer {
	r.inProgress.Add(1)
	defer r.inProgress.Add(-1)
	if request.Deadline.IsZero() {
		request.Deadline = request.Received.Add(defaultDeadline)
		request.NoDeadline = true
	}
	answer := r.answer(ctx, request)
	r.note(request, answer)
	return answer
}

func (r *Relay) answer(ctx context.Context, request *Request) *Answer {
	s := r.state.Load()
	if s.table == nil {
		return refusal(ReasonNoConfig, startRetryAfter)
	}
	matched := s.table.Match(request.Host, request.Path)
	if matched == nil {
		return &Answer{Outcome: NoRoute, Reason: ReasonNoRoute, Run: NotRun, ConfigVersion: s.table.Version()}
	}
	request.Route = matched
	prepared, err := r.config.Protocol.Prepare(request)
	if err != nil {
		r.config.Log.Info("requestMalformed", "requestID", request.ID, "error", err.Error())
		return &Answer{Outcome: Malformed, Reason: ReasonMalformed, Run: NotRun, ConfigVersion: s.table.Version()}
	}
	request.prepared = prepared
	f := r.newFlight(request, s)
	answer := f.run(ctx)
	answer.ConfigVersion = s.table.Version()
	return answer
}

// services returns the names of the services that one request goes to; none if
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
	point := float64(r.splits.Add(1)) * goldenRatio
	return []string{matched.PickService(point - math.Floor(point))}
}
