package gate

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/admission"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/queue"
	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// role is the role of the node for a service.
type role uint8

const (
	// inactive: another node is the gate.
	inactive role = iota
	// acquiring: the node is becoming the gate. It polls the upstreams and waits
	// for the predecessor; sub-requests are queued but get no slots.
	acquiring
	// active: the node is the gate.
	active
)

// Intervals and timeouts of a service.
const (
	pollInterval = time.Second
	// minTriggeredPollInterval is the shortest time between polls outside the
	// regular interval.
	minTriggeredPollInterval = 30 * time.Millisecond
	pollTimeout              = 500 * time.Millisecond
	handoverInterval         = 50 * time.Millisecond
	handoverTimeout          = 300 * time.Millisecond
	idleConnectionTimeout    = 5 * time.Minute
)

// budgets limits the extra attempts for one kind of request.
type budgets struct {
	hedge, retry replica.Budget
}

// service is the state of one service on this node. mu guards the fields below
// it. Request goroutines and the control goroutine share mu and must hold it only
// briefly.
type service struct {
	gates      *Gates
	definition document.Service
	client     *http.Client
	// acquisitionEnded is closed when the node has become the gate or has stepped down
	// before that. Each acquisition makes a new channel.
	acquisitionEnded chan struct{}

	mu   sync.Mutex
	role role
	// acquisition numbers the acquisitions, so that one that was broken off by a step
	// down does not complete the next one.
	acquisition uint64
	// reservedFor holds the requests of earlier gates for which slots are reserved, as
	// of the last answer of the predecessor.
	reservedFor []*wire.InFlight
	// releasedTo is the member that asked this node last to release the service.
	releasedTo string
	// floors is the minimum share of each rank, most urgent first.
	floors    []float64
	upstreams *replica.Set
	queue     *queue.Queue[*subRequest]
	// waitingHedges holds the sub-requests that wait for a slot for a second
	// attempt.
	waitingHedges []*subRequest
	meter         admission.Meter
	// capacity is the capacity of the upstreams in requests per second as of the
	// last tick, 0 if it is not known.
	capacity    float64
	hedgeDelays *replica.HedgeDelayEstimator
	budgets     map[string]*budgets
	random      *rand.Rand
	lastPoll    time.Time
	// polled is true once a poll has ended since the node began to become the gate.
	polled bool
	// reportedVersions holds the index versions that each upstream reports to hold,
	// by position.
	reportedVersions  []heldVersions
	admittedFractions admission.Fractions
	report            *wire.Report
	closed            bool
}

func newService(g *Gates, definition document.Service, d *document.Document) *service {
	connections := max(1, definition.Limits.Connections/connectionHolders)
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
			IdleConnTimeout:     idleConnectionTimeout,
			DisableCompression:  true,
			// Heads are not taken from the account of memory.
			MaxResponseHeaderBytes: upstream.MaximumHeadBytes,
			ReadBufferSize:         4 << 10,
			WriteBufferSize:        4 << 10,
		}},
		upstreams:         replica.NewSet(definition.Upstreams, slots),
		hedgeDelays:       replica.NewHedgeDelayEstimator(),
		budgets:           map[string]*budgets{},
		random:            g.random(definition.Name),
		reportedVersions:  make([]heldVersions, len(definition.Upstreams)),
		admittedFractions: admission.AdmitAll(),
	}
	s.report = &wire.Report{Service: definition.Name, Process: g.config.Process}
	s.initQueue(d)
	return s
}

// sameAs reports whether the service is unchanged in the new document.
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

// initQueue creates the queue with the rank floors of the document. Later calls do
// nothing: a service whose floors change is replaced, see sameAs.
func (s *service) initQueue(d *document.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue != nil {
		return
	}
	s.floors = floorsOf(d)
	if s.gates.config.Mode == Direct {
		s.floors = []float64{1}
	}
	s.queue = queue.New[*subRequest](queue.Config{Floors: s.floors})
}

func (s *service) currentRole() role {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role
}

// acquire starts an acquisition and returns its number. It returns false if the node
// is already the gate or the service is closed.
func (s *service) acquire() (acquisition uint64, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != inactive || s.closed {
		return 0, false
	}
	s.role = acquiring
	s.acquisition++
	s.polled = false
	s.acquisitionEnded = make(chan struct{})
	s.reserveFor(nil)
	return s.acquisition, true
}

