package fairness

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOneTeamIsServedByArrival: a queue of one team serves in order of arrival, as without
// teams, also after requests that got nothing. Load: one team in an overload.
func TestOneTeamIsServedByArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := NewOrder()
		var waiting []Tag
		last := Tag(math.MinInt64)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			lowest := NoneWaits
			if len(waiting) > 0 {
				lowest = waiting[0]
			}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				tag := order.Take("a", lowest)
				if tag < last {
					t.Fatalf("a request got the tag %d after %d", tag, last)
				}
				last = tag
				waiting = append(waiting, tag)
			case 2:
				if len(waiting) > 0 {
					order.Grant(waiting[0])
					waiting = waiting[1:]
				}
			case 3:
				if len(waiting) > 0 {
					i := rapid.IntRange(0, len(waiting)-1).Draw(t, "given up")
					waiting = slices.Delete(waiting, i, i+1)
					if rapid.Bool().Draw(t, "waited") {
						order.Refund("a")
						continue
					}
					order.Return("a")
				}
			}
		}
	})
}

// model is a service with a queue ordered by tag that grants a number of requests each
// millisecond and refuses by the forecast.
type model struct {
	order    *Order
	slots    int
	left     time.Duration
	waiting  []modelWaiter
	sent     []int
	granted  []int
	refusals []int
}

type modelWaiter struct {
	team int
	tag  Tag
}

func (m *model) arrive(team int) {
	m.sent[team]++
	lowest := NoneWaits
	if len(m.waiting) > 0 {
		lowest = m.waiting[0].tag
	}
	name := fmt.Sprint(team)
	tag := m.order.Take(name, lowest)
	position, _ := slices.BinarySearchFunc(m.waiting, tag, func(w modelWaiter, tag Tag) int {
		return cmp.Or(cmp.Compare(w.tag, tag), -1)
	})
	if (Forecast{Ahead: position, SlotTime: time.Millisecond, Slots: m.slots, Left: m.left}).TooLate() {
		m.refusals[team]++
		m.order.Return(name)
		return
	}
	m.waiting = slices.Insert(m.waiting, position, modelWaiter{team: team, tag: tag})
}

func (m *model) grant() {
	for range min(m.slots, len(m.waiting)) {
		m.granted[m.waiting[0].team]++
		m.order.Grant(m.waiting[0].tag)
		m.waiting = m.waiting[1:]
	}
}

// fairShare returns the share of a team that asks for more than it, by max-min fairness.
func fairShare(demands []float64, capacity float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	for i, demand := range sorted {
		share := capacity / float64(len(sorted)-i)
		if demand > share {
			return share
		}
		capacity -= demand
	}
	return math.Inf(1)
}

// TestSharesAreMaxMin: no team gets more than its demand; a team that asks for less than its
// fair share is never refused, while those that ask for more get that share. Load: steady
// demands of 2 to 8 teams on one service, some of them many times their share.
func TestSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 400
		demands := rapid.SliceOfN(rapid.Float64Range(0.1, 12), 2, 8).Draw(t, "demands")
		teams := len(demands)
		m := &model{
			order: NewOrder(), slots: rapid.IntRange(1, 6).Draw(t, "slots"),
			sent: make([]int, teams), granted: make([]int, teams), refusals: make([]int, teams),
		}
		m.left = time.Duration(4+8*teams/m.slots) * time.Millisecond
		owed := make([]float64, teams)
		for range steps {
			for team := range demands {
				for owed[team] += demands[team]; owed[team] >= 1; owed[team]-- {
					m.arrive(team)
				}
			}
			m.grant()
		}
		share := fairShare(demands, float64(m.slots))
		for team, demand := range demands {
			if m.granted[team] > m.sent[team] {
				t.Fatalf("team %d got %d of %d", team, m.granted[team], m.sent[team])
			}
			if demand < 0.8*share && m.refusals[team] > 0 {
				t.Fatalf("team %d, which asks for %.2f of a share of %.2f, was refused %d times; granted: %v", team, demand, share, m.refusals[team], m.granted)
			}
			if want := 0.85 * steps * min(demand, share); float64(m.granted[team]) < want-8 {
				t.Fatalf("team %d got %d, want at least %.0f; demands %v, granted: %v", team, m.granted[team], want, demands, m.granted)
			}
		}
	})
}

