package quota

import (
	"testing"
	"time"
)

// TestPromisesAreSpread guards against a crowd of refused callers that come back at once,
// before there is a token, or much later.
func TestPromisesAreSpread(t *testing.T) {
	const earliest, gap, limit, crowd = 300 * time.Millisecond, 370 * time.Millisecond, 5 * time.Second, 100
	var p promises
	slots := map[time.Duration]int{}
	for range crowd {
		wait := p.wait(0, earliest, gap, limit)
		if wait < earliest || wait > earliest+limit {
			t.Errorf("a caller is told to wait %v", wait)
		}
		slots[wait.Truncate(500*time.Millisecond)]++
	}
	for slot, count := range slots {
		if count > crowd/5 {
			t.Errorf("%d of %d callers are told to wait %v", count, crowd, slot)
		}
	}
	if len(slots) < 10 {
		t.Errorf("%d half seconds are used of 10", len(slots))
	}
}
