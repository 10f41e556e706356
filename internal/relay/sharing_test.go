package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/fairness"
	"github.com/bronzereach/bronzereach/pkg/route"
	"pgregory.net/rapid"
)

// The times at which the teams of a flood test send.
const (
	floodStart = 200 * time.Millisecond
	floodEnd   = 1000 * time.Millisecond
	calmEnd    = 1200 * time.Millisecond
)

// calmTeams send 20 queries per second of each rank.
func calmTeams() []string {
	return []string{"a", "b", "c", "d"}
}

// sendCalm lets the calm teams send.
func (f *flood) sendCalm() {
	for _, name := range calmTeams() {
		for rank := range 3 {
			f.send(name, rank, 20, 0, calmEnd)
		}
	}
}

// checkCalm checks that the calm teams' queries of the ranks were served within their
// objective.
func (f *flood) checkCalm(t *testing.T, ranks ...int) {
	t.Helper()
	for _, rank := range ranks {
		sent, inTime := 0, 0
		for _, name := range calmTeams() {
			r := f.result(name, rank)
			sent, inTime = sent+r.sent, inTime+r.inTime
		}
		if float64(inTime) < 0.99*float64(sent) {
			t.Errorf("rank %d: %d of %d queries of calm teams were served within their objective", rank, inTime, sent)
		}
	}
}

// checkAll checks that no query was served in part only, and that no team was served less
// than half as often as all.
func (f *flood) checkAll(t *testing.T) {
	t.Helper()
	sent, answered := map[string]int{}, map[string]int{}
	for key, r := range f.results {
		team := key[:len(key)-len("/0")]
		sent[team], answered[team] = sent[team]+r.sent, answered[team]+r.answered
		sent["all"], answered["all"] = sent["all"]+r.sent, answered["all"]+r.answered
		if r.halfServed > 0 {
			t.Errorf("%s: %d queries got replicas but no answer", key, r.halfServed)
		}
	}
	usual := float64(answered["all"]) / float64(sent["all"])
	for team := range sent {
		if share := float64(answered[team]) / float64(sent[team]); share < usual/2 {
			t.Errorf("%s: a share of %.2f was answered, of all %.2f", team, share, usual)
		}
	}
}

// TestCalmTeamsAreServedInAFlood: calm teams get their answers in time, and the rest of the
// capacity goes to the flood, whose queries are answered in time or refused at once. Load: a
// flood of twice the capacity by one team, of the same rank as queries of calm teams. Served
// by arrival, with waiting until it is in vain, the calm teams' queries were late and one in
// five of the flood was answered.
func TestCalmTeamsAreServedInAFlood(t *testing.T) {
	t.Parallel()
	f := newFlood(append(calmTeams(), "hot")...)
	f.sendCalm()
	f.send("hot", 1, 3200, floodStart, floodEnd)
	f.run()
	f.checkCalm(t, 0, 1, 2)
	f.checkAll(t)
	hot := f.result("hot", 1)
	if capacity := 1600 * (floodEnd - floodStart).Seconds(); float64(hot.answered) < 0.85*capacity {
		t.Errorf("%d queries of the flood were answered, the capacity is %.0f", hot.answered, capacity)
	}
	if hot.inTime < hot.answered*9/10 || hot.waitedInVain > hot.sent/50 {
		t.Errorf("the flood's queries are answered late or wait in vain: %+v", hot)
	}
}

// TestNothingIsHalfServed: a query that got replicas at some of its services gets them at all,
// though fresher queries come all the time. Load: a flood of five times the capacity that
// lasts longer than its callers wait. When fresher queries overtook a query at the other
// services, 393 were half served.
func TestNothingIsHalfServed(t *testing.T) {
	t.Parallel()
	f := newFlood(append(calmTeams(), "hot")...)
	f.sendCalm()
	f.deadline = 400 * time.Millisecond
	f.send("hot", 1, 8000, floodStart, floodStart+800*time.Millisecond)
	f.run()
	f.checkCalm(t, 0, 1, 2)
	f.checkAll(t)
}

