package gate

import (
	"context"
	"time"

	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/queue"
	"github.com/bronzereach/bronzereach/pkg/replica"
)

// maximumAttempts is the number of attempts, hedges included, after which a
// sub-request is not retried. A hedge of the last retry may exceed it by one.
const maximumAttempts = 4

// noUpstreamTimeout is how long a sub-request waits while no upstream can serve
// it.
const noUpstreamTimeout = 250 * time.Millisecond

// slotGrant gives a sub-request a slot at an upstream, or refuses it.
type slotGrant struct {
	position int
	// refused is empty unless the sub-request is refused.
	refused answer.Code
}

// subRequest is a sub-request of a batch while its service executes it. Only its
// own goroutine accesses the fields below slotGrant.
type subRequest struct {
	batch *wire.Batch
	kind  document.Kind
	// scope holds the memory of the reply.
	scope     *memory.Scope
	deadline  time.Time
	createdAt time.Time
	// excluded and unservableSince are guarded by the mutex of the service.
	// excluded is the set of upstreams that already got an attempt.
	excluded        replica.Exclusion
	unservableSince time.Time
	// slotGrant has a buffer of one: the sub-request waits either in the queue or
	// for a hedge.
	slotGrant chan slotGrant

	results chan attemptResult
	// running counts the attempts in flight.
	running   int
	attempts  uint32
	hedged    bool
	queuedFor time.Duration
	// firstAttemptAt is when the first attempt started.
	firstAttemptAt time.Time
	// mayHaveRun is true once an attempt has ended without proof that the request
	// did not run.
	mayHaveRun bool
	// reason is the code to reply with if the sub-request fails.
	reason answer.Code
}

// serve executes one sub-request. It always returns a reply.
func (s *service) serve(ctx context.Context, batch *wire.Batch, kind document.Kind, standby bool, scope *memory.Scope) *wire.SubReply {
	deadline, _ := ctx.Deadline()
	r := &subRequest{
		batch:     batch,
		kind:      kind,
		scope:     scope,
		deadline:  deadline,
		createdAt: time.Now(),
		slotGrant: make(chan slotGrant, 1),
		results:   make(chan attemptResult, maximumAttempts),
		reason:    answer.CodeDeadline,
	}
	s.countArrival(r)
	if standby {
		s.pollIfStale(ctx)
	}
	return s.execute(ctx, r)
}

// countArrival adds the sub-request to the offered load and to the budgets of its
// kind.
func (s *service) countArrival(r *subRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.RecordRequest(r.kind.Rank, max(1, float64(r.batch.GetWeight())))
	b := s.budgetsOf(r.kind)
	b.hedge.Earn(r.kind.HedgeBudget)
	b.retry.Earn(r.kind.RetryBudget)
}

// pollIfStale polls the upstreams unless they were polled recently. A standby
// calls it, since it does not poll periodically.
func (s *service) pollIfStale(ctx context.Context) {
	s.mu.Lock()
	fresh := time.Since(s.lastPoll) < pollInterval
	s.lastPoll = time.Now()
	s.mu.Unlock()
	if !fresh {
		s.poll(ctx)
	}
}

// execute queues the sub-request, sends its attempts and returns its reply.
func (s *service) execute(ctx context.Context, r *subRequest) *wire.SubReply {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		position, refused := s.awaitSlot(ctx, r)
		if refused != "" {
			r.reason = refused
			return s.fail(r)
		}
		s.startAttempt(attemptCtx, r, position)
		if reply := s.awaitAttempts(ctx, attemptCtx, r); reply != nil {
			return reply
		}
		if !s.mayRetry(ctx, r) {
			return s.fail(r)
		}
	}
}

// awaitSlot queues the sub-request and waits for a slot.
func (s *service) awaitSlot(ctx context.Context, r *subRequest) (position int, refused answer.Code) {
	start := time.Now()
	item, refused := s.enqueue(r, start)
	if refused != "" {
		return 0, refused
	}
	select {
	case g := <-r.slotGrant:
		r.queuedFor += time.Since(start)
		return g.position, g.refused
	case <-ctx.Done():
	}
	s.mu.Lock()
	removed := s.queue.Remove(item)
	s.mu.Unlock()
	if !removed {
		if g := <-r.slotGrant; g.refused == "" {
			s.finishAttempt(g.position, replica.Declined, 0)
		}
	}
	return 0, endReason(ctx)
}

