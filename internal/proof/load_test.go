package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/caller"
	"github.com/bronzereach/bronzereach/pkg/query"
	"github.com/bronzereach/bronzereach/pkg/snapshot"
)

// checkAnswer checks that an answer is correct: its records are all of one index
// version without duplicates, and its coverage matches the ranges and records in
// it.
func checkAnswer(t *testing.T, a *answer.Answer) {
	t.Helper()
	seen := map[string]bool{}
	marker := fmt.Sprintf("of version %d", a.Snapshot.Version)
	for _, record := range a.Records {
		if !strings.HasSuffix(string(record), marker) {
			t.Errorf("record %q in an answer of index version %d", record, a.Snapshot.Version)
		}
		if seen[string(record)] {
			t.Errorf("record %q occurs twice", record)
		}
		seen[string(record)] = true
	}
	var ranges []snapshot.Range
	for _, included := range a.Coverage.Included {
		ranges = append(ranges, included.Ranges...)
	}
	fraction, tiled := snapshot.MeasureCoverage(ranges)
	if a.Coverage.Fraction != fraction || a.Coverage.Complete != tiled {
		t.Errorf("coverage %v, complete %t; its ranges give %v, %t", a.Coverage.Fraction, a.Coverage.Complete, fraction, tiled)
	}
	if a.Coverage.Complete && a.Error == nil && len(a.Records) != recordCount {
		t.Errorf("%d records in a complete answer, want %d", len(a.Records), recordCount)
	}
}

// checkAnswers checks every answer and returns how many are incomplete.
func checkAnswers(t *testing.T, answers []*answer.Answer) (incomplete int) {
	t.Helper()
	for _, a := range answers {
		checkAnswer(t, a)
		if !a.Coverage.Complete {
			incomplete++
			t.Logf("incomplete after %d µs and %d restarts, status %s, error %+v: %+v", a.Times.TookMicros, a.Times.Restarts, a.Status, a.Error, a.Coverage.Omitted)
		}
	}
	return incomplete
}

// backgroundLoad sends queries from several goroutines until finish is called, and
// records every answer and error.
type backgroundLoad struct {
	cluster *cluster
	stop    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	answers []*answer.Answer
	errors  []error
}

// loadWorkers is the number of goroutines that send queries.
const loadWorkers = 6

// backgroundLoad starts to send queries through the client.
func (c *cluster) backgroundLoad(client *caller.Client) *backgroundLoad {
	load := &backgroundLoad{cluster: c, stop: make(chan struct{})}
	for range loadWorkers {
		load.group.Add(1)
		go load.loop(client)
	}
	return load
}

func (l *backgroundLoad) loop(client *caller.Client) {
	defer l.group.Done()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		a, err := client.Query(context.Background(), query.Request{Kind: "search", Query: query.Text("record")})
		l.mu.Lock()
		if err != nil {
			l.errors = append(l.errors, err)
		} else {
			l.answers = append(l.answers, a)
		}
		l.mu.Unlock()
	}
}

// finish stops the load and returns all answers and errors.
func (l *backgroundLoad) finish() ([]*answer.Answer, []error) {
	close(l.stop)
	l.group.Wait()
	return l.answers, l.errors
}

// client returns a client that knows all running nodes.
func (c *cluster) client() *caller.Client {
	var seeds []string
	for _, p := range c.runningNodes() {
		seeds = append(seeds, p.caller)
	}
	return caller.New(caller.Config{Seeds: seeds})
}