// TestTeamsAboveTheirShareShareTheRest: of three teams that together ask for more than three
// times the capacity, the two that ask for more than their share get as much as each other,
// and the third one, which asks for three quarters of its share, gets what it asks for. Load:
// three floods of different sizes. When a team's requests that got nothing were made up for
// all at once, 54 of the third team's 815 were refused.
func TestTeamsAboveTheirShareShareTheRest(t *testing.T) {
	t.Parallel()
	f := newFlood(append(calmTeams(), "hot", "warm", "mild")...)
	f.sendCalm()
	const end = floodEnd + 800*time.Millisecond
	f.send("hot", 1, 4000, floodStart, end)
	f.send("warm", 1, 1000, floodStart, end)
	f.send("mild", 1, 350, floodStart, end)
	f.run()
	f.checkCalm(t, 0, 1, 2)
	hot, warm, mild := f.result("hot", 1), f.result("warm", 1), f.result("mild", 1)
	if hot.answered < warm.answered*7/10 || warm.answered < hot.answered*7/10 {
		t.Errorf("%d and %d queries were answered of the teams above their share", hot.answered, warm.answered)
	}
	if mild.answered < mild.sent {
		t.Errorf("of the team below its share not all queries were answered: %+v", mild)
	}
	if half := hot.halfServed + warm.halfServed + mild.halfServed; half > 0 {
		t.Errorf("%d queries got replicas but no answer", half)
	}
}

// TestLowerRanksKeepAFloorInAFlood: lower ranks get one grant in 20 while more urgent queries
// take the rest, and calm teams of these ranks are served first from it. Load: a flood of
// urgent queries of 1.7 times the capacity, and one of a lower rank.
func TestLowerRanksKeepAFloorInAFlood(t *testing.T) {
	t.Parallel()
	f := newFlood(append(calmTeams(), "hot", "low")...)
	f.sendCalm()
	f.send("hot", 0, 8000, floodStart, floodEnd)
	f.send("low", 1, 2000, floodStart, floodEnd)
	f.run()
	f.checkCalm(t, 0, 2)
	hot, low := f.result("hot", 0), f.result("low", 1)
	if low.answered < hot.answered/20/2 {
		t.Errorf("%d queries of the lower rank were answered, and %d urgent ones", low.answered, hot.answered)
	}
	if low.waitedInVain > low.sent/4 {
		t.Errorf("%d of %d queries of the lower rank waited in vain", low.waitedInVain, low.sent)
	}
	if float64(hot.answered) < 0.7*4800*(floodEnd-floodStart).Seconds() {
		t.Errorf("%d urgent queries were answered", hot.answered)
	}
	sent, answered, half := 0, 0, hot.halfServed+low.halfServed
	for _, name := range calmTeams() {
		r := f.result(name, 1)
		sent, answered, half = sent+r.sent, answered+r.answered, half+r.halfServed
	}
	if answered < sent*9/10 {
		t.Errorf("%d of %d queries of calm teams were answered from the floor", answered, sent)
	}
	if half > 0 {
		t.Errorf("%d queries got replicas but no answer", half)
	}
}

// TestBurstIsNotRefused: a burst that can be served before its queries are given up is served.
// Load: twice 30 ms of five times the capacity.
func TestBurstIsNotRefused(t *testing.T) {
	f := newFlood(append(calmTeams(), "hot")...)
	f.sendCalm()
	for _, at := range []time.Duration{floodStart, floodEnd} {
		f.send("hot", 1, 8000, at, at+30*time.Millisecond)
	}
	f.run()
	f.checkCalm(t, 0, 1, 2)
	if hot := f.result("hot", 1); hot.answered < hot.sent {
		t.Errorf("the burst was not served: %+v", hot)
	}
}

