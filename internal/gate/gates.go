// Package gate runs a node's part as the gate of services: it holds the
// connections and the slot counts of their upstreams, orders the waiting work,
// chooses replicas, hedges and retries.
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
)

// connectionShare divides an upstream's connection limit: the gate, its
// predecessor and a standby may hold connections at the same moment.
const connectionShare = 3

// Mode says how a node reaches upstreams.
type Mode string

// The modes.
const (
	// Gated sends the work of a service through one gate.
	Gated Mode = "gate"
	// Direct lets each node reach each upstream on its own, with a fixed share
	// of its slots, a random replica, no hedges and no ranks. It is the
	// baseline that gates are measured against.
	Direct Mode = "direct"
)

// Config describes a node's gates.
type Config struct {
	VM       string
	Recorder *timeline.Recorder
	Mode     Mode
	// DirectNodes is the number of nodes that share the slots in direct mode.
	DirectNodes int
	Seed        uint64
}

// Metrics counts what the gates of a node did.
type Metrics struct {
	// Requests counts sub-requests that got a slot, Attempts all attempts.
	Requests, Attempts, Hedges, Retries, Dropped, Refused int64
}

// Gates is the table of the services a node has a part in.
type Gates struct {
	config Config

	mu       sync.RWMutex
	services map[string]*service
	document *document.Document

	metrics   Metrics
	metricsMu sync.Mutex
}

// New returns gates without services.
func New(config Config) *Gates {
	return &Gates{config: config, services: map[string]*service{}}
}

// Apply takes over a document: services that are new or changed start afresh,
// those that are gone end.
func (g *Gates) Apply(d *document.Document) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.document = d
	kept := map[string]*service{}
	for _, definition := range d.Services {
		old, found := g.services[definition.Name]
		if found && old.sameAs(definition, d) {
			old.setDocument(d)
			kept[definition.Name] = old
			continue
		}
		kept[definition.Name] = newService(g, definition, d)
		if found {
			kept[definition.Name].role = old.currentRole()
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

func (g *Gates) get(name string) *service {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.services[name]
}

func (g *Gates) all() []*service {
	g.mu.RLock()
	defer g.mu.RUnlock()
	services := make([]*service, 0, len(g.services))
	for _, s := range g.services {
		services = append(services, s)
	}
	return services
}

// Predecessor asks the previous gate of a service to release it and returns
// what that still has in progress; an error if it can't be reached.
type ReleasePredecessor func(ctx context.Context) ([]*wire.InFlight, error)

// Hold makes the node the gate of a service. While a predecessor has requests
// in progress they count against the slots.
func (g *Gates) Acquire(ctx context.Context, name string, predecessor ReleasePredecessor) {
	s := g.get(name)
	if s == nil || !s.acquire() {
		return
	}
	g.config.Recorder.Record(timeline.Event{Name: timeline.GateAcquired, Service: name})
	go s.loop(ctx, predecessor)
}

// Yield ends the node's part as the gate of a service. Waiting work is given
// back as not run; work in progress ends in peace.
func (g *Gates) StepDown(name string) {
	s := g.get(name)
	if s == nil || !s.release() {
		return
	}
	g.config.Recorder.Record(timeline.Event{Name: timeline.GateReleased, Service: name})
}

// Release yields the service and returns what is still in progress there.
func (g *Gates) Release(name string) []*wire.InFlight {
	g.StepDown(name)
	s := g.get(name)
	if s == nil {
		return nil
	}
	return s.inFlight()
}

// Holds reports whether the node is the gate of the service.
func (g *Gates) IsGateOf(name string) bool {
	s := g.get(name)
	return s != nil && s.currentRole() != idle
}

// Held returns the names of the services the node is the gate of, sorted.
func (g *Gates) AcquiredServices() []string {
	var names []string
	for _, s := range g.all() {
		if s.currentRole() != idle {
			names = append(names, s.definition.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Tick runs the periodic systems over the services the node holds: state of
// the upstreams, hedge delays, admission and reports.
func (g *Gates) Tick(ctx context.Context, now time.Time) {
	for _, s := range g.all() {
		if s.currentRole() != idle {
			s.tick(ctx, now)
		}
	}
}

// Notice takes over news that an upstream leaves.
func (g *Gates) Notice(upstream, incarnation string) {
	for _, s := range g.all() {
		s.notice(upstream, incarnation)
	}
}

// Describe returns the reports of the services that the node holds, of those
// named. It waits for a service that has just been acquired, and has the
// upstreams asked again: who wants a report has found the last one wanting.
func (g *Gates) Describe(ctx context.Context, names []string) []*wire.Report {
	var reports []*wire.Report
	for _, name := range names {
		s := g.get(name)
		if s == nil || !s.await(ctx) {
			continue
		}
		s.pollSoon()
		reports = append(reports, s.currentReport())
	}
	return reports
}

// Serve does the sub-requests of a batch and sends each reply as it comes;
// send is called from one goroutine at a time. standby lets the node serve
// repeatable work of services it does not hold.
func (g *Gates) Serve(ctx context.Context, batch *wire.Batch, standby bool, send func(*wire.SubReply)) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(batch.GetRemainingMicros())*time.Microsecond)
	defer cancel()
	if len(batch.GetSubRequests()) == 1 {
		send(g.serveOne(ctx, batch, batch.GetSubRequests()[0], standby))
		return
	}
	replies := make(chan *wire.SubReply, len(batch.GetSubRequests()))
	for _, sub := range batch.GetSubRequests() {
		go g.runOne(ctx, batch, sub, standby, replies)
	}
	for range batch.GetSubRequests() {
		send(<-replies)
	}
}

func (g *Gates) runOne(ctx context.Context, batch *wire.Batch, sub *wire.SubRequest, standby bool, replies chan<- *wire.SubReply) {
	replies <- g.serveOne(ctx, batch, sub, standby)
}

func (g *Gates) serveOne(ctx context.Context, batch *wire.Batch, sub *wire.SubRequest, standby bool) *wire.SubReply {
	s := g.get(sub.GetService())
	kind, found := g.kind(batch.GetKind())
	if s == nil || !found || s.definition.Index+s.definition.Pool != kind.Target() {
		return notRun(batch, sub, answer.CodeNotGate)
	}
	reply := s.serve(ctx, batch, kind, standby)
	if report := s.currentReport(); report.GetSequence() != sub.GetKnownReport() {
		reply.Report = report
	}
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

func notRun(batch *wire.Batch, sub *wire.SubRequest, reason answer.Code) *wire.SubReply {
	return &wire.SubReply{
		RequestId: batch.GetRequestId(),
		Service:   sub.GetService(),
		Run:       wire.RunStatus_RUN_STATUS_NOT_RUN,
		Reason:    string(reason),
	}
}

func (g *Gates) count(change func(*Metrics)) {
	g.metricsMu.Lock()
	defer g.metricsMu.Unlock()
	change(&g.metrics)
}

// Metrics returns the counts so far.
func (g *Gates) Metrics() Metrics {
	g.metricsMu.Lock()
	defer g.metricsMu.Unlock()
	return g.metrics
}

func (g *Gates) random(name string) *rand.Rand {
	seed := g.config.Seed
	for _, b := range []byte(name) {
		seed = seed*31 + uint64(b)
	}
	return rand.New(rand.NewPCG(seed, g.config.Seed))
}

// Busy reports whether any sub-request is in progress or waits.
func (g *Gates) Busy() bool {
	for _, s := range g.all() {
		if len(s.inFlight()) > 0 {
			return true
		}
	}
	return false
}
