package relay

import (
	"sync"
	"time"

	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/route"
)

// delays learns for each route after what time a reply counts as a straggler.
type delays struct {
	mu     sync.Mutex
	routes map[string]*replica.Delays
}

// get returns the delay of a route; 0 if it is not known yet.
func (d *delays) get(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	learner := d.routes[name]
	if learner == nil {
		return 0
	}
	learner.Tick(time.Now())
	delay, _ := learner.Delay()
	return delay
}

// keep forgets the routes that a table does not have.
func (d *delays) keep(table *route.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.routes {
		if !table.Has(name) {
			delete(d.routes, name)
		}
	}
}

// add notes the time of a reply.
func (d *delays) add(name string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	learner := d.routes[name]
	if learner == nil {
		if d.routes == nil {
			d.routes = map[string]*replica.Delays{}
		}
		learner = replica.NewDelays()
		d.routes[name] = learner
	}
	learner.Add(took)
}
