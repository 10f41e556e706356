package load

import (
	"math"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// TestGoodputOfAShortenedPlan: of a phase that a shorter run cuts off, only the part that
// was played counts.
func TestGoodputOfAShortenedPlan(t *testing.T) {
	const played, perSecond = 2 * time.Second, 100
	kind := document.Kind{Name: "search", Deadline: time.Second}
	plan := Plan{
		Duration: played,
		Phases:   []Phase{{Name: "steady", From: 0, To: 10 * time.Second}},
		Document: &document.Document{Kinds: []document.Kind{kind}, Ranks: []document.Rank{{Name: "urgent"}}},
	}
	r := &Report{Config: Config{Plan: plan}, KindCapacity: map[string]float64{kind.Name: perSecond}}
	for at := time.Duration(0); at < played; at += time.Second / perSecond {
		r.Samples = append(r.Samples, Sample{Kind: kind.Name, ScheduledAt: at, Status: answer.Ran, Coverage: 1, Latency: time.Millisecond})
	}
	if got := r.Rows()[0].Goodput; math.Abs(got-1) > 0.01 {
		t.Errorf("goodput %.3f, want 1", got)
	}
}
