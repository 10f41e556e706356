package relay

import (
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
)

func TestLeavingNodeTakesOnlyWhatItCanAnswer(t *testing.T) {
	const objective, timeout = 500 * time.Millisecond, 4 * time.Second
	now := time.Unix(100, 0)
	for _, c := range []struct {
		name       string
		idempotent bool
		objective  time.Duration
		deadline   time.Duration
		left       time.Duration
		refused    bool
	}{
		{"not idempotent, all its time left", false, objective, time.Minute, timeout, false},
		{"not idempotent, less than its timeout left", false, objective, time.Minute, timeout - 1, true},
		{"not idempotent, its deadline before the timeout", false, objective, time.Second, time.Second, false},
		{"idempotent, twice its objective left", true, objective, time.Minute, 2 * objective, false},
		{"idempotent, less left", true, objective, time.Minute, 2*objective - 1, true},
		{"idempotent, its deadline before the objective", true, objective, 100 * time.Millisecond, 100 * time.Millisecond, false},
		{"idempotent without an objective", true, 0, time.Minute, timeout - 1, true},
	} {
		request := &Request{
			Received: now, Deadline: now.Add(c.deadline),
			Route: &route.Route{Idempotent: c.idempotent, TargetLatency: c.objective, Timeout: timeout},
		}
		state := leaving{answerBy: now.Add(c.left)}
		if got := state.refuses(now, request); got != c.refused {
			t.Errorf("%s: refused %v", c.name, got)
		}
		if (leaving{}).refuses(now, request) || !state.WithClosed().refuses(now, request) {
			t.Errorf("%s: refused before the node leaves, or taken once it takes none", c.name)
		}
	}
}
