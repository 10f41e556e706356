package relay

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/pkg/route"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// TestColdLimitIsSharedByTheFleet guards against shares of all nodes that add up to more than
// the limit, and against nodes that take the whole limit while they start together.
func TestColdLimitIsSharedByTheFleet(t *testing.T) {
	const perSecond, serving, others = 20, 6, 53
	r := New(Config{Started: time.Now().Add(-time.Minute), Fleet: func() Fleet { return Fleet{Serving: 1} }, Cold: ColdTolerance{Overage: 1.5, Slack: 5}, Log: logr.Discard()})
	share := func(fleet Fleet) float64 {
		return r.coldLimit(route.Service{ColdPerSecond: perSecond}, fleet).PerSecond * rateShare(fleet)
	}
	known := serving*share(Fleet{Serving: serving, Serves: true, Others: others}) + others*share(Fleet{Serving: serving, Others: others})
	if known < 0.99*perSecond || known > 1.01*perSecond {
		t.Errorf("%.1f attempts a second of nodes that know each other, the limit is %d", known, perSecond)
	}
	if starting := (serving + others) * share(Fleet{Serving: 1, Serves: true, Joining: true}); starting > perSecond {
		t.Errorf("%.1f attempts a second of nodes that don't know each other yet, the limit is %d", starting, perSecond)
	}
	r.config.Started = time.Now()
	if joined := (serving + others) * share(Fleet{Serving: 1, Serves: true}); joined > perSecond {
		t.Errorf("%.1f attempts a second of nodes that know none of the others as ready yet, the limit is %d", joined, perSecond)
	}
	if limit := r.coldLimit(route.Service{}, Fleet{Serving: 1}); limit.PerSecond != 0 {
		t.Errorf("%+v without a limit in the table", limit)
	}
}

// TestColdServiceIsLimitedFromTheStart guards against a service that is used without its limit
// when it is new or when the table first names one.
func TestColdServiceIsLimitedFromTheStart(t *testing.T) {
	r := New(Config{Started: time.Now().Add(-time.Minute), Fleet: func() Fleet { return Fleet{Serving: 1, Serves: true} }, Cold: ColdTolerance{Overage: 1.5, Slack: 5}, Log: logr.Discard()})
	routes := []route.Route{{Host: "h", Prefix: "/", Targets: []route.Target{{Service: "s", Weight: 1}}}}
	table := func(version uint64, perSecond float64) *route.Table {
		return route.NewTable(route.Config{Version: version, Routes: routes, Services: []route.Service{{Name: "s", ColdPerSecond: perSecond}}})
	}
	r.SetTable(table(1, 4))
	r.SetUpstreams([]upstream.Registration{{ID: "a", Service: "s", Address: "a", Slots: 100, ColdRemaining: time.Minute}})
	s := r.routingState.Load().services["s"]
	started := func() (count int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for now := time.Now(); s.reserveReplica(now) != nil && count < 20; {
			count++
		}
		return count
	}
	if got := started(); got > 2 {
		t.Errorf("%d attempts at once at a cold upstream, the limit is 4 a second", got)
	}
	r.SetTable(table(2, 0))
	if got := started(); got != 20 {
		t.Errorf("%d attempts at once without a limit", got)
	}
	r.SetTable(table(3, 4))
	if got := started(); got > 2 {
		t.Errorf("%d attempts at once, the limit is 4 a second again", got)
	}
}
