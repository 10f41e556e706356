package upstream

import (
	"math"
	"testing"
	"time"
)

// TestOddUptimesTellNothing: an uptime that can't be true doesn't make a process a new one.
func TestOddUptimesTellNothing(t *testing.T) {
	asked := time.Now()
	for _, micros := range []int64{-1, math.MinInt64, math.MaxInt64} {
		if start, known := (State{UptimeMicros: &micros}).StartedNotBefore(asked); known {
			t.Errorf("%d: started not before %s", micros, start)
		}
	}
	hour := time.Hour.Microseconds()
	start, known := State{UptimeMicros: &hour}.StartedNotBefore(asked)
	if !known || start.After(asked.Add(-time.Hour)) || start.Before(asked.Add(-time.Hour-time.Millisecond)) {
		t.Errorf("an hour: started not before %s, %v", start, known)
	}
}
