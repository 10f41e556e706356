package claim

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/memory"
)

// Retention is how long the outcome of a run is kept after the run started. It
// exceeds TicketLifetime so that the run of a ticket that is still valid is
// never removed, which would let the ticket run again.
const Retention = 2 * TicketLifetime

// What a run takes in memory: besides its key and its answer, and what an answer takes besides
// its records, and for each shard and record.
const (
	runBytes    memory.Bytes = 512
	answerBytes memory.Bytes = memory.Kilobyte
	shardBytes  memory.Bytes = 256
	recordBytes memory.Bytes = 24
)

// Run is a request that this process runs or has run, shared by all submissions
// under the same key.
type Run struct {
	// Request is the hash of the request submitted under the key.
	Request   uint64
	key       string
	startedAt time.Time
	// done is closed once the run has ended. The fields below are set before; the answer
	// becomes nil once it is dropped.
	done   chan struct{}
	status answer.Status
	answer atomic.Pointer[answer.Answer]

	// The fields below are guarded by the table's lock. position is the place among all
	// runs of the table, kept that among those whose answers it has; nil if there is none.
	position, kept *list.Element
	ended          bool
}

// Wait waits for the end of the run. It returns the answer, which is nil if it is not kept any
// more; ended is false if the context ends first.
func (r *Run) Wait(ctx context.Context) (a *answer.Answer, ended bool) {
	select {
	case <-r.done:
	case <-ctx.Done():
	}
	// Both may be over.
	select {
	case <-r.done:
		return r.answer.Load(), true
	default:
		return nil, false
	}
}

// Status returns the status of the answer of a run that has ended.
func (r *Run) Status() answer.Status {
	return r.status
}

// RunTable holds the runs of this process by key. It admits one run per key. If it takes too
// much memory it drops the answers of the oldest runs; that they ran it never forgets before
// their time.
type RunTable struct {
	// limit is the memory that the table may take; 0 for no bound.
	limit memory.Bytes

	mu   sync.Mutex
	runs map[string]*Run
	// order holds all runs by their start, kept those whose answers are kept by their end.
	order, kept *list.List
	// held is what the table takes. Without answers it is at most limit.
	held memory.Bytes
}

// NewRunTable returns an empty table that may take the memory; 0 for no bound.
func NewRunTable(limit memory.Bytes) *RunTable {
	return &RunTable{limit: limit, runs: map[string]*Run{}, order: list.New(), kept: list.New()}
}

// Start adds a run for the key. If the key already has a run, in progress or
// ended, it returns that one and created is false. If there is no room for one more run it
// returns nil.
func (r *RunTable) Start(now time.Time, key string, request uint64) (run *Run, created bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run, found := r.runs[key]; found {
		return run, false
	}
	size := runBytes + memory.Bytes(len(key))
	r.dropAnswers(size)
	if r.limit > 0 && r.held+size > r.limit {
		return nil, false
	}
	run = &Run{Request: request, key: key, startedAt: now, done: make(chan struct{})}
	r.runs[key] = run
	run.position = r.order.PushBack(run)
	r.held += size
	return run, true
}

// UntilRoom returns how long it takes at most until there is room for another run.
func (r *RunTable) UntilRoom(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.order.Front()
	if oldest == nil {
		return 0
	}
	return max(Retention-now.Sub(oldest.Value.(*Run).startedAt), 0)
}

// Held returns what the table takes.
func (r *RunTable) Held() memory.Bytes {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// Complete sets the answer of a run and wakes those who wait for it. If the
// request did not run, the key is freed so that it can be submitted again.
func (r *RunTable) Complete(run *Run, a *answer.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.end(a)
	if a.Status == answer.NotRun {
		r.remove(run)
		return
	}
	if r.runs[run.key] != run {
		return
	}
	run.kept = r.kept.PushBack(run)
	r.held += sizeOf(a)
	r.dropAnswers(0)
}

// Cancel removes a run that this process did not carry out, because its claim
// was not acquired, and sets the answer for those who wait for it.
func (r *RunTable) Cancel(run *Run, a *answer.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.end(a)
	r.remove(run)
}

// end sets the answer. The caller holds the table's lock.
func (r *Run) end(a *answer.Answer) {
	r.status, r.ended = a.Status, true
	r.answer.Store(a)
	close(r.done)
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
	var next *list.Element
	for e := r.order.Front(); e != nil; e = next {
		next = e.Next()
		run := e.Value.(*Run)
		if now.Sub(run.startedAt) <= Retention {
			return
		}
		if run.ended {
			r.remove(run)
		}
	}
}

// remove removes a run unless it was removed before. The caller holds mu.
func (r *RunTable) remove(run *Run) {
	if r.runs[run.key] != run {
		return
	}
	delete(r.runs, run.key)
	r.order.Remove(run.position)
	r.held -= runBytes + memory.Bytes(len(run.key))
	r.forgetAnswer(run)
}

// forgetAnswer stops counting the answer of a run. The caller holds mu.
func (r *RunTable) forgetAnswer(run *Run) {
	if run.kept == nil {
		return
	}
	r.kept.Remove(run.kept)
	run.kept = nil
	r.held -= sizeOf(run.answer.Load())
}

// dropAnswers drops the oldest answers until there is room for the bytes. The caller holds mu.
func (r *RunTable) dropAnswers(needed memory.Bytes) {
	for r.limit > 0 && r.held+needed > r.limit && r.kept.Len() > 0 {
		run := r.kept.Front().Value.(*Run)
		r.forgetAnswer(run)
		run.answer.Store(nil)
	}
}

// sizeOf returns what an answer takes in memory, roughly.
func sizeOf(a *answer.Answer) memory.Bytes {
	size := answerBytes + shardBytes*memory.Bytes(len(a.Coverage.Included)+len(a.Coverage.Omitted)+len(a.Sums))
	for _, record := range a.Records {
		size += recordBytes + memory.Bytes(len(record))
	}
	return size
}
