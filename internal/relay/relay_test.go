package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/pkg/route"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// TestOldServicesAreForgotten: an index that is repartitioned again and again
// leaves nothing behind, and a service that the table still names is kept
// through a time without upstreams.
func TestOldServicesAreForgotten(t *testing.T) {
	r := New(Config{NodeCount: func() int { return 1 }, Log: logr.Discard()})
	for i := range 20 {
		shard, name := fmt.Sprint("shard-", i), fmt.Sprint("route-", i)
		r.SetUpstreams([]upstream.Registration{{ID: shard, Service: shard, Address: shard, Slots: 1}})
		r.SetTable(route.NewTable(route.Config{
			Version: uint64(i + 1),
			Routes:  []route.Route{{Name: name, Host: "h", Prefix: "/", Shards: []string{shard}}},
		}))
		r.delays.add(name, time.Millisecond)
	}
	r.SetUpstreams(nil)
	if s := r.state.Load(); len(s.services) != 1 || s.services["shard-19"] == nil {
		t.Errorf("%d services are kept", len(s.services))
	}
	if len(r.delays.routes) != 1 {
		t.Errorf("delays of %d routes are kept", len(r.delays.routes))
	}
}

// TestNeverBack: a table with a lower version is not put in force.
func TestNeverBack(t *testing.T) {
	r := New(Config{NodeCount: func() int { return 1 }, Log: logr.Discard()})
	r.SetTable(route.NewTable(route.Config{Version: 5}))
	r.SetTable(route.NewTable(route.Config{Version: 4}))
	if got := r.Table().Version(); got != 5 {
		t.Errorf("version %d in force", got)
	}
}
