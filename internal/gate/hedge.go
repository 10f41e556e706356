package gate

import (
	"context"
	"slices"
	"time"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/pkg/replica"
)

// hedge is a possible second attempt of a sub-request, in parallel to a slow first
// one. Each retry counts as a first attempt again. The hedge waits for a slot
// outside the queue, because it can't use a slot of an upstream that already got
// an attempt.
type hedge struct {
	service    *service
	subRequest *subRequest
	timer      *time.Timer
	// startedAt is when the first attempt started. Once silentAfter has passed
	// since then, its upstream counts as silent.
	startedAt   time.Time
	silentAfter time.Duration
	// delay is the time after which the first attempt counts as a straggler.
	delay time.Duration
	// spent is the budget that the hedge was taken from; nil if it was taken from none
	// or has started.
	spent *replica.Budget
}

// Timing of hedges.
const (
	// silenceFactor is the silence timeout in multiples of the hedge delay.
	silenceFactor = 8
	// minSilenceTimeout is the shortest silence timeout. It also applies while no
	// hedge delay is known.
	minSilenceTimeout = 200 * time.Millisecond
	// A hedge that may not start yet checks again after the hedge delay divided
	// by recheckDivisor, but not before minRecheckInterval.
	recheckDivisor     = 4
	minRecheckInterval = 2 * time.Millisecond
)

// silenceTimeout returns the time without a reply after which an attempt counts
// as silent, because its connection or its upstream may be dead. The caller holds
// s.mu.
func (s *service) silenceTimeout() time.Duration {
	delay, known := s.hedgeDelays.Delay()
	if !known {
		return minSilenceTimeout
	}
	return max(minSilenceTimeout, silenceFactor*delay)
}

// newHedge starts the hedge timer of a sub-request whose attempt starts now. The
// timer is stopped at once if the sub-request may not be hedged.
func (s *service) newHedge(r *subRequest) *hedge {
	h := &hedge{service: s, subRequest: r, startedAt: time.Now()}
	s.mu.Lock()
	delay, known := s.hedgeDelays.Delay()
	h.silentAfter = s.silenceTimeout()
	s.mu.Unlock()
	h.delay = delay
	if !known {
		h.delay = h.silentAfter
	}
	h.timer = time.NewTimer(h.delay)
	if !r.kind.Repeatable || s.gates.config.Mode == Direct {
		h.timer.Stop()
	}
	return h
}

// tryQueue queues the hedge if its budget allows it and no sub-request of its own
// rank or a more urgent one is waiting, since slots are scarce then. Otherwise it
// resets the timer to check again later. If the first attempt counts as silent it
// is treated as failed, so the hedge is taken from the retry budget even while
// others wait.
func (h *hedge) tryQueue() {
	s, r := h.service, h.subRequest
	s.mu.Lock()
	defer s.mu.Unlock()
	if !h.spendBudget() {
		h.timer.Reset(max(h.delay/recheckDivisor, minRecheckInterval))
		return
	}
	s.waitingHedges = append(s.waitingHedges, r)
	s.dispatch(time.Now())
}

// spendBudget takes the hedge from a budget and reports whether it may start. The
// caller holds s.mu.
func (h *hedge) spendBudget() bool {
	s, r := h.service, h.subRequest
	spent := &s.budgetsOf(r.kind).retry
	if time.Since(h.startedAt) < h.silentAfter {
		if head, waiting := s.queue.Peek(); waiting && head.Rank <= r.kind.Rank {
			return false
		}
		spent = &s.budgetsOf(r.kind).hedge
	}
	if !spent.Spend() {
		return false
	}
	h.spent = spent
	return true
}

// dispatchHedges grants free slots to the hedges for which no more urgent
// sub-request is waiting. The caller holds s.mu.
func (s *service) dispatchHedges(now time.Time) {
	s.waitingHedges = slices.DeleteFunc(s.waitingHedges, func(r *subRequest) bool {
		if !s.mayStart(r) {
			return false
		}
		if head, waiting := s.queue.Peek(); waiting && head.Rank < r.kind.Rank {
			return false
		}
		position := s.chooseUpstream(now, r)
		if position < 0 {
			return false
		}
		s.upstreams.Start(position, now)
		r.slotGrant <- slotGrant{position: position}
		return true
	})
}

// start starts the second attempt in the granted slot.
func (h *hedge) start(ctx context.Context, g slotGrant) {
	s, r := h.service, h.subRequest
	r.hedged, h.spent = true, nil
	s.gates.updateMetrics(func(m *Metrics) { m.Hedges++ })
	s.gates.config.Recorder.Record(timeline.Event{
		Name:      timeline.HedgeStarted,
		RequestID: r.batch.GetRequestId(),
		Service:   s.definition.Name,
		Upstream:  s.definition.Upstreams[g.position],
	})
	s.startAttempt(ctx, r, g.position)
}

// stop cancels the hedge if it has not started, and refunds it to its budget. If it is
// still waiting, it is removed; if it was granted a slot that has not been used yet,
// the slot is freed.
func (h *hedge) stop() {
	h.timer.Stop()
	s := h.service
	s.mu.Lock()
	if waiting := slices.Index(s.waitingHedges, h.subRequest); waiting >= 0 {
		s.waitingHedges = slices.Delete(s.waitingHedges, waiting, waiting+1)
	}
	if h.spent != nil {
		h.spent.Refund()
	}
	s.mu.Unlock()
	select {
	case g := <-h.subRequest.slotGrant:
		s.finishAttempt(g.position, replica.Declined, 0)
	default:
	}
}
