package relay

import (
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
)

// TestTimeSpentIsTold plays callers who look an address up and connect before
// they send: the deadline that they state is shorter than that of callers who
// are connected. Callers who wait less than others have spent nothing.
func TestTimeSpentIsTold(t *testing.T) {
	matched := route.Route{Name: "r", TargetLatency: 100 * time.Millisecond}
	now := time.Unix(100, 0)
	l := newAllowances()
	stated := func(deadline time.Duration) time.Duration {
		now = now.Add(10 * time.Millisecond)
		return l.spent(&Request{Received: now, Deadline: now.Add(deadline), Route: &matched})
	}
	for _, step := range []struct{ stated, spent time.Duration }{
		{1500, 0}, {1484, 16}, {1500, 0}, {1490, 10}, {600, 0}, {1450, 50},
	} {
		if got := stated(step.stated * time.Millisecond); got != step.spent*time.Millisecond {
			t.Errorf("stated %d ms: %s spent, want %d ms", step.stated, got, step.spent)
		}
	}
	now = now.Add(allowancePeriod)
	stated(1000 * time.Millisecond)
	now = now.Add(allowancePeriod)
	if got := stated(990 * time.Millisecond); got != 10*time.Millisecond {
		t.Errorf("%s spent after callers began to wait less", got)
	}
	if got := l.spent(&Request{Received: now, Deadline: now.Add(defaultDeadline), NoDeadline: true, Route: &matched}); got != 0 {
		t.Errorf("%s spent without a deadline", got)
	}
	if got := stated(990 * time.Millisecond); got != 10*time.Millisecond {
		t.Errorf("%s spent after a request without a deadline", got)
	}
}