func endReason(ctx context.Context) answer.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return answer.CodeDeadline
	}
	return answer.CodeCancelled
}

// mayStart reports whether the node may start attempts of the sub-request: it is the
// gate, or a standby that serves in place of a lost one. The caller holds s.mu.
func (s *service) mayStart(r *subRequest) bool {
	return s.role != inactive || r.batch.GetLostGate() != ""
}

// enqueue adds the sub-request to the queue and grants the free slots. Without a
// lost gate in the batch, it refuses the sub-request if the node is not the gate.
func (s *service) enqueue(r *subRequest, now time.Time) (item *queue.Item[*subRequest], refused answer.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayStart(r) {
		return nil, answer.CodeNotGate
	}
	rank := r.kind.Rank
	if s.gates.config.Mode == Direct {
		rank = 0
	} else if s.wouldMissDeadline(r, now) {
		return nil, answer.CodeOverloaded
	}
	item = s.queue.Push(rank, r.deadline, r.batch.GetCaller(), r)
	s.dispatch(now)
	return item, ""
}

// wouldMissDeadline reports whether the sub-requests ahead in the queue will take
// longer than the time left until the deadline.
func (s *service) wouldMissDeadline(r *subRequest, now time.Time) bool {
	if s.capacity == 0 {
		return false
	}
	wait := float64(s.queue.CountAhead(r.kind.Rank)) / s.capacity
	return wait > r.deadline.Sub(now).Seconds()
}

// dispatch grants free slots to waiting hedges and queued sub-requests. The caller
// holds s.mu.
func (s *service) dispatch(now time.Time) {
	if s.role == acquiring {
		return
	}
	s.dispatchHedges(now)
	for {
		item, ok := s.queue.Peek()
		if !ok {
			return
		}
		r := item.Value
		if refused := s.hopelessReason(r, now); refused != "" {
			s.queue.Remove(item)
			r.slotGrant <- slotGrant{refused: refused}
			continue
		}
		position := s.chooseUpstream(now, r)
		if position < 0 {
			return
		}
		s.queue.Pop()
		s.upstreams.Start(position, now)
		r.slotGrant <- slotGrant{position: position}
	}
}

// hopelessReason returns the code to refuse the sub-request with if its deadline has
// passed or no upstream wants it before that, and none otherwise. The caller holds s.mu.
func (s *service) hopelessReason(r *subRequest, now time.Time) answer.Code {
	if !now.Before(r.deadline) {
		return answer.CodeDeadline
	}
	if s.unwanted(r) {
		return answer.CodeNoUpstream
	}
	return ""
}

// chooseUpstream returns the position of an upstream with a free slot, or -1.
func (s *service) chooseUpstream(now time.Time, r *subRequest) int {
	return s.upstreams.Choose(now, r.batch.GetVersion(), r.excluded, s.random)
}

// refuseUnservable refuses the sub-request at the head of the queue once no
// upstream could have served it for noUpstreamTimeout, even with all slots free, and
// none named a time after which it may in time. The caller holds s.mu.
func (s *service) refuseUnservable(now time.Time) {
	for {
		item, ok := s.queue.Peek()
		if !ok || s.servable(item.Value, now) || s.servableLater(item.Value, now) {
			return
		}
		r := item.Value
		if r.unservableSince.IsZero() {
			r.unservableSince = now
		}
		if now.Sub(r.unservableSince) < noUpstreamTimeout {
			return
		}
		s.queue.Remove(item)
		r.slotGrant <- slotGrant{refused: s.unservableReason(r, now)}
	}
}

// servable reports whether a usable upstream that has not had an attempt yet holds
// the version of the sub-request.
func (s *service) servable(r *subRequest, now time.Time) bool {
	for position := range s.upstreams.Len() {
		if !r.excluded.Has(position) && s.upstreams.CanServe(position, r.batch.GetVersion(), now) {
			return true
		}
	}
	return false
}

// servableLater reports whether an upstream that has not had an attempt yet holds the
// version of the sub-request and wants no requests now, but some before its deadline.
func (s *service) servableLater(r *subRequest, now time.Time) bool {
	for position := range s.upstreams.Len() {
		if !r.excluded.Has(position) && s.upstreams.Returns(position, r.batch.GetVersion(), now, r.deadline) {
			return true
		}
	}
	return false
}

