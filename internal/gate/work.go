package gate

import (
	"context"
	"time"

	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/queue"
	"github.com/bronzereach/bronzereach/pkg/replica"
)

// maximumAttempts bounds the attempts of one sub-request.
const maximumAttempts = 4

// noUpstreamPatience is how long work waits while no upstream can take it.
const noUpstreamPatience = 250 * time.Millisecond

// grant gives a piece of work a slot at an upstream, or refuses it.
type grant struct {
	position int
	// refused is set if there is no slot to come.
	refused answer.Code
}

// work is one sub-request on its way through a service. Only its own
// goroutine touches the fields below grant.
type work struct {
	batch    *wire.Batch
	kind     document.Kind
	deadline time.Time
	since    time.Time
	// excluded and hopelessSince are guarded by the service.
	excluded      replica.Exclusion
	hopelessSince time.Time
	// grant holds one slot at most.
	grant chan grant

	results  chan attemptResult
	running  int
	attempts uint32
	hedged   bool
	queued   time.Duration
	// began is when the first attempt started.
	began time.Time
	// mayHaveRun is true once an attempt ended without saying that it did not
	// run.
	mayHaveRun bool
	reason     answer.Code
}

// serve does one sub-request and always returns a reply.
func (s *service) serve(ctx context.Context, batch *wire.Batch, kind document.Kind, standby bool) *wire.SubReply {
	deadline, _ := ctx.Deadline()
	w := &work{
		batch:    batch,
		kind:     kind,
		deadline: deadline,
		since:    time.Now(),
		grant:    make(chan grant, 1),
		results:  make(chan attemptResult, maximumAttempts),
		reason:   answer.CodeDeadline,
	}
	s.arrive(w)
	if standby {
		s.becomeStandby(ctx)
	}
	return s.follow(ctx, w)
}

// arrive counts the work in the offered load and in the budgets.
func (s *service) arrive(w *work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.Arrive(w.kind.Rank, max(1, float64(w.batch.GetWeight())))
	b := s.budgetsOf(w.kind)
	b.hedge.Earn(w.kind.Hedge)
	b.retry.Earn(w.kind.Retry)
}

// becomeStandby learns the upstreams of a service whose gate is lost.
func (s *service) becomeStandby(ctx context.Context) {
	s.mu.Lock()
	fresh := time.Since(s.lastPoll) < pollInterval
	s.lastPoll = time.Now()
	s.mu.Unlock()
	if !fresh {
		s.poll(ctx)
	}
}

// follow takes the work from the queue to its reply.
func (s *service) follow(ctx context.Context, w *work) *wire.SubReply {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		position, refused := s.wait(ctx, w)
		if refused != "" {
			w.reason = refused
			return s.fail(w)
		}
		s.begin(attemptCtx, w, position)
		if reply := s.collect(ctx, attemptCtx, w); reply != nil {
			return reply
		}
		if !s.mayRetry(ctx, w) {
			return s.fail(w)
		}
	}
}

