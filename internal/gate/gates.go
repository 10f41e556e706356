// Package gate implements the gates of a node. The gate of a service is the one
// node that sends requests to the service's upstreams: it owns the connections
// and counts the slots in use, queues sub-requests by rank and deadline, chooses
// a replica for each, and sends hedges and retries.
package gate

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/memory"
)

// connectionHolders is the number of nodes that may have connections to an
// upstream at the same time: the gate, its predecessor and a standby. Each gets
// an equal part of the upstream's connection limit.
const connectionHolders = 3

// Mode selects how nodes reach the upstreams.
type Mode string

// The modes.
const (
	// Gated sends all requests for a service through one node, its gate.
	Gated Mode = "gate"
	// Direct lets every node send requests to every upstream, with a fixed share
	// of its slots, a random replica, no hedges and no ranks. It is the baseline
	// for benchmarks of the gates.
	Direct Mode = "direct"
)

// Config configures the gates of a node.
type Config struct {
	VM string
	// Process identifies this process; reports name it.
	Process  uint64
	Recorder *timeline.Recorder
	Mode     Mode
	// DirectNodes is the number of nodes that share the slots in direct mode.
	DirectNodes int
	// Seed seeds the random choice of replicas.
	Seed uint64
	// Memory bounds what the upstreams' replies take; nil for no bound.
	Memory *memory.Account
}

// Metrics holds the counters of the gates of a node.
type Metrics struct {
	// Requests counts the sub-requests that succeeded, Refused those that ended
	// without a result: because they got no slot, their attempts failed, or their
	// deadline or their caller ended them. Sub-requests for a service or kind that
	// the node does not know are in neither. Attempts counts all attempts,
	// including Hedges and Retries. Dropped counts the upstream replies that were
	// discarded as truncated or mismatched.
	Requests, Attempts, Hedges, Retries, Dropped, Refused int64
}

// Gates holds the state of all services of the document on one node. It is safe
// for concurrent use.
type Gates struct {
	config Config

	mu       sync.RWMutex
	services map[string]*service
	document *document.Document
	// leaving holds the notices about leaving upstreams by address, for services of later
	// documents.
	leaving map[string]leavingMark

	metrics   Metrics
	metricsMu sync.Mutex
}

// New returns Gates without services; Apply adds them.
func New(config Config) *Gates {
	return &Gates{config: config, services: map[string]*service{}, leaving: map[string]leavingMark{}}
}

// Apply replaces the document. Unchanged services keep their state. For each
// changed one, a new service takes over nothing but the node's role and what the
// upstreams told of themselves, and the old one is closed: it refuses its queued
// sub-requests and completes its attempts in flight, which do not count against the slots
// of the new one. Services that the document no longer lists are closed too.
func (g *Gates) Apply(d *document.Document) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.document = d
	kept := map[string]*service{}
	for _, definition := range d.Services {
		old, found := g.services[definition.Name]
		if found && old.sameAs(definition, d) {
			old.initQueue(d)
			kept[definition.Name] = old
			continue
		}
		kept[definition.Name] = newService(g, definition, d)
		g.takeOverTold(kept[definition.Name])
		g.takeOverMarks(kept[definition.Name])
		if found {
			// An acquisition in progress is not taken over: the next call of Acquire
			// starts another.
			if old.currentRole() == active {
				kept[definition.Name].role = active
			}
			old.close()
		}
	}
	for name, old := range g.services {
		if _, found := kept[name]; !found {
			old.close()
		}
	}
	g.services = kept
}

func (g *Gates) lookup(name string) *service {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.services[name]
}

func (g *Gates) allServices() []*service {
	g.mu.RLock()
	defer g.mu.RUnlock()
	services := make([]*service, 0, len(g.services))
	for _, s := range g.services {
		services = append(services, s)
	}
	return services
}

// Acquire makes the node the gate of a service. Requests that the predecessor
// still has in flight count against the slots. predecessor is nil if there is no
// previous gate.
func (g *Gates) Acquire(ctx context.Context, name string, predecessor AskPredecessor) {
	s := g.lookup(name)
	if s == nil {
		return
	}
	acquisition, started := s.acquire()
	if !started {
		return
	}
	g.config.Recorder.Record(timeline.Event{Name: timeline.GateAcquired, Service: name})
	go s.loop(ctx, acquisition, predecessor)
}

// StepDown makes the node stop being the gate of a service. Queued sub-requests
// are refused as not run; attempts in flight are left to complete.
func (g *Gates) StepDown(name string) {
	s := g.lookup(name)
	if s == nil || !s.stepDown() {
		return
	}
	g.config.Recorder.Record(timeline.Event{Name: timeline.GateReleased, Service: name})
}

// Release steps down as the gate of the service, which the member "to" takes over, and
// returns the same as InFlight.
func (g *Gates) Release(name, to string) []*wire.InFlight {
	g.StepDown(name)
	s := g.lookup(name)
	if s == nil {
		return nil
	}
	s.recordRelease(to)
	return s.reportInFlight()
}

