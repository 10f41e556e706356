package replica

import (
	"testing"
	"time"
)

// TestCapacityForgetsAPauseAtTheStart: the first reply of each upstream met a pause of the
// machine, and requests were refused as overload for hundreds of replies after it.
func TestCapacityForgetsAPauseAtTheStart(t *testing.T) {
	const slots, usual = 4, 5 * time.Millisecond
	set := NewSet([]string{"a", "b", "c"}, slots)
	now := time.Now()
	finish := func(took time.Duration) {
		for position := range set.Len() {
			set.Start(position, now)
			set.Finish(position, now, Succeeded, took)
		}
	}
	finish(300 * time.Millisecond)
	for range 40 {
		finish(usual)
	}
	actual := float64(set.Len()*slots) / usual.Seconds()
	if got := set.Capacity(now); got < actual/4 {
		t.Errorf("estimated %.0f requests per second after 40 replies of each upstream; they can do %.0f", got, actual)
	}
}
