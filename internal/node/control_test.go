package node

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/timeline"
)

// TestPauseIsRecorded: the time line tells when a process did not run, and for how long.
func TestPauseIsRecorded(t *testing.T) {
	const gap = slowTickGap + 150*time.Millisecond
	start := time.Unix(1, 0)
	n := &Node{recorder: timeline.NewRecorder("vm-1", logr.Discard())}
	c := &control{node: n, lastTick: start}
	c.handlePause(start.Add(slowTickGap))
	c.handlePause(start.Add(slowTickGap + gap))
	events := n.recorder.Events(timeline.Filter{})
	if len(events) != 1 || events[0].Name != timeline.ProcessPaused || events[0].Detail != gap.String() {
		t.Errorf("events %v, want one %s of %s", events, timeline.ProcessPaused, gap)
	}
}
