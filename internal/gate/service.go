package gate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/admission"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/queue"
	"github.com/bronzereach/bronzereach/pkg/replica"
)

// role is a node's part in a service.
type role uint8

const (
	// idle: another node is the gate.
	idle role = iota
	// acquiring: the node is the gate but does not know the upstreams yet.
	acquiring
	// holding: the node is the gate.
	holding
)

// Intervals of a service's systems.
const (
	pollInterval = time.Second
	// lossInterval is the shortest time between two polls after lost versions.
	lossInterval   = 30 * time.Millisecond
	pollTimeout    = 500 * time.Millisecond
	handoverPause  = 50 * time.Millisecond
	handoverWait   = 300 * time.Millisecond
	idleConnection = 5 * time.Minute
)

// budgets are the extra attempts that one kind of work may still make.
type budgets struct {
	hedge, retry replica.Budget
}

// service is a node's part in one service. The fields below mu are guarded by
// it; traffic and control both take it for short times.
type service struct {
	gates      *Gates
	definition document.Service
	client     *http.Client
	// ready is closed when the upstreams are known, anew for each acquisition.
	ready chan struct{}

	mu     sync.Mutex
	role   role
	floors []float64
	set    *replica.Set
	queue  *queue.Queue[*work]
	// hedges is the work that waits for a second attempt.
	hedges []*work
	meter  admission.Meter
	// capacity is in requests a second, as of the last tick; 0 if not known.
	capacity float64
	delays   *replica.Delays
	budgets  map[string]*budgets
	random   *rand.Rand
	lastPoll time.Time
	// held is what each upstream says it holds, by position.
	held     []heldVersions
	admitted admission.Fractions
	report   *wire.Report
	closed   bool
}

func newService(g *Gates, definition document.Service, d *document.Document) *service {
	connections := max(1, definition.Limits.Connections/connectionShare)
	slots := definition.Limits.Slots
	if g.config.Mode == Direct {
		connections = max(1, definition.Limits.Connections/max(1, g.config.DirectNodes))
		slots = max(1, slots/max(1, g.config.DirectNodes))
	}
	s := &service{
		gates:      g,
		definition: definition,
		client: &http.Client{Transport: &http.Transport{
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleConnection,
			DisableCompression:  true,
			ReadBufferSize:      4 << 10,
			WriteBufferSize:     4 << 10,
		}},
		ready:    make(chan struct{}),
		set:      replica.NewSet(definition.Upstreams, slots),
		delays:   replica.NewDelays(),
		budgets:  map[string]*budgets{},
		random:   g.random(definition.Name),
		held:     make([]heldVersions, len(definition.Upstreams)),
		admitted: admission.Everything(),
	}
	s.report = &wire.Report{Service: definition.Name}
	s.setDocument(d)
	return s
}

// sameAs reports whether nothing of the service has changed.
func (s *service) sameAs(definition document.Service, d *document.Document) bool {
	return s.definition.Limits == definition.Limits &&
		s.definition.Index == definition.Index &&
		slices.Equal(s.definition.Upstreams, definition.Upstreams) &&
		slices.Equal(s.floors, floorsOf(d))
}

func floorsOf(d *document.Document) []float64 {
	floors := make([]float64, len(d.Ranks))
	for i, rank := range d.Ranks {
		floors[i] = rank.Floor
	}
	return floors
}

func (s *service) setDocument(d *document.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue != nil {
		return
	}
	s.floors = floorsOf(d)
	if s.gates.config.Mode == Direct {
		s.floors = []float64{1}
	}
	s.queue = queue.New[*work](queue.Config{Floors: s.floors})
}

func (s *service) currentRole() role {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role
}

// acquire starts the part as gate; false if the node has it already.
func (s *service) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != idle || s.closed {
		return false
	}
	s.role = acquiring
	s.ready = make(chan struct{})
	return true
}

// loop takes the service over: it learns what the upstreams hold and waits for
// the predecessor's work, then starts.
func (s *service) loop(ctx context.Context, predecessor ReleasePredecessor) {
	s.poll(ctx)
	more := s.handover(ctx, predecessor)
	s.mu.Lock()
	if s.role == acquiring {
		s.role = holding
		close(s.ready)
		s.rebuildReport()
		s.pump(time.Now())
	}
	s.mu.Unlock()
	for more && ctx.Err() == nil {
		time.Sleep(handoverPause)
		more = s.handover(ctx, predecessor)
	}
}

// handover counts the predecessor's work in progress against the slots and
// reports whether there is any.
func (s *service) handover(ctx context.Context, predecessor ReleasePredecessor) bool {
	if predecessor == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, handoverWait)
	defer cancel()
	inFlight, err := predecessor(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	for position := range s.set.Len() {
		s.set.Reserve(position, 0)
	}
	if err != nil {
		// The predecessor is gone, and its work with it.
		s.pump(time.Now())
		return false
	}
	for _, f := range inFlight {
		if position := s.set.Position(f.GetUpstream()); position >= 0 {
			s.set.Reserve(position, int(f.GetCount()))
		}
	}
	s.pump(time.Now())
	return len(inFlight) > 0 && s.role == holding
}

// release ends the part as gate; false if the node does not have it.
func (s *service) release() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == idle {
		return false
	}
	s.role = idle
	for {
		item, ok := s.queue.Pop()
		if !ok {
			return true
		}
		item.Value.grant <- grant{refused: answer.CodeNotGate}
	}
}

func (s *service) close() {
	s.release()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.client.CloseIdleConnections()
}

func (s *service) inFlight() []*wire.InFlight {
	s.mu.Lock()
	defer s.mu.Unlock()
	var inFlight []*wire.InFlight
	for position := range s.set.Len() {
		if count := s.set.InFlight(position); count > 0 {
			inFlight = append(inFlight, &wire.InFlight{
				Upstream: s.set.Address(position),
				Count:    uint32(count),
			})
		}
	}
	return inFlight
}

// await waits until an acquisition has ended; false if the node is not the
// gate.
func (s *service) await(ctx context.Context) bool {
	s.mu.Lock()
	current, ready := s.role, s.ready
	s.mu.Unlock()
	if current != acquiring {
		return current == holding
	}
	select {
	case <-ready:
		return s.currentRole() == holding
	case <-ctx.Done():
		return false
	}
}

// tick runs the systems of a service that the node holds.
func (s *service) tick(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Tick(now)
	s.delays.Tick(now)
	s.updateAdmission(now)
	s.rebuildReport()
	s.refuseHopeless(now)
	s.pump(now)
	if now.Sub(s.lastPoll) >= pollInterval && s.role == holding {
		s.lastPoll = now
		go s.poll(ctx)
	}
}

// notice takes over news that an upstream leaves.
func (s *service) notice(address, incarnation string) {
	s.mu.Lock()
	position := s.set.Position(address)
	news := position >= 0 && s.set.Leave(position, incarnation)
	s.mu.Unlock()
	if news {
		s.gates.config.Recorder.Record(timeline.Event{
			Name:     timeline.UpstreamLeaving,
			Service:  s.definition.Name,
			Upstream: address,
		})
	}
}

func (s *service) budgetsOf(kind document.Kind) *budgets {
	b, found := s.budgets[kind.Name]
	if !found {
		b = &budgets{retry: replica.FullBudget()}
		s.budgets[kind.Name] = b
	}
	return b
}
