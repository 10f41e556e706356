package claim

import (
	"context"
	"sync"
	"time"

	"github.com/bronzereach/bronzereach/pkg/answer"
)

// Retention is how long the outcome of a run is kept after the run started. It
// exceeds TicketLifetime so that the run of a ticket that is still valid is
// never removed, which would let the ticket run again.
const Retention = 2 * TicketLifetime

// Run is a request that this process runs or has run, shared by all submissions
// under the same key.
type Run struct {
	// Request is the hash of the request submitted under the key.
	Request   uint64
	startedAt time.Time
	// done is closed once answer is set.
	done   chan struct{}
	answer *answer.Answer
}

// Wait returns the run's answer, or nil if the context ends first.
func (r *Run) Wait(ctx context.Context) *answer.Answer {
	select {
	case <-r.done:
		return r.answer
	case <-ctx.Done():
		return nil
	}
}

// RunTable holds the runs of this process by key. It admits one run per key.
type RunTable struct {
	mu   sync.Mutex
	runs map[string]*Run
}

// NewRunTable returns an empty table.
func NewRunTable() *RunTable {
	return &RunTable{runs: map[string]*Run{}}
}

// Start adds a run for the key. If the key already has a run, in progress or
// ended, it returns that one and created is false.
func (r *RunTable) Start(now time.Time, key string, request uint64) (run *Run, created bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run, found := r.runs[key]; found {
		return run, false
	}
	run = &Run{Request: request, startedAt: now, done: make(chan struct{})}
	r.runs[key] = run
	return run, true
}

// Complete sets the answer of a run and wakes those who wait for it. If the
// request did not run, the key is freed so that it can be submitted again.
func (r *RunTable) Complete(key string, run *Run, a *answer.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.answer = a
	close(run.done)
	if a.Status == answer.NotRun && r.runs[key] == run {
		delete(r.runs, key)
	}
}

// Cancel removes a run that this process did not carry out, because its claim
// was not acquired, and sets the answer for those who wait for it.
func (r *RunTable) Cancel(key string, run *Run, a *answer.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.answer = a
	close(run.done)
	if r.runs[key] == run {
		delete(r.runs, key)
	}
}

// Lookup returns the run of a key, if any.
func (r *RunTable) Lookup(key string) (*Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run, found := r.runs[key]
	return run, found
}

// Tick removes runs that have ended and started more than Retention ago.
func (r *RunTable) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, run := range r.runs {
		if run.answer != nil && now.Sub(run.startedAt) > Retention {
			delete(r.runs, key)
		}
	}
}
