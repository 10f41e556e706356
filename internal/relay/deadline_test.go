package relay

import (
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
)

// TestTimeSpentBeforeArrival: callers that resolve an address and connect before
// they send state a shorter deadline than callers that are connected already.
// The difference is the time they have spent. Callers whose deadline is shorter
// by the objective or more count as having spent nothing.
func TestTimeSpentBeforeArrival(t *testing.T) {
	matched := route.Route{Name: "r", TargetLatency: 100 * time.Millisecond}
	now := time.Unix(100, 0)
	trackers := newDeadlineTrackers()
	stated := func(deadline time.Duration) time.Duration {
		now = now.Add(10 * time.Millisecond)
		return trackers.timeSpent(&Request{Received: now, Deadline: now.Add(deadline), Route: &matched})
	}
	for _, step := range []struct{ stated, timeSpent time.Duration }{
		{1500, 0}, {1484, 16}, {1500, 0}, {1490, 10}, {600, 0}, {1450, 50},
	} {
		if got := stated(step.stated * time.Millisecond); got != step.timeSpent*time.Millisecond {
			t.Errorf("stated %d ms: got %s spent, want %d ms", step.stated, got, step.timeSpent)
		}
	}
	now = now.Add(deadlinePeriod)
	stated(1000 * time.Millisecond)
	now = now.Add(deadlinePeriod)
	if got := stated(990 * time.Millisecond); got != 10*time.Millisecond {
		t.Errorf("got %s spent after callers began to state shorter deadlines, want 10ms", got)
	}
	if got := trackers.timeSpent(&Request{Received: now, Deadline: now.Add(defaultDeadline), NoDeadline: true, Route: &matched}); got != 0 {
		t.Errorf("got %s spent for a request without a deadline, want 0", got)
	}
	if got := stated(990 * time.Millisecond); got != 10*time.Millisecond {
		t.Errorf("got %s spent after a request without a deadline, want 10ms", got)
	}
}