// wait queues the work until it has a slot.
func (s *service) wait(ctx context.Context, w *work) (position int, refused answer.Code) {
	start := time.Now()
	item, refused := s.enqueue(w, start)
	if refused != "" {
		return 0, refused
	}
	select {
	case g := <-w.grant:
		w.queued += time.Since(start)
		return g.position, g.refused
	case <-ctx.Done():
	}
	s.mu.Lock()
	removed := s.queue.Remove(item)
	s.mu.Unlock()
	if !removed {
		if g := <-w.grant; g.refused == "" {
			s.finish(g.position, replica.Declined, 0)
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

// enqueue adds the work to the queue and starts what can start.
func (s *service) enqueue(w *work, now time.Time) (item *queue.Item[*work], refused answer.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == idle && w.batch.GetLostGate() == "" {
		return nil, answer.CodeNotGate
	}
	rank := w.kind.Rank
	if s.gates.config.Mode == Direct {
		rank = 0
	} else if s.tooLate(w, now) {
		return nil, answer.CodeOverloaded
	}
	item = s.queue.Push(rank, w.deadline, w.batch.GetCaller(), w)
	s.pump(now)
	return item, ""
}

// tooLate reports whether the work that waits before it will not be done by the
// work's deadline.
func (s *service) tooLate(w *work, now time.Time) bool {
	if s.capacity == 0 {
		return false
	}
	wait := float64(s.queue.Ahead(w.kind.Rank)) / s.capacity
	return wait > w.deadline.Sub(now).Seconds()
}

// pump gives free slots to waiting work. The service is locked.
func (s *service) pump(now time.Time) {
	if s.role == acquiring {
		return
	}
	s.pumpHedges(now)
	for {
		item, ok := s.queue.Peek()
		if !ok {
			return
		}
		w := item.Value
		if refused := s.pointless(w, now); refused != "" {
			s.queue.Remove(item)
			w.grant <- grant{refused: refused}
			continue
		}
		position := s.choose(now, w)
		if position < 0 {
			return
		}
		s.queue.Pop()
		s.set.Start(position, now)
		w.grant <- grant{position: position}
	}
}

// pointless says why work is not worth a slot any more.
func (s *service) pointless(w *work, now time.Time) answer.Code {
	if !now.Before(w.deadline) {
		return answer.CodeDeadline
	}
	return ""
}

func (s *service) choose(now time.Time, w *work) int {
	return s.set.Choose(now, w.batch.GetVersion(), w.excluded, s.random)
}

// refuseHopeless ends the wait of work that no upstream could take even if all
// its slots were free. The service is locked.
func (s *service) refuseHopeless(now time.Time) {
	for {
		item, ok := s.queue.Peek()
		if !ok || s.servable(item.Value, now) {
			return
		}
		w := item.Value
		if w.hopelessSince.IsZero() {
			w.hopelessSince = now
		}
		if now.Sub(w.hopelessSince) < noUpstreamPatience {
			return
		}
		s.queue.Remove(item)
		w.grant <- grant{refused: s.hopelessReason(w, now)}
	}
}

func (s *service) servable(w *work, now time.Time) bool {
	for position := range s.set.Len() {
		if !w.excluded.Has(position) && s.set.Holds(position, w.batch.GetVersion(), now) {
			return true
		}
	}
	return false
}

func (s *service) hopelessReason(w *work, now time.Time) answer.Code {
	for position := range s.set.Len() {
		if s.set.Usable(position, now) && !w.excluded.Has(position) {
			return answer.CodeVersionGone
		}
	}
	return answer.CodeNoUpstream
}

// begin starts an attempt at the upstream, whose slot is already taken.
func (s *service) begin(ctx context.Context, w *work, position int) {
	if w.attempts == 0 {
		w.began = time.Now()
	}
	w.attempts++
	w.running++
	s.mu.Lock()
	w.excluded = w.excluded.With(position)
	s.mu.Unlock()
	s.gates.count(func(m *Metrics) { m.Attempts++ })
	a := &attempt{service: s, work: w, position: position, number: w.attempts}
	go a.run(ctx)
}

// collect waits for the attempts in progress. It returns a reply when one
// succeeded or the time is over, and nil if all failed.
func (s *service) collect(ctx, attemptCtx context.Context, w *work) *wire.SubReply {
	h := s.newHedge(w)
	defer h.stop()
	for w.running > 0 {
		select {
		case result := <-w.results:
			w.running--
			if result.reply != nil {
				return s.succeed(w, result)
			}
			w.mayHaveRun = w.mayHaveRun || result.mayHaveRun
			w.reason = result.reason
		case <-h.timer.C:
			h.ask()
		case g := <-w.grant:
			h.start(attemptCtx, g)
		case <-ctx.Done():
			w.mayHaveRun = true
			w.reason = endReason(ctx)
			return s.fail(w)
		}
	}
	return nil
}

// mayRetry decides whether work whose attempts all failed gets another one.
func (s *service) mayRetry(ctx context.Context, w *work) bool {
	if ctx.Err() != nil || w.attempts >= maximumAttempts || s.gates.config.Mode == Direct {
		return false
	}
	if w.mayHaveRun && !w.kind.Repeat {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.servable(w, time.Now()) || !s.budgetsOf(w.kind).retry.Spend() {
		return false
	}
	s.gates.count(func(m *Metrics) { m.Retries++ })
	return true
}

// finish gives the slot back and lets the next work start.
func (s *service) finish(position int, outcome replica.Outcome, took time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Finish(position, now, outcome, took)
	if outcome == replica.Succeeded || outcome == replica.Abandoned {
		s.delays.Add(took)
	}
	s.pump(now)
}

func (s *service) succeed(w *work, result attemptResult) *wire.SubReply {
	s.gates.count(func(m *Metrics) { m.Requests++ })
	reply := result.reply
	reply.RequestId = w.batch.GetRequestId()
	reply.Service = s.definition.Name
	reply.Run = wire.RunStatus_RUN_STATUS_RAN
	reply.Upstream = s.definition.Upstreams[result.position]
	reply.Attempts = w.attempts
	reply.Hedged = w.hedged
	reply.QueuedMicros = w.queued.Microseconds()
	reply.ServedMicros = time.Since(w.began).Microseconds()
	return reply
}

func (s *service) fail(w *work) *wire.SubReply {
	s.gates.count(func(m *Metrics) { m.Refused++ })
	run := wire.RunStatus_RUN_STATUS_NOT_RUN
	if w.mayHaveRun {
		run = wire.RunStatus_RUN_STATUS_UNKNOWN
	}
	return &wire.SubReply{
		RequestId:    w.batch.GetRequestId(),
		Service:      s.definition.Name,
		Run:          run,
		Reason:       string(w.reason),
		Attempts:     w.attempts,
		QueuedMicros: w.queued.Microseconds(),
	}
}