// unservableReason distinguishes a missing version from missing upstreams.
func (s *service) unservableReason(r *subRequest, now time.Time) answer.Code {
	for position := range s.upstreams.Len() {
		if s.upstreams.Usable(position, now) && !r.excluded.Has(position) {
			return answer.CodeVersionGone
		}
	}
	return answer.CodeNoUpstream
}

// startAttempt starts an attempt at the upstream. The caller has obtained the
// slot.
func (s *service) startAttempt(ctx context.Context, r *subRequest, position int) {
	if r.attempts == 0 {
		r.firstAttemptAt = time.Now()
	}
	r.attempts++
	r.running++
	s.mu.Lock()
	r.excluded = r.excluded.With(position)
	incarnation := s.upstreams.Incarnation(position)
	s.mu.Unlock()
	s.gates.updateMetrics(func(m *Metrics) { m.Attempts++ })
	a := &attempt{service: s, subRequest: r, position: position, incarnation: incarnation, number: r.attempts}
	r.scope.Retain()
	a.openLease()
	go a.run(ctx)
}

// awaitAttempts waits for the attempts in flight and starts a hedge if it is due.
// It returns the reply once an attempt has succeeded or the context has ended, and
// nil if all attempts failed.
func (s *service) awaitAttempts(ctx, attemptCtx context.Context, r *subRequest) *wire.SubReply {
	h := s.newHedge(r)
	defer h.stop()
	for r.running > 0 {
		select {
		case result := <-r.results:
			r.running--
			if result.reply != nil {
				return s.succeed(r, result)
			}
			r.mayHaveRun = r.mayHaveRun || result.mayHaveRun
			r.reason = result.reason
		case <-h.timer.C:
			h.tryQueue()
		case g := <-r.slotGrant:
			h.start(attemptCtx, g)
		case <-ctx.Done():
			r.mayHaveRun = true
			r.reason = endReason(ctx)
			return s.fail(r)
		}
	}
	return nil
}

// mayRetry decides whether a sub-request whose attempts all failed gets another
// one, and takes it from the retry budget. A request that may have run is only
// retried if its kind allows repetition.
func (s *service) mayRetry(ctx context.Context, r *subRequest) bool {
	if ctx.Err() != nil || r.attempts >= maximumAttempts || s.gates.config.Mode == Direct {
		return false
	}
	if r.mayHaveRun && !r.kind.Repeatable {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.servable(r, time.Now()) || !s.budgetsOf(r.kind).retry.Spend() {
		return false
	}
	s.gates.updateMetrics(func(m *Metrics) { m.Retries++ })
	return true
}

// finishAttempt records the outcome of an attempt, frees its slot and grants free
// slots to waiting sub-requests.
func (s *service) finishAttempt(position int, outcome replica.Outcome, took time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams.Finish(position, now, outcome, took)
	if outcome == replica.Succeeded || outcome == replica.Abandoned {
		s.hedgeDelays.Record(took)
	}
	s.dispatch(now)
}

// succeed counts the sub-request and completes the reply of its attempt.
func (s *service) succeed(r *subRequest, result attemptResult) *wire.SubReply {
	s.gates.updateMetrics(func(m *Metrics) { m.Requests++ })
	reply := result.reply
	reply.RequestId = r.batch.GetRequestId()
	reply.Service = s.definition.Name
	reply.Run = wire.RunStatus_RUN_STATUS_RAN
	reply.Upstream = s.definition.Upstreams[result.position]
	reply.Attempts = r.attempts
	reply.Hedged = r.hedged
	reply.QueuedMicros = r.queuedFor.Microseconds()
	reply.ServedMicros = time.Since(r.firstAttemptAt).Microseconds()
	return reply
}

// fail counts the sub-request and builds the reply that it was not run, or that it
// may have run.
func (s *service) fail(r *subRequest) *wire.SubReply {
	s.gates.updateMetrics(func(m *Metrics) { m.Refused++ })
	run := wire.RunStatus_RUN_STATUS_NOT_RUN
	if r.mayHaveRun {
		run = wire.RunStatus_RUN_STATUS_UNKNOWN
	}
	return &wire.SubReply{
		RequestId:    r.batch.GetRequestId(),
		Service:      s.definition.Name,
		Run:          run,
		Reason:       string(r.reason),
		Attempts:     r.attempts,
		QueuedMicros: r.queuedFor.Microseconds(),
	}
}