// loop completes an acquisition: it polls the upstreams, asks the predecessor to
// release the service and makes the node the gate. It then keeps the slots that
// the predecessor still uses reserved until they are free.
func (s *service) loop(ctx context.Context, acquisition uint64, predecessor AskPredecessor) {
	s.poll(ctx)
	more := s.reserveForPredecessor(ctx, acquisition, predecessor, true)
	s.mu.Lock()
	if s.role == acquiring && s.acquisition == acquisition {
		s.role = active
		close(s.acquisitionEnded)
		s.rebuildReport()
		s.stampReport()
		s.dispatch(time.Now())
	}
	s.mu.Unlock()
	for more && ctx.Err() == nil {
		time.Sleep(handoverInterval)
		more = s.reserveForPredecessor(ctx, acquisition, predecessor, false)
	}
}

// isCurrent reports whether an acquisition was neither broken off nor followed by a
// step down. The caller holds s.mu.
func (s *service) isCurrent(acquisition uint64) bool {
	return s.role != inactive && s.acquisition == acquisition
}

// reserveForPredecessor reserves the slots of the requests that the predecessor
// still has in flight. It reports whether to call it again, because there are such
// requests and the acquisition is still current.
func (s *service) reserveForPredecessor(ctx context.Context, acquisition uint64, predecessor AskPredecessor, release bool) bool {
	s.mu.Lock()
	current := s.isCurrent(acquisition)
	s.mu.Unlock()
	if predecessor == nil || !current {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	inFlight, err := predecessor(ctx, release)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isCurrent(acquisition) {
		return false
	}
	if err != nil {
		// The predecessor can't be reached and is taken to have ended, together
		// with its requests.
		inFlight = nil
	}
	s.reserveFor(inFlight)
	s.dispatch(time.Now())
	return len(inFlight) > 0
}

// reserveFor reserves the slots of requests of earlier gates, in place of those that
// were reserved before. The caller holds s.mu.
func (s *service) reserveFor(inFlight []*wire.InFlight) {
	s.reservedFor = inFlight
	counts := make([]int, s.upstreams.Len())
	for _, f := range inFlight {
		if position := s.upstreams.Position(f.GetUpstream()); position >= 0 {
			counts[position] += int(f.GetCount())
		}
	}
	for position, count := range counts {
		s.upstreams.Reserve(position, count)
	}
}

// stepDown makes the node stop being the gate and refuses all queued
// sub-requests. It returns false if the node is not the gate.
func (s *service) stepDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == inactive {
		return false
	}
	if s.role == acquiring {
		close(s.acquisitionEnded)
	}
	s.role = inactive
	for {
		item, ok := s.queue.Pop()
		if !ok {
			return true
		}
		item.Value.slotGrant <- slotGrant{refused: answer.CodeNotGate}
	}
}

// recordRelease records the member to which the service was released.
func (s *service) recordRelease(to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releasedTo = to
}

// close steps down and prevents further acquisitions.
func (s *service) close() {
	s.stepDown()
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.client.CloseIdleConnections()
}

// inFlight lists the attempts in flight at each upstream that has any.
func (s *service) inFlight() []*wire.InFlight {
	s.mu.Lock()
	defer s.mu.Unlock()
	var inFlight []*wire.InFlight
	for position := range s.upstreams.Len() {
		if count := s.upstreams.InFlight(position); count > 0 {
			inFlight = append(inFlight, &wire.InFlight{
				Upstream: s.upstreams.Address(position),
				Count:    uint32(count),
				Vm:       s.gates.config.VM,
			})
		}
	}
	return inFlight
}

// reportInFlight lists the attempts in flight, and those of earlier gates for which slots
// are or were reserved last.
func (s *service) reportInFlight() []*wire.InFlight {
	inFlight := s.inFlight()
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(inFlight, s.reservedFor...)
}

// awaitAcquired waits for an acquisition in progress and reports whether the node
// is the gate.
func (s *service) awaitAcquired(ctx context.Context) bool {
	s.mu.Lock()
	current, ended := s.role, s.acquisitionEnded
	s.mu.Unlock()
	if current != acquiring {
		return current == active
	}
	select {
	case <-ended:
		return s.currentRole() == active
	case <-ctx.Done():
		return false
	}
}

// tick does the periodic work for a service that the node is the gate of.
func (s *service) tick(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams.Tick(now)
	s.hedgeDelays.Tick(now)
	s.updateAdmission(now)
	s.rebuildReport()
	s.refuseUnservable(now)
	s.dispatch(now)
	if now.Sub(s.lastPoll) >= pollInterval && s.role == active {
		s.lastPoll = now
		go s.poll(ctx)
	}
}

// budgetsOf returns the budgets of a kind. The retry budget of a new kind is full.
// The caller holds s.mu.
func (s *service) budgetsOf(kind document.Kind) *budgets {
	b, found := s.budgets[kind.Name]
	if !found {
		b = &budgets{retry: replica.FullBudget()}
		s.budgets[kind.Name] = b
	}
	return b
}
