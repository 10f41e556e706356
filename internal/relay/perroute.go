package relay

import (
	"sync"

	"github.com/bronzereach/bronzereach/pkg/route"
)

// perRoute holds a value of type T for each route, by route name.
type perRoute[T any] struct {
	// newValue returns the initial value of a route.
	newValue func() *T

	mu     sync.Mutex
	routes map[string]*T
}

func newPerRoute[T any](newValue func() *T) *perRoute[T] {
	return &perRoute[T]{newValue: newValue, routes: map[string]*T{}}
}

// update calls fn with the value of a route, creating it if needed. Calls are
// serialized.
func (p *perRoute[T]) update(name string, fn func(value *T)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	value := p.routes[name]
	if value == nil {
		value = p.newValue()
		p.routes[name] = value
	}
	fn(value)
}

// retain deletes the values of routes that are not in the table.
func (p *perRoute[T]) retain(table *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.routes {
		if !table.HasRoute(name) {
			delete(p.routes, name)
		}
	}
}