// TestNoForecastWithoutTeams: without teams nothing is refused by a forecast, and requests
// have no tags. Load: a flood on a configuration without teams.
func TestNoForecastWithoutTeams(t *testing.T) {
	f := newFlood()
	f.send("", 1, 3200, 0, 300*time.Millisecond)
	f.run()
	if r := f.result("", 1); r.refused > 0 {
		t.Errorf("%d queries were refused by a forecast", r.refused)
	}
	if len(f.relay.sharing.orders) > 0 {
		t.Error("requests took tags")
	}
}

// newTeamsService returns a singleSlotService whose configuration has teams.
func newTeamsService() *singleSlotService {
	s := newSingleSlotService()
	s.service.relay.SetTable(route.NewTable(route.Config{Version: 1, Teams: []route.Team{{Name: "a"}}}))
	return s
}

// TestOrderWithoutTeams: requests are granted replicas by rank, then by arrival, without
// teams. Load: any waiters of any ranks.
func TestOrderWithoutTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSingleSlotService()
		_, slot := s.sendRequest(0, time.Hour)
		ranks := rapid.SliceOfN(rapid.IntRange(-1, 12), 1, 60).Draw(t, "ranks")
		var waiting []*forwarder
		for _, rank := range ranks {
			f, _ := s.sendRequest(rank, time.Hour)
			waiting = append(waiting, f)
		}
		slices.SortStableFunc(waiting, func(a, b *forwarder) int { return a.request.Rank() - b.request.Rank() })
		for i, f := range waiting {
			s.finishAttempt(slot, time.Millisecond)
			if !granted(f) {
				t.Fatalf("waiter %d by rank and arrival did not get the slot", i)
			}
		}
	})
}

// TestFloorOnlyWithTeams: a request of a lower rank that waits while urgent ones keep coming
// gets one of the next 20 grants if there are teams, and none otherwise. Load: a steady
// queue of urgent requests.
func TestFloorOnlyWithTeams(t *testing.T) {
	for name, s := range map[string]*singleSlotService{"with teams": newTeamsService(), "without teams": newSingleSlotService()} {
		_, slot := s.sendRequest(0, time.Hour)
		low, _ := s.sendRequest(2, time.Hour)
		grants := 0
		for s.sendRequest(0, time.Hour); grants < 3*floorEvery; grants++ {
			s.sendRequest(0, time.Hour)
			s.finishAttempt(slot, time.Millisecond)
			if granted(low) {
				break
			}
		}
		if floor := grants <= floorEvery; floor != (name == "with teams") {
			t.Errorf("%s: the lower rank waited for %d grants", name, grants)
		}
	}
}

// TestLateWaitersOfOneTeamDoNotBlock: of waiters that are all late, those of a team with many
// don't go before the one of another team. Load: a flood whose oldest waiters were overtaken
// by its own later ones.
func TestLateWaitersOfOneTeamDoNotBlock(t *testing.T) {
	now := time.Unix(100, 0)
	late := func(team string, tag fairness.Tag) waiter {
		return waiter{forwarder: &forwarder{}, answerBy: now.Add(-time.Millisecond), place: place{rank: 1, team: team, tag: tag}}
	}
	waiting := []waiter{late("hot", 1), late("hot", 3), late("hot", 5), late("calm", 9), late("hot", 11)}
	if got := nextOfTeams(waiting, now); waiting[got].place.team != "calm" {
		t.Errorf("waiter %d is next", got)
	}
	waiting = append(waiting, waiter{forwarder: &forwarder{}, answerBy: now.Add(time.Millisecond), place: place{rank: 1, team: "hot", tag: 13}})
	if got := nextOfTeams(waiting, now); got != 5 {
		t.Errorf("waiter %d is next, not the one that can be answered in time", got)
	}
	waiting[4].forwarder.granted.Store(true)
	if got := nextOfTeams(waiting, now); got != 4 {
		t.Errorf("waiter %d is next, not the one whose query has replicas elsewhere", got)
	}
}

