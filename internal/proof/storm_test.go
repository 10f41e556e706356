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

// checkAnswer checks that an answer is true: one version, no record twice, and
// its coverage equal to what it holds.
func checkAnswer(t *testing.T, a *answer.Answer) {
	t.Helper()
	seen := map[string]bool{}
	marker := fmt.Sprintf("of version %d", a.Snapshot.Version)
	for _, record := range a.Records {
		if !strings.HasSuffix(string(record), marker) {
			t.Errorf("record %q in an answer of version %d", record, a.Snapshot.Version)
		}
		if seen[string(record)] {
			t.Errorf("record %q twice", record)
		}
		seen[string(record)] = true
	}
	var ranges []snapshot.Range
	for _, included := range a.Coverage.Included {
		ranges = append(ranges, included.Ranges...)
	}
	fraction, tiled := snapshot.MeasureCoverage(ranges)
	if a.Coverage.Fraction != fraction || a.Coverage.Complete != tiled {
		t.Errorf("coverage %v complete %t, its ranges say %v %t", a.Coverage.Fraction, a.Coverage.Complete, fraction, tiled)
	}
	if a.Coverage.Complete && a.Error == nil && len(a.Records) != recordCount {
		t.Errorf("%d records in a complete answer, want %d", len(a.Records), recordCount)
	}
}

// audit checks every answer and returns how many are incomplete.
func audit(t *testing.T, answers []*answer.Answer) (incomplete int) {
	t.Helper()
	for _, a := range answers {
		checkAnswer(t, a)
		if !a.Coverage.Complete {
			incomplete++
			t.Logf("incomplete after %d µs and %d restarts: %+v", a.Times.TookMicros, a.Times.Restarts, a.Coverage.Omitted)
		}
	}
	return incomplete
}

// storm asks queries from several goroutines until stopped, and keeps every
// answer.
type storm struct {
	cluster *cluster
	stop    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	answers []*answer.Answer
	errors  []error
}

// stormWorkers is the number of callers of a storm.
const stormWorkers = 6

func (c *cluster) storm(client *caller.Client) *storm {
	s := &storm{cluster: c, stop: make(chan struct{})}
	for range stormWorkers {
		s.group.Add(1)
		go s.loop(client)
	}
	return s
}

func (s *storm) loop(client *caller.Client) {
	defer s.group.Done()
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		a, err := client.Query(context.Background(), query.Request{Kind: "search", Query: query.Text("record")})
		s.mu.Lock()
		if err != nil {
			s.errors = append(s.errors, err)
		} else {
			s.answers = append(s.answers, a)
		}
		s.mu.Unlock()
	}
}

// end stops the storm and returns what came of it.
func (s *storm) end() ([]*answer.Answer, []error) {
	close(s.stop)
	s.group.Wait()
	return s.answers, s.errors
}

func (c *cluster) client() *caller.Client {
	var seeds []string
	for _, p := range c.running() {
		seeds = append(seeds, p.caller)
	}
	return caller.New(caller.Config{Seeds: seeds})
}