// TestSharesAtASlowService: a team that was idle goes before a flood at a service whose
// replicas are slower than those of the other services of the query. Load: a flood of queries
// over many shards, one of which has a slow replica.
func TestSharesAtASlowService(t *testing.T) {
	order := NewOrder()
	var flood []Tag
	for range 100 {
		flood = append(flood, order.Take("flood", NoneWaits))
	}
	// The fast services have granted nearly all, the slow one the first ten.
	order.Grant(flood[95])
	if tag := order.Take("calm", flood[10]); tag > flood[11] {
		t.Errorf("the calm team waits for the flood's request %d at least", slices.Index(flood, tag))
	}
}

// TestIdleTeamGetsNoAdvance: a team that was idle is not served before all others until it has
// caught up. Load: teams that pause, then send a burst.
func TestIdleTeamGetsNoAdvance(t *testing.T) {
	order := NewOrder()
	order.Take("late", NoneWaits)
	var busy Tag
	for range 500 {
		busy = order.Take("busy", NoneWaits)
		order.Grant(busy)
	}
	if tag := order.Take("late", NoneWaits); tag < busy {
		t.Errorf("the team that was idle got the tag %d while %d is served", tag, busy)
	}
}

// TestRefusedRequestsAreNotCharged: a team whose requests were refused is not put back for
// them. Load: a team that sends many times its share, then only that.
func TestRefusedRequestsAreNotCharged(t *testing.T) {
	order := NewOrder()
	first := order.Take("a", NoneWaits)
	for range 100 {
		order.Take("a", first)
		order.Return("a")
	}
	if tag := order.Take("a", first); tag > first+2*cost {
		t.Errorf("after 100 refusals the tag is %d, that of the one that waits %d", tag, first)
	}
}

// TestWaitingInVainIsMadeUpFor: a team whose requests waited in vain gets the grants that
// they were to have, but not all at once before those of others. Load: the start of a flood,
// when more requests wait than can be served in time.
func TestWaitingInVainIsMadeUpFor(t *testing.T) {
	order := NewOrder()
	first := order.Take("hot", NoneWaits)
	for range 99 {
		order.Take("hot", first)
	}
	for range 100 {
		order.Refund("hot")
	}
	last := order.Take("hot", first)
	for range 50 {
		tag := order.Take("hot", first)
		if tag <= last {
			t.Fatal("two requests of the team have the same tag")
		}
		last = tag
	}
	for range 250 {
		last = order.Take("hot", first)
	}
	if want := first + 300*cost; last > want {
		t.Errorf("request 301 that was not in vain has the tag %d, want %d", last, want)
	}
}

// TestEarlyCallersGoBehindTheirTeam: a caller that returns too early goes behind as many
// requests of its team that come later as callers wait as told, and otherwise keeps its
// place. Load: callers that retry at once while others of their team wait.
func TestEarlyCallersGoBehindTheirTeam(t *testing.T) {
	order := NewOrder()
	first := order.Take("flood", NoneWaits)
	early := order.Take("flood", first) + EarlyDelay(10)
	for i := range 10 {
		if next := order.Take("flood", first); next >= early {
			t.Fatalf("the early caller goes before request %d of its team that came later", i)
		}
	}
	if next := order.Take("flood", first); next <= early {
		t.Error("the early caller goes behind more than those that wait as told")
	}
	if EarlyDelay(0) >= refundedCost {
		t.Error("the caller is put back although no other one waits")
	}
	if EarlyDelay(1<<30) > maxEarlyDelay+1 {
		t.Error("the caller is put back without a bound")
	}
}

// TestTeamsAreForgotten: the number of teams that are told apart is bounded, and idle ones
// are forgotten. Load: thousands of teams, each with few requests.
func TestTeamsAreForgotten(t *testing.T) {
	order := NewOrder()
	for i := range 2 * MaxTeams {
		order.Take(fmt.Sprint("waiting-", i), 0)
	}
	if count := order.Teams(); count > MaxTeams+1 {
		t.Errorf("%d teams are told apart", count)
	}
	for range 2 * forgetEvery {
		order.Grant(order.Take("busy", NoneWaits))
	}
	if count := order.Teams(); count > 1 {
		t.Errorf("%d teams are remembered, of which 1 is busy", count)
	}
}
