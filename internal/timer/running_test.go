package timer

import (
	"testing"
	"time"
)

// TestRunningClockStandsStill checks that suspensions don't count, and all else does.
func TestRunningClockStandsStill(t *testing.T) {
	var clock RunningClock
	start := time.Now()
	elapsed, shown := time.Duration(0), time.Duration(0)
	for _, step := range []struct{ real, shown time.Duration }{
		{0, 0},
		{250 * time.Millisecond, 250 * time.Millisecond},
		{time.Minute, 0},
		{999 * time.Millisecond, 999 * time.Millisecond},
		{suspensionGap, 0},
		{time.Millisecond, time.Millisecond},
	} {
		elapsed, shown = elapsed+step.real, shown+step.shown
		if got := clock.at(start.Add(elapsed)).Sub(start); got != shown {
			t.Errorf("%v after the start the clock shows %v, want %v", elapsed, got, shown)
		}
	}
}
