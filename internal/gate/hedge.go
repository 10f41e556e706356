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
}

// hedgeTimer fires when an attempt that starts now has become a straggler.
func (s *service) hedgeTimer(w *work) *time.Timer {
	s.mu.Lock()
	delay, known := s.delays.Delay()
	s.mu.Unlock()
	if known && w.kind.Repeat && s.gates.config.Mode != Direct {
		return time.NewTimer(delay)
	}
	never := time.NewTimer(time.Hour)
	never.Stop()
	return never
}

// ask queues the hedge if its budget allows it and no work of its own rank or
// a more urgent one waits: slots are scarce then.
func (h *hedge) ask() {
	s, w := h.service, h.work
	s.mu.Lock()
	defer s.mu.Unlock()
	if head, waiting := s.queue.Peek(); waiting && head.Rank <= w.kind.Rank {
		return
	}
	if !s.budgetsOf(w.kind).hedge.Spend() {
		return
	}
	s.hedges = append(s.hedges, w)
	s.pump(time.Now())
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
