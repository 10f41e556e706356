package relay

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/pkg/budget"
	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/route"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// overload is a service with one replica whose single place is taken in turn.
type overload struct {
	service *service
	now     time.Time
}

func newOverload() *overload {
	r := New(Config{NodeCount: func() int { return 9 }, Log: logr.Discard(), Budget: budget.Config{Period: 10 * time.Second}})
	s := newService(r, "s")
	now := time.Now()
	s.sync(now, []upstream.Registration{{ID: "a", Address: "a", Slots: 2}})
	s.setBounds(2, 2, 9)
	return &overload{service: s, now: now}
}

// ask lets a request of the rank come; it reports whether it got the place.
func (o *overload) ask(rank int, objective time.Duration) (*flight, *target) {
	f := &flight{request: &Request{Route: &route.Route{Rank: rank}}, results: make(chan result, 1)}
	chosen, _ := o.service.begin(o.now, waiter{flight: f, answerAt: o.now.Add(objective)})
	return f, chosen
}

// free gives the place back after the time.
func (o *overload) free(place *target, took time.Duration) {
	o.now = o.now.Add(took)
	o.service.finish(o.now, &attempt{target: place}, replica.Succeeded, result{took: took})
}

func granted(f *flight) bool {
	select {
	case r := <-f.results:
		return r.granted != nil
	default:
		return false
	}
}

// TestUrgentWorkWaitsLess: of those that wait for one place, the most urgent
// gets it first, then the one that came first.
func TestUrgentWorkWaitsLess(t *testing.T) {
	o := newOverload()
	_, place := o.ask(1, time.Second)
	if place == nil {
		t.Fatal("a free place wasn't given")
	}
	low, _ := o.ask(2, time.Second)
	urgent, _ := o.ask(0, time.Second)
	second, _ := o.ask(0, time.Second)
	for i, f := range []*flight{urgent, second, low} {
		o.free(place, 10*time.Millisecond)
		if !granted(f) {
			t.Fatalf("the place went to another than number %d", i)
		}
	}
}

// TestOverloadServesInTime plays an overload of twice what a place can do. Work
// of 10 ms has to be done within 50 ms: first come, first served would make
// nearly all of it late; here half of it is in time, which is all that can be.
func TestOverloadServesInTime(t *testing.T) {
	o := newOverload()
	const count = 400
	var waiting []*flight
	var asked []time.Time
	_, place := o.ask(1, 50*time.Millisecond)
	inTime := 0
	for i := range count {
		f, _ := o.ask(1, 50*time.Millisecond)
		waiting, asked = append(waiting, f), append(asked, o.now)
		if i%2 == 0 {
			o.now = o.now.Add(5 * time.Millisecond)
			continue
		}
		o.free(place, 5*time.Millisecond)
		for j, f := range waiting {
			if granted(f) && o.now.Sub(asked[j]) < 50*time.Millisecond {
				inTime++
			}
		}
	}
	if inTime < count*45/100 {
		t.Errorf("%d of %d were served in time", inTime, count)
	}
}

// TestUnusedPlaceIsGivenBack: a flight that ended before its place came does not
// keep it.
func TestUnusedPlaceIsGivenBack(t *testing.T) {
	o := newOverload()
	_, place := o.ask(1, time.Second)
	f, _ := o.ask(1, time.Second)
	f.shards = []shard{{service: o.service, waiting: true}}
	o.free(place, time.Millisecond)
	f.stopWaiting()
	if _, place = o.ask(1, time.Second); place == nil {
		t.Error("the place was lost")
	}
}