// ReleasedTo returns the member to which the node released the service last; empty if
// it is not known.
func (g *Gates) ReleasedTo(name string) string {
	s := g.lookup(name)
	if s == nil {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.releasedTo
}

// InFlight returns the requests in flight at the upstreams of the service, and those of
// earlier gates for which the node reserved slots last.
func (g *Gates) InFlight(name string) []*wire.InFlight {
	s := g.lookup(name)
	if s == nil {
		return nil
	}
	return s.reportInFlight()
}

// IsGateOf reports whether the node is the gate of the service, or is about to
// be.
func (g *Gates) IsGateOf(name string) bool {
	s := g.lookup(name)
	return s != nil && s.currentRole() != inactive
}

// AcquiredServices returns the sorted names of the services that the node is the
// gate of.
func (g *Gates) AcquiredServices() []string {
	var names []string
	for _, s := range g.allServices() {
		if s.currentRole() != inactive {
			names = append(names, s.definition.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Tick does the periodic work for the services that the node is the gate of: it
// updates the upstream states, hedge delays, admission and reports.
func (g *Gates) Tick(ctx context.Context, now time.Time) {
	for _, s := range g.allServices() {
		if s.currentRole() != inactive {
			s.tick(ctx, now)
		}
	}
}

// Describe returns the reports of the named services that the node is the gate
// of. It waits for services that are still being acquired. It also triggers a
// poll of the upstreams, since the caller asks because the last report that it
// had was insufficient.
func (g *Gates) Describe(ctx context.Context, names []string) []*wire.Report {
	var reports []*wire.Report
	for _, name := range names {
		s := g.lookup(name)
		if s == nil || !s.awaitAcquired(ctx) {
			continue
		}
		s.triggerPoll()
		if report := s.describe(); report != nil {
			reports = append(reports, report)
		}
	}
	return reports
}

// Serve executes the sub-requests of a batch concurrently and passes each reply
// to send as soon as it is available. It calls send from one goroutine only.
// standby is true if the node serves the batch in place of a lost gate; it then
// polls the upstreams first if it does not know their current state.
func (g *Gates) Serve(ctx context.Context, batch *wire.Batch, standby bool, send func(*wire.SubReply)) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(batch.GetRemainingMicros())*time.Microsecond)
	defer cancel()
	scope := memory.NewScope()
	defer scope.Release()
	if len(batch.GetSubRequests()) == 1 {
		send(g.serveOne(ctx, batch, batch.GetSubRequests()[0], standby, scope))
		return
	}
	replies := make(chan *wire.SubReply, len(batch.GetSubRequests()))
	for _, sub := range batch.GetSubRequests() {
		go g.runOne(ctx, batch, sub, standby, scope, replies)
	}
	for range batch.GetSubRequests() {
		send(<-replies)
	}
}

// runOne calls serveOne and sends the reply to the channel.
func (g *Gates) runOne(ctx context.Context, batch *wire.Batch, sub *wire.SubRequest, standby bool, scope *memory.Scope, replies chan<- *wire.SubReply) {
	replies <- g.serveOne(ctx, batch, sub, standby, scope)
}

// serveOne executes a sub-request. The memory of its reply is held by the scope.
func (g *Gates) serveOne(ctx context.Context, batch *wire.Batch, sub *wire.SubRequest, standby bool, scope *memory.Scope) *wire.SubReply {
	s := g.lookup(sub.GetService())
	kind, found := g.kind(batch.GetKind())
	if s == nil || !found || s.definition.Index+s.definition.Pool != kind.TargetName() {
		return notRunReply(batch, sub, answer.CodeNotGate)
	}
	reply := s.serve(ctx, batch, kind, standby, scope)
	reply.Report = s.reportUnlessKnown(sub.GetKnownReport(), standby)
	return reply
}

func (g *Gates) kind(name string) (document.Kind, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if g.document == nil {
		return document.Kind{}, false
	}
	return g.document.Kind(name)
}

func notRunReply(batch *wire.Batch, sub *wire.SubRequest, reason answer.Code) *wire.SubReply {
	return &wire.SubReply{
		RequestId: batch.GetRequestId(),
		Service:   sub.GetService(),
		Run:       wire.RunStatus_RUN_STATUS_NOT_RUN,
		Reason:    string(reason),
	}
}

func (g *Gates) updateMetrics(change func(*Metrics)) {
	g.metricsMu.Lock()
	defer g.metricsMu.Unlock()
	change(&g.metrics)
}

// Metrics returns a copy of the counters.
func (g *Gates) Metrics() Metrics {
	g.metricsMu.Lock()
	defer g.metricsMu.Unlock()
	return g.metrics
}

// random returns a generator for the named service. Its seed depends on the name,
// so that services draw different sequences from one configured seed.
func (g *Gates) random(name string) *rand.Rand {
	seed := g.config.Seed
	for _, b := range []byte(name) {
		seed = seed*31 + uint64(b)
	}
	return rand.New(rand.NewPCG(seed, g.config.Seed))
}

// Busy reports whether any attempt is in flight at an upstream. Sub-requests that
// wait for a slot do not count.
func (g *Gates) Busy() bool {
	for _, s := range g.allServices() {
		if len(s.inFlight()) > 0 {
			return true
		}
	}
	return false
}
