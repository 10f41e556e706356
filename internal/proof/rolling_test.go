package proof

import (
	"cmp"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/answer"
)

// Figures of a rolling replacement.
const (
	rollingNodes = 9
	// rollingFactor bounds p99 while all VMs are replaced, against the quiet one.
	rollingFactor = 1.5
	quietPeriod   = 10 * time.Second
	rollingLimit  = 3 * time.Minute
)

// TestRollingReplacement replaces all of 9 VMs, one after another, under load.
func TestRollingReplacement(t *testing.T) {
	if !*figures {
		t.Skip("takes minutes: needs -figures")
	}
	c := startCluster(t, clusterConfig{nodes: rollingNodes, shards: 10, replicas: 3, bare: true})
	quiet := c.storm(c.client())
	time.Sleep(quietPeriod)
	before, _ := quiet.end()
	s := c.storm(c.client())
	start := time.Now()
	for i, p := range slices.Clone(c.nodes) {
		c.start(fmt.Sprintf("vm-new-%d", i))
		p.signal(t, syscall.SIGTERM)
		<-p.exited
		if code := p.command.ProcessState.ExitCode(); code != 0 {
			t.Errorf("%s left with exit code %d", p.vm, code)
		}
		c.nodes = slices.DeleteFunc(c.nodes, func(q *process) bool { return q == p })
		c.list()
	}
	took := time.Since(start)
	during, failures := s.end()
	incomplete := audit(t, during)
	t.Logf("replaced in %v; p99 before %d µs of %d, during %d µs of %d; %d incomplete, %d failures",
		took, p99(before), len(before), p99(during), len(during), incomplete, len(failures))
	if incomplete > 0 || len(failures) > 0 || took > rollingLimit || float64(p99(during)) > rollingFactor*float64(p99(before)) {
		t.Errorf("not reached: %d incomplete, %d failures, %v", incomplete, len(failures), took)
	}
}

// p99 is the 99th percentile of the answers' times, in microseconds.
func p99(answers []*answer.Answer) int64 {
	sorted := slices.SortedFunc(slices.Values(answers), func(a, b *answer.Answer) int {
		return cmp.Compare(a.Times.TookMicros, b.Times.TookMicros)
	})
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)*99/100].Times.TookMicros
}
