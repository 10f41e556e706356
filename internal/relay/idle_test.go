package relay

import (
	"sync"
	"testing"
	"time"
)

// TestIdleBoundHoldsAmongPools checks that pools that are used at the same time keep the
// bound, and lose no connection unclosed.
func TestIdleBoundHoldsAmongPools(t *testing.T) {
	const pools, maximum, uses = 8, 3, 200
	shared := newIdleConnections(maximum)
	var all []*pool
	var load sync.WaitGroup
	for range pools {
		p := &pool{shared: shared}
		all = append(all, p)
		load.Go(func() {
			for range uses {
				c := p.pop()
				if c == nil {
					c, _ = openConnection(t, time.Now().Add(time.Minute))
				}
				p.put(c, maximum)
			}
		})
	}
	load.Wait()
	idle := 0
	for _, p := range all {
		idle += len(p.idle)
	}
	if idle != shared.byAge.Len() || idle > maximum {
		t.Errorf("the pools hold %d connections, counted are %d, allowed %d", idle, shared.byAge.Len(), maximum)
	}
	for _, p := range all {
		p.shutDown()
	}
	if left := shared.byAge.Len(); left > 0 {
		t.Errorf("%d connections are counted after the pools were shut down", left)
	}
}
