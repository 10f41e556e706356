package gate

import (
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/replica"
)

// countTokens returns how many extra attempts a budget allows.
func countTokens(b replica.Budget) (count int) {
	for b.Spend() {
		count++
	}
	return count
}

// TestHedgeReturnsWhatItTook: a hedge that does not start returns its token to the budget
// it came from, whether it still waits for a slot or was granted one.
func TestHedgeReturnsWhatItTook(t *testing.T) {
	for name, excluded := range map[string]replica.Exclusion{
		"waiting": replica.Exclusion(0).With(0).With(1),
		"granted": 0,
	} {
		t.Run(name, func(t *testing.T) {
			s := startGates(t, "vm-1", startUpstreams(t, standin.UpstreamConfig{})).lookup("orders")
			s.role = active
			kind, _ := s.gates.kind("order")
			r := &subRequest{batch: &wire.Batch{}, kind: kind, deadline: time.Now().Add(time.Minute), excluded: excluded, slotGrant: make(chan slotGrant, 1)}
			budgets := s.budgetsOf(kind)
			hedges, retries := countTokens(budgets.hedge), countTokens(budgets.retry)
			h := s.newHedge(r)
			h.startedAt = time.Now().Add(-time.Hour)
			h.tryQueue()
			if got := countTokens(budgets.retry); got != retries-1 {
				t.Fatalf("%d retries are left of %d, want one less", got, retries)
			}
			h.stop()
			if got := countTokens(budgets.hedge); got != hedges {
				t.Errorf("%d hedges are left of %d", got, hedges)
			}
			if got := countTokens(budgets.retry); got != retries {
				t.Errorf("%d retries are left of %d", got, retries)
			}
			if inFlight := s.inFlight(); len(inFlight) > 0 {
				t.Errorf("in flight: %v", inFlight)
			}
		})
	}
}

// TestReleasedGateStartsNoHedge: a hedge that waits for a slot when the node steps down
// stays without one, as the next gate counts on what was in flight then.
func TestReleasedGateStartsNoHedge(t *testing.T) {
	s := startGates(t, "vm-1", startUpstreams(t, standin.UpstreamConfig{})).lookup("orders")
	s.role = active
	kind, _ := s.gates.kind("order")
	r := &subRequest{batch: &wire.Batch{}, kind: kind, deadline: time.Now().Add(time.Minute), slotGrant: make(chan slotGrant, 1)}
	s.mu.Lock()
	s.waitingHedges = append(s.waitingHedges, r)
	s.mu.Unlock()
	s.stepDown()
	s.mu.Lock()
	s.dispatch(time.Now())
	s.mu.Unlock()
	if inFlight := s.inFlight(); len(inFlight) > 0 {
		t.Errorf("in flight after the step down: %v", inFlight)
	}
}
