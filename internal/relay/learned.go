package relay

import (
	"sync"

	"github.com/bronzereach/bronzereach/pkg/route"
)

// perRoute keeps what is learnt of each route.
type perRoute[T any] struct {
	// first returns what is known of a route before anything is learnt.
	first func() *T

	mu     sync.Mutex
	routes map[string]*T
}

func newPerRoute[T any](first func() *T) *perRoute[T] {
	return &perRoute[T]{first: first, routes: map[string]*T{}}
}

// use calls the function with what is known of a route, one call at a time.
func (p *perRoute[T]) use(name string, call func(known *T)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.routes[name]
	if known == nil {
		known = p.first()
		p.routes[name] = known
	}
	call(known)
}

// keep forgets the routes that a table does not have.
func (p *perRoute[T]) keep(table *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.routes {
		if !table.HasRoute(name) {
			delete(p.routes, name)
		}
	}
}
