package relay

import (
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
)

func TestLeavingNodeTakesOnlyWhatItCanAnswer(t *testing.T) {
	const objective, timeout = 500 * time.Millisecond, 4 * time.Second
	now := time.Unix(100, 0)
	const usual = 300 * time.Millisecond
	for _, c := range []struct {
		name       string
		idempotent bool
		objective  time.Duration
		deadline   time.Duration
		longest    time.Duration
		left       time.Duration
		refused    bool
	}{
		{"once, nothing known of its route, all its time left", false, objective, time.Minute, 0, timeout, false},
		{"once, nothing known of its route, less left", false, objective, time.Minute, 0, timeout - 1, true},
		{"once, its deadline before the timeout", false, objective, time.Second, 0, time.Second, false},
		{"once, others were quick", false, objective, time.Minute, usual, onceReserve * usual, false},
		{"once, others were quick, less left", false, objective, time.Minute, usual, onceReserve*usual - 1, true},
		{"once, others took as long as allowed", false, objective, time.Minute, timeout, timeout - 1, true},
		{"idempotent, twice its objective left", true, objective, time.Minute, 0, 2 * objective, false},
		{"idempotent, less left", true, objective, time.Minute, 0, 2*objective - 1, true},
		{"idempotent, others were quick", true, objective, time.Minute, usual, idempotentReserve * usual, false},
		{"idempotent, others were quick, less left", true, objective, time.Minute, usual, idempotentReserve*usual - 1, true},
		{"idempotent, its deadline before the objective", true, objective, 100 * time.Millisecond, 0, 100 * time.Millisecond, false},
		{"idempotent without an objective", true, 0, time.Minute, 0, timeout - 1, true},
	} {
		request := &Request{
			Received: now, Deadline: now.Add(c.deadline),
			Route: &route.Route{Idempotent: c.idempotent, TargetLatency: c.objective, Timeout: timeout},
		}
		state := leaving{answerBy: now.Add(c.left)}
		if got := state.refuses(now, request, c.longest); got != c.refused {
			t.Errorf("%s: refused %v", c.name, got)
		}
		if (leaving{}).refuses(now, request, c.longest) || !state.WithClosed().refuses(now, request, c.longest) {
			t.Errorf("%s: refused before the node leaves, or taken once it takes none", c.name)
		}
	}
}

func TestLongestAnswerTimeIsForgotten(t *testing.T) {
	times, start := newAnswerTimes(), time.Unix(100, 0)
	times.add("r", start, time.Second)
	times.add("r", start.Add(answerTimePeriod), 10*time.Millisecond)
	if got := times.longest("r", start.Add(answerTimePeriod)); got != time.Second {
		t.Errorf("after one period: %s", got)
	}
	if got := times.longest("r", start.Add(2*answerTimePeriod)); got != 10*time.Millisecond {
		t.Errorf("after two periods: %s", got)
	}
	if got := times.longest("r", start.Add(9*answerTimePeriod)); got != 0 {
		t.Errorf("after a long time without requests: %s", got)
	}
}