// TestEarlyCallersAreNoticed: a caller that was refused for lack of capacity and returns too
// early is noticed by its team and address, until the time it was told. Load: callers that
// retry at once.
func TestEarlyCallersAreNoticed(t *testing.T) {
	f := newFlood("a", "b")
	send := func(team, address string, after time.Duration) *forwarder {
		now := f.now.Add(after)
		request := &Request{Team: f.state.table.Team(team), Route: f.state.table.Match("h", "/1/"), Received: now, Deadline: now.Add(time.Second), caller: address}
		q := f.relay.newForwarder(request, f.state)
		q.takePlace(now)
		return q
	}
	for _, reason := range []Reason{ReasonOverloaded, ReasonNoUpstream} {
		address := fmt.Sprint("1-", reason)
		first := send("a", address, 0)
		if first.early {
			t.Error("the first request of a caller is early")
		}
		first.leavePlace(f.now, refusal(reason, 100*time.Millisecond))
		if early := send("a", address, 99*time.Millisecond).early; early != (reason == ReasonOverloaded) {
			t.Errorf("after a refusal as %s, an early return is noticed: %t", reason, early)
		}
		if send("b", address, 99*time.Millisecond).early || send("a", "2", 99*time.Millisecond).early {
			t.Error("a caller that was told nothing is early")
		}
		if send("a", address, 100*time.Millisecond).early {
			t.Error("a caller that returned as told is early")
		}
	}
}

// TestOrdersAreForgotten: the orders of services that are no longer used are forgotten, and all
// of them once there are no teams. Load: repeated repartitioning of an index.
func TestOrdersAreForgotten(t *testing.T) {
	f := newFlood("a")
	f.send("a", 1, 1000, 0, 10*time.Millisecond)
	f.run()
	if len(f.relay.sharing.orders) != 1 {
		t.Fatalf("%d orders, want one for the rank", len(f.relay.sharing.orders))
	}
	f.relay.SetTable(route.NewTable(route.Config{Version: 2, Routes: []route.Route{{Host: "h", Prefix: "/", Shards: []string{"z"}}}, Teams: []route.Team{{Name: "a"}}}))
	if len(f.relay.sharing.orders) > 0 {
		t.Errorf("%d orders of services that are not used", len(f.relay.sharing.orders))
	}
}

// TestOutlookByForecast: a query is refused whole if too few of its services can take it in
// time by the forecast, and its caller is told when enough can. Load: a query over ten shards
// of which some have long queues.
func TestOutlookByForecast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := make([]availability, 10)
		late := rapid.IntRange(0, 10).Draw(t, "late")
		for i := range services {
			services[i].usable = 1
			if i < late {
				services[i].forecast = fairness.Forecast{Ahead: 100 * (i + 1), SlotTime: time.Millisecond, Slots: 1, Left: 50 * time.Millisecond}
			}
		}
		required := rapid.IntRange(1, 10).Draw(t, "required")
		o := newOutlook(services, required, 50*time.Millisecond, 30*time.Millisecond)
		missing := required - (10 - late)
		if o.servable != (missing <= 0) {
			t.Fatalf("servable is %t with %d of 10 too late and %d required", o.servable, late, required)
		}
		if want := time.Duration(100*missing) * time.Millisecond; !o.servable && (o.reason != ReasonOverloaded || o.retryAfter != want) {
			t.Errorf("refused as %s with a retry after %s, want %s", o.reason, o.retryAfter, want)
		}
	})
}

// BenchmarkGrant measures a request that waits and a grant with a hundred waiters of two
// ranks: it is done for each finished attempt, 36 times for a query.
func BenchmarkGrant(b *testing.B) {
	b.Run("withTeams", func(b *testing.B) { benchmarkGrant(b, newTeamsService()) })
	b.Run("withoutTeams", func(b *testing.B) { benchmarkGrant(b, newSingleSlotService()) })
}

func benchmarkGrant(b *testing.B, s *singleSlotService) {
	_, slot := s.sendRequest(0, time.Hour)
	for i := range 100 {
		s.sendRequest(i%2, time.Hour)
	}
	for b.Loop() {
		s.sendRequest(0, time.Hour)
		s.finishAttempt(slot, time.Millisecond)
	}
}
