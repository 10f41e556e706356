package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNodesTogetherStayWithinTheBound checks for random requests and attempts
// that the extra attempts of all nodes stay below the shared limit in every
// window of the period.
func TestNodesTogetherStayWithinTheBound(t *testing.T) {
	config := Config{Ratio: 0.2, Slack: 58, Period: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		windows := make([]*Window, nodes)
		for i := range windows {
			windows[i] = NewWindow(config)
			windows[i].Start(-config.Period)
		}
		const steps = 600
		step := 50 * time.Millisecond
		var requests, extras [steps]int
		burst := rapid.IntRange(0, 6).Draw(t, "burst")
		for i := range steps {
			now := time.Duration(i) * step
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			for range rapid.IntRange(0, burst).Draw(t, "requests") {
				windows[node].AddRequest(now)
				requests[i]++
			}
			for range rapid.IntRange(0, 4).Draw(t, "wanted") {
				if windows[node].Spend(now, nodes, Retry) {
					extras[i]++
				}
			}
		}
		length := int(config.Period / step)
		for from := 0; from+length <= steps; from++ {
			r, e := 0, 0
			for i := from; i < from+length; i++ {
				r += requests[i]
				e += extras[i]
			}
			before := 0
			for i := max(0, from-length); i < from; i++ {
				before += requests[i]
			}
			if bound := config.Ratio*float64(max(r, before)) + config.Slack; float64(e) > bound {
				t.Fatalf("%d extra attempts in a window with %d requests", e, r)
			}
		}
	})
}

// TestHedgesLeaveRoomForRetries checks that many hedges do not use up the budget
// that retries of shed attempts need.
func TestHedgesLeaveRoomForRetries(t *testing.T) {
	w := NewWindow(Config{Ratio: 0.2, Slack: 0, Period: 10 * time.Second})
	w.Start(-time.Minute)
	for range 100 {
		w.AddRequest(0)
	}
	hedges := 0
	for w.Spend(0, 1, Hedge) {
		hedges++
	}
	retries := 0
	for w.Spend(0, 1, Retry) {
		retries++
	}
	if hedges == 0 || retries < 3 {
		t.Errorf("%d hedges and then %d retries were allowed, want at least 1 and 3", hedges, retries)
	}
}

// TestRestartsStayWithinTheBound: nodes that restart several times within a period, each
// time with an empty window, stay below the shared limit.
func TestRestartsStayWithinTheBound(t *testing.T) {
	config := Config{Ratio: 0.2, Slack: 58, Period: 10 * time.Second}
	const (
		nodes    = 5
		lives    = 5
		requests = 40
	)
	life := config.Period / lives
	spent := 0
	for i := range lives {
		began := time.Duration(i) * life
		for range nodes {
			w := NewWindow(config)
			for range requests {
				w.AddRequest(began)
			}
			for w.Spend(began+life-1, nodes, Retry) {
				spent++
			}
		}
	}
	all := nodes * lives * requests
	if bound := config.Ratio*float64(all) + config.Slack; float64(spent) > bound {
		t.Errorf("%d extra attempts for %d requests, allowed are %.0f", spent, all, bound)
	}
}
