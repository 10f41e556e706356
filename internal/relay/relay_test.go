package relay

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/pkg/route"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// TestOldServicesAreForgotten: repeated repartitioning of an index leaves no old
// services or routes behind. A service that the table still names is kept while
// it has no upstreams.
func TestOldServicesAreForgotten(t *testing.T) {
	r := New(Config{Fleet: func() Fleet { return Fleet{Serving: 1, Serves: true} }, Log: logr.Discard()})
	for i := range 20 {
		shard, name := fmt.Sprint("shard-", i), fmt.Sprint("route-", i)
		r.SetUpstreams([]upstream.Registration{{ID: shard, Service: shard, Address: shard, Slots: 1}})
		r.SetTable(route.NewTable(route.Config{
			Version: uint64(i + 1),
			Routes:  []route.Route{{Name: name, Host: "h", Prefix: "/", Shards: []string{shard}}},
		}))
		r.hedgeDelays.add(name, time.Millisecond)
	}
	r.SetUpstreams(nil)
	if s := r.routingState.Load(); len(s.services) != 1 || s.services["shard-19"] == nil {
		t.Errorf("%d services are kept, want only shard-19", len(s.services))
	}
	if len(r.hedgeDelays.routes) != 1 {
		t.Errorf("delays of %d routes are kept, want 1", len(r.hedgeDelays.routes))
	}
}

// TestLowerTableVersionIsIgnored: a table with a lower version does not replace the
// current one.
func TestLowerTableVersionIsIgnored(t *testing.T) {
	r := New(Config{Fleet: func() Fleet { return Fleet{Serving: 1, Serves: true} }, Log: logr.Discard()})
	r.SetTable(route.NewTable(route.Config{Version: 5}))
	r.SetTable(route.NewTable(route.Config{Version: 4}))
	if got := r.Table().Version(); got != 5 {
		t.Errorf("table has version %d, want 5", got)
	}
}

// TestAddressGoesToNamedService: of two upstreams at an address the one that started last
// gets requests as soon as the table names its service, and before that the other one.
func TestAddressGoesToNamedService(t *testing.T) {
	r := New(Config{Fleet: func() Fleet { return Fleet{Serving: 1, Serves: true} }, Log: logr.Discard()})
	old := upstream.Registration{ID: "a", Service: "s", Address: "1", Slots: 1, Born: 1}
	later := upstream.Registration{ID: "z", Service: "t", Address: "1", Slots: 1, Born: 2}
	routes := []route.Route{{Host: "h", Prefix: "/", Shards: []string{"s"}}, {Host: "i", Prefix: "/", Shards: []string{"t"}}}
	count := func(name string) int {
		s := r.routingState.Load().services[name]
		if s == nil {
			return 0
		}
		return len(s.replicaGroup.Replicas())
	}
	r.SetUpstreams([]upstream.Registration{old, later})
	r.SetTable(route.NewTable(route.Config{Version: 1, Routes: routes[:1]}))
	if count("s") != 1 {
		t.Error("an upstream of a service that is not in the table has taken over the address")
	}
	r.SetTable(route.NewTable(route.Config{Version: 2, Routes: routes}))
	if count("s") != 0 || count("t") != 1 {
		t.Errorf("%d and %d upstreams once the table names both services, want 0 and 1", count("s"), count("t"))
	}
	r.SetUpstreams([]upstream.Registration{old, later})
	if count("s") != 0 || count("t") != 1 {
		t.Errorf("%d and %d upstreams of both services, want 0 and 1", count("s"), count("t"))
	}
}

// TestConnectionsAreShared: all nodes of a large fleet together keep no more idle
// connections to an upstream than it accepts, and each may still open one.
func TestConnectionsAreShared(t *testing.T) {
	const accepted = 195
	for _, fleet := range []struct{ nodes, serving int }{{9, 9}, {64, 9}, {295, 18}, {295, 295}, {2900, 64}} {
		idle := 0
		for i := range fleet.nodes {
			maxBusy, maxIdle := connectionShare(accepted, Fleet{Serving: fleet.serving, Serves: i < fleet.serving})
			idle += maxIdle
			if maxBusy < 1 {
				t.Errorf("%+v: a node may not connect at all", fleet)
			}
		}
		if idle > accepted {
			t.Errorf("%+v: %d idle connections, the upstream accepts %d", fleet, idle, accepted)
		}
	}
}

// TestRegistrationChangesWhileInUse: an upstream registers again while an attempt at it is
// in progress.
func TestRegistrationChangesWhileInUse(*testing.T) {
	r := New(Config{Fleet: func() Fleet { return Fleet{Serving: 1, Serves: true} }, Log: logr.Discard()})
	registration := upstream.Registration{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1}
	r.SetUpstreams([]upstream.Registration{registration})
	s := r.routingState.Load().services["s"]
	a := &attempt{
		request: &Request{Route: &route.Route{}}, service: s, upstreamReplica: s.replicaGroup.Replicas()[0],
		answerDeadline: time.Now().Add(time.Second), events: make(chan forwarderEvent, 1),
	}
	var heartbeats sync.WaitGroup
	heartbeats.Go(func() {
		for i := range 100 {
			registration.Revision = upstream.Revision(i)
			r.SetUpstreams([]upstream.Registration{registration})
		}
	})
	a.run()
	heartbeats.Wait()
}
