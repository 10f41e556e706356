package quota

import (
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
)

// TestCallersOfANewLenderAreToldWhenItLends guards against callers who are told to return
// within milliseconds after a restart of all nodes, and are refused again: a load of 20 a
// second is spread behind the time at which the new lender may lend.
func TestCallersOfANewLenderAreToldWhenItLends(t *testing.T) {
	const settles, nodes = 700 * time.Millisecond, 4
	b := NewBorrower(testTolerance, 0)
	b.SetQuota(route.Quota{PerSecond: 40, Burst: 40})
	now := time.Minute
	b.Lose(now, settles)
	told := map[time.Duration]bool{}
	for range 14 {
		verdict := b.UnknownVerdict(now, nodes)
		at := now + verdict.Wait
		if verdict.Outcome != Unknown || at < time.Minute+settles || at > time.Minute+settles+maxCallerSpread {
			t.Fatalf("a caller is told to return %v after the takeover began, which takes %v", at-time.Minute, settles)
		}
		if told[at] {
			t.Errorf("two callers are told to return at the same time, %v", at)
		}
		told[at] = true
		now += 50 * time.Millisecond
	}
	if verdict := b.UnknownVerdict(time.Minute+settles, nodes); verdict.Wait != unknownWait {
		t.Errorf("a caller is told to wait %v once the lender may lend, want %v", verdict.Wait, unknownWait)
	}
}
