package relay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/pkg/budget"
	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/route"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// The upstreams of a flood.
const (
	floodShards   = 36
	floodReplicas = 3
	floodSlots    = 4
	// floodNodes is the number of nodes at which this node's share of a replica is its slots.
	floodNodes = int(4 * floodSlots / floodSlots)
)

// flood plays teams that send queries over many shards, in simulated time and with the
// decisions of the forwarder and of its services.
type flood struct {
	relay  *Relay
	state  *routingState
	random *rand.Rand
	now    time.Time
	events floodEvents
	work   map[string]time.Duration
	// deadline is how long callers wait.
	deadline time.Duration
	// waiting holds the queries that wait at each service.
	waiting map[*service][]*floodQuery
	results map[string]*floodResult
}

// floodQuery is a query in progress.
type floodQuery struct {
	*forwarder
	ended bool
}

// floodResult is what the queries of a team on a route got.
type floodResult struct {
	sent, answered, inTime, refused, halfServed, waitedInVain int
}

// floodEvent is something that happens at a time.
type floodEvent struct {
	at  time.Time
	run func()
}

// floodEvents is a min-heap of events by time.
type floodEvents []floodEvent

func (e floodEvents) Len() int           { return len(e) }
func (e floodEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e floodEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *floodEvents) Push(x any)        { *e = append(*e, x.(floodEvent)) }

func (e *floodEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// newFlood returns a flood on routes of the ranks 0, 1 and 2, named after them, for the given
// teams.
func newFlood(teams ...string) *flood {
	r := New(Config{Fleet: func() Fleet { return Fleet{Serving: floodNodes, Serves: true} }, Log: logr.Discard(), Budget: budget.Config{Period: 10 * time.Second}})
	shards := make([]string, floodShards)
	var registrations []upstream.Registration
	for i := range shards {
		shards[i] = fmt.Sprintf("shard-%02d", i)
		for j := range floodReplicas {
			id := fmt.Sprint(shards[i], "-", j)
			registrations = append(registrations, upstream.Registration{ID: id, Service: shards[i], Address: id, Slots: floodSlots})
		}
	}
	config := route.Config{Version: 1}
	for rank, objective := range []time.Duration{40, 120, 500} {
		config.Routes = append(config.Routes, route.Route{
			Name: fmt.Sprint(rank), Host: "h", Prefix: fmt.Sprintf("/%d/", rank), Rank: rank, Idempotent: true, Attempts: 2,
			TargetLatency: objective * time.Millisecond, Shards: shards, MinimumShardShare: 0.9,
		})
	}
	for _, name := range teams {
		config.Teams = append(config.Teams, route.Team{Name: name, Keys: []string{name}})
	}
	r.SetTable(route.NewTable(config))
	r.SetUpstreams(registrations)
	return &flood{
		relay: r, state: r.routingState.Load(), random: rand.New(rand.NewPCG(1, 2)), now: time.Now(),
		work:     map[string]time.Duration{"0": 2500 * time.Microsecond, "1": 7500 * time.Microsecond, "2": 7500 * time.Microsecond},
		deadline: 1500 * time.Millisecond,
		waiting:  map[*service][]*floodQuery{}, results: map[string]*floodResult{},
	}
}

// at lets something happen at a time.
func (f *flood) at(t time.Time, run func()) {
	heap.Push(&f.events, floodEvent{at: t, run: run})
}

// send lets a team send queries of the rank at a rate in a span, at random times.
func (f *flood) send(team string, rank int, perSecond float64, from, until time.Duration) {
	start := f.now
	for at := from; ; {
		at += time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= until {
			return
		}
		f.at(start.Add(at), func() { f.arrive(team, rank) })
	}
}

// run plays all events.
func (f *flood) run() {
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(floodEvent)
		f.now = e.at
		e.run()
	}
}

// result returns the results of a team's queries of a rank.
func (f *flood) result(team string, rank int) *floodResult {
	key := fmt.Sprint(team, "/", rank)
	if f.results[key] == nil {
		f.results[key] = &floodResult{}
	}
	return f.results[key]
}

// arrive lets a query arrive.
func (f *flood) arrive(team string, rank int) {
	request := &Request{
		Team: f.state.table.Team(team), Route: f.state.table.Match("h", fmt.Sprintf("/%d/", rank)),
		Received: f.now, Deadline: f.now.Add(f.deadline), caller: team,
	}
	q := &floodQuery{forwarder: f.relay.newForwarder(request, f.state)}
	result := f.result(team, rank)
	result.sent++
	q.takePlace(f.now)
	if refused := q.refuseUnservable(f.now); refused != nil {
		result.refused++
		q.leavePlace(f.now, refused)
		return
	}
	for i := range q.shards {
		s := q.shards[i].service
		got := s.reserveOrEnqueue(f.now, q.waiter(i))
		switch {
		case got.replica != nil:
			f.start(q, i, got.replica)
		case got.queued:
			q.shards[i].waiting, q.waited = true, true
			f.waiting[s] = append(f.waiting[s], q)
		}
	}
	for _, at := range []time.Time{q.plan.answerBy, q.plan.lateAnswerAt, q.plan.answerDeadline} {
		f.at(at, func() { f.check(q) })
	}
}

// start lets a replica work on a shard of a query.
func (f *flood) start(q *floodQuery, shard int, chosen *upstreamReplica) {
	q.attempts++
	q.grantPlace()
	took := time.Duration((0.5 + f.random.Float64()) * float64(f.work[q.request.Route.Name]))
	f.at(f.now.Add(took), func() { f.finish(q, shard, chosen, took) })
}

// finish ends the work on a shard and starts that of a waiting one.
func (f *flood) finish(q *floodQuery, shard int, chosen *upstreamReplica, took time.Duration) {
	s := q.shards[shard].service
	waiting := len(s.waiting)
	s.recordOutcome(f.now, &attempt{request: q.request, upstreamReplica: chosen}, replica.Succeeded, forwarderEvent{elapsed: took})
	granted := waiting - len(s.waiting)
	q.shards[shard].reply = &Reply{Success: true}
	q.pendingShards--
	q.succeededShards++
	if q.succeededShards == q.plan.requiredShards {
		q.plan.recordEnough(f.now)
	}
	f.takeGrants(s, granted)
	f.check(q)
}

// takeGrants starts the shards that a service has granted replicas; count is their number.
func (f *flood) takeGrants(s *service, count int) {
	for i := 0; i < len(f.waiting[s]) && count > 0; {
		q := f.waiting[s][i]
		select {
		case e := <-q.events:
			q.shards[e.shard].waiting = false
			f.start(q, e.shard, e.granted)
			count--
		default:
			if !q.ended {
				i++
				continue
			}
		}
		f.waiting[s] = slices.Delete(f.waiting[s], i, i+1)
	}
}

// check answers a query if it is time to.
func (f *flood) check(q *floodQuery) {
	if q.ended || !q.isComplete(f.now) {
		return
	}
	q.ended = true
	q.leaveQueues()
	result := f.result(q.place().team, q.request.Rank())
	switch answer := q.buildAnswer(f.now); {
	case answer.Outcome == Merged:
		result.answered++
		if f.now.Add(callerRoundTrip).Sub(q.request.Received) <= q.request.Route.TargetLatency {
			result.inTime++
		}
	case q.attempts > 0:
		result.halfServed++
		q.leavePlace(f.now, answer)
	default:
		result.waitedInVain++
		q.leavePlace(f.now, answer)
	}
}
