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

// Sizes and limits of the rolling replacement.
const (
	rollingNodes = 9
	// maximumP99Ratio limits the p99 during the replacement relative to the p99
	// before it.
	maximumP99Ratio = 1.5
	baselinePeriod  = 10 * time.Second
	rollingLimit    = 3 * time.Minute
)

// TestRollingReplacement replaces all VMs of a cluster one after another under
// load: no answer may be missing or incomplete, and p99 and the total time must
// stay within their limits.
func TestRollingReplacement(t *testing.T) {
	if !*enforceBounds {
		t.Skip("takes minutes: needs -figures")
	}
	c := startCluster(t, clusterConfig{nodes: rollingNodes, shards: 10, replicas: 3, withoutProxies: true})
	baseline := c.backgroundLoad(c.client())
	time.Sleep(baselinePeriod)
	before, _ := baseline.finish()
	load := c.backgroundLoad(c.client())
	start := time.Now()
	for i, p := range slices.Clone(c.nodes) {
		c.start(fmt.Sprintf("vm-new-%d", i))
		p.signal(t, syscall.SIGTERM)
		<-p.exited
		if code := p.command.ProcessState.ExitCode(); code != 0 {
			t.Errorf("%s left with exit code %d", p.vm, code)
		}
		c.nodes = slices.DeleteFunc(c.nodes, func(q *process) bool { return q == p })
		c.publishVMs()
	}
	elapsed := time.Since(start)
	during, failures := load.finish()
	incomplete := checkAnswers(t, during)
	t.Logf("replaced in %v; p99 before %d µs of %d, during %d µs of %d; %d incomplete, %d failures",
		elapsed, p99(before), len(before), p99(during), len(during), incomplete, len(failures))
	if incomplete > 0 || len(failures) > 0 || elapsed > rollingLimit || float64(p99(during)) > maximumP99Ratio*float64(p99(before)) {
		t.Errorf("limits exceeded: %d incomplete, %d failures, replaced in %v", incomplete, len(failures), elapsed)
	}
}

// p99 returns the 99th percentile of the answers' latencies in microseconds.
func p99(answers []*answer.Answer) int64 {
	sorted := slices.SortedFunc(slices.Values(answers), func(a, b *answer.Answer) int {
		return cmp.Compare(a.Times.TookMicros, b.Times.TookMicros)
	})
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)*99/100].Times.TookMicros
}
