package gate

import (
	"context"
	"slices"
	"time"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/pkg/replica"
)

// hedge is the second attempt that a straggling piece of work may get. It
// waits for a slot beside the queue, since it can't take just any.
type hedge struct {
	service *service
	work    *work
	timer   *time.Timer
	// since is when the attempt started, rescue when it counts as silent.
	since  time.Time
	rescue time.Duration
	// delay is the time after which it counts as a straggler.
	delay time.Duration
}

// Constants of the rescue of work that makes no progress at all.
const (
	// rescueFactor is how many hedge delays pass before a rescue.
	rescueFactor = 8
	// earliestRescue is the shortest time before a rescue, and the time while
	// no delay is known yet.
	earliestRescue = 200 * time.Millisecond
	// askAgain divides the hedge delay into the pause before a hedge that found
	// no room asks again; shortestAsk bounds it.
	askAgain    = 4
	shortestAsk = 2 * time.Millisecond
)

// rescueAfter is the time after which an attempt counts as silent: its
// connection may be dead, or its upstream. The service is locked.
func (s *service) rescueAfter() time.Duration {
	delay, known := s.delays.Delay()
	if !known {
		return earliestRescue
	}
	return max(earliestRescue, rescueFactor*delay)
}

// newHedge arms the timer for work whose first attempt starts now.
func (s *service) newHedge(w *work) *hedge {
	h := &hedge{service: s, work: w, since: time.Now()}
	s.mu.Lock()
	delay, known := s.delays.Delay()
	h.rescue = s.rescueAfter()
	s.mu.Unlock()
	h.delay = delay
	if !known {
		h.delay = h.rescue
	}
	h.timer = time.NewTimer(h.delay)
	if !w.kind.Repeat || s.gates.config.Mode == Direct {
		h.timer.Stop()
	}
	return h
}

// ask queues the hedge if its budget allows it and no work of its own rank or
// a more urgent one waits: slots are scarce then. Otherwise it asks again a
// little later. A rescue is paid from the budget of retries, since its first
// attempt is as good as failed.
func (h *hedge) ask() {
	s, w := h.service, h.work
	s.mu.Lock()
	defer s.mu.Unlock()
	if !h.mayStart() {
		h.timer.Reset(max(h.delay/askAgain, shortestAsk))
		return
	}
	s.hedges = append(s.hedges, w)
	s.pump(time.Now())
}

// mayStart takes the hedge out of a budget. The service is locked.
func (h *hedge) mayStart() bool {
	s, w := h.service, h.work
	if time.Since(h.since) >= h.rescue {
		return s.budgetsOf(w.kind).retry.Spend()
	}
	if head, waiting := s.queue.Peek(); waiting && head.Rank <= w.kind.Rank {
		return false
	}
	return s.budgetsOf(w.kind).hedge.Spend()
}

// pumpHedges gives free slots to the hedges that no more urgent work waits
// before. The service is locked.
func (s *service) pumpHedges(now time.Time) {
	s.hedges = slices.DeleteFunc(s.hedges, func(w *work) bool {
		if head, waiting := s.queue.Peek(); waiting && head.Rank < w.kind.Rank {
			return false
		}
		position := s.choose(now, w)
		if position < 0 {
			return false
		}
		s.set.Start(position, now)
		w.grant <- grant{position: position}
		return true
	})
}

// start begins the second attempt in the slot that was granted.
func (h *hedge) start(ctx context.Context, g grant) {
	s, w := h.service, h.work
	w.hedged = true
	s.gates.count(func(m *Metrics) { m.Hedges++ })
	s.gates.config.Recorder.Record(timeline.Event{
		Name:      timeline.HedgeStarted,
		RequestID: w.batch.GetRequestId(),
		Service:   s.definition.Name,
		Upstream:  s.definition.Upstreams[g.position],
	})
	s.begin(ctx, w, g.position)
}

// stop takes back a hedge that has not started.
func (h *hedge) stop() {
	h.timer.Stop()
	s := h.service
	s.mu.Lock()
	waiting := slices.Index(s.hedges, h.work)
	if waiting >= 0 {
		s.hedges = slices.Delete(s.hedges, waiting, waiting+1)
		s.budgetsOf(h.work.kind).hedge.Refund()
	}
	s.mu.Unlock()
	select {
	case g := <-h.work.grant:
		s.finish(g.position, replica.Declined, 0)
	default:
	}
}
