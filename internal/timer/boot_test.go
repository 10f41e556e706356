package timer

import (
	"testing"
	"time"
)

// TestSinceBootIsSteady guards against a clock that stands still or counts another unit.
func TestSinceBootIsSteady(t *testing.T) {
	const pause = 20 * time.Millisecond
	before, started := SinceBoot(), time.Now()
	time.Sleep(pause)
	elapsed, atMost := SinceBoot()-before, time.Since(started)+time.Millisecond
	if elapsed < pause || elapsed > atMost {
		t.Errorf("the clock advanced by %v in a pause of %v to %v", elapsed, pause, atMost)
	}
}
