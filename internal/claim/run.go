package claim

import (
	"context"
	"sync"
	"time"

	"github.com/bronzereach/bronzereach/pkg/answer"
)

// Retention is how long the outcome of a run is kept after the run began. It
// is longer than the life of a ticket, so that a ticket that may still be used
// has never been forgotten.
const Retention = 2 * TicketLifetime

// Run is one request that this process has undertaken to run.
type Run struct {
	// Request identifies what was asked for under the key.
	Request uint64
	began   time.Time
	// done is closed when answer is set.
	done   chan struct{}
	answer *answer.Answer
}

// Wait returns the run's answer; nil if the context ends first.
func (r *Run) Wait(ctx context.Context) *answer.Answer {
	select {
	case <-r.done:
		return r.answer
	case <-ctx.Done():
		return nil
	}
}

// Runs is the table of the runs of this process by key.
type RunTable struct {
	mu   sync.Mutex
	runs map[string]*Run
}

// NewRuns returns an empty table.
func NewRunTable() *RunTable {
	return &RunTable{runs: map[string]*Run{}}
}

// Begin undertakes a run. mine is false if the key has one already, in
// progress or ended.
func (r *RunTable) Start(now time.Time, key string, request uint64) (run *Run, mine bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run, found := r.runs[key]; found {
		return run, false
	}
	run = &Run{Request: request, began: now, done: make(chan struct{})}
	r.runs[key] = run
	return run, true
}

// End hands in the answer of a run. A request that did not run may be tried
// again under its key.
func (r *RunTable) Complete(key string, run *Run, a *answer.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.answer = a
	close(run.done)
	if a.Status == answer.NotRun && r.runs[key] == run {
		delete(r.runs, key)
	}
}

// Cancel hands in the answer for those who wait for a run that this process
// did not get to make, and forgets it.
func (r *RunTable) Cancel(key string, run *Run, a *answer.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.answer = a
	close(run.done)
	if r.runs[key] == run {
		delete(r.runs, key)
	}
}

// Find returns the run of a key, if there is one.
func (r *RunTable) Lookup(key string) (*Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run, found := r.runs[key]
	return run, found
}

// Tick forgets the runs that ended long ago.
func (r *RunTable) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, run := range r.runs {
		if run.answer != nil && now.Sub(run.began) > Retention {
			delete(r.runs, key)
		}
	}
}
