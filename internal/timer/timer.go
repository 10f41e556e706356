// Package timer delivers periodic ticks to all components of a node from one
// shared timer. A component subscribes with an interval. If it falls behind, it
// misses ticks; they are not queued.
package timer

import (
	"context"
	"sync"
	"time"
)

// Resolution is the shortest interval of a subscription.
const Resolution = 10 * time.Millisecond

// Tick is one firing of a subscription.
type Tick struct {
	// Now is the time of the firing.
	Now time.Time
}

// Subscription receives ticks at a fixed interval.
type Subscription struct {
	// C delivers the ticks and buffers at most one.
	C        chan Tick
	interval time.Duration
	next     time.Time
}

// Service delivers ticks to its subscriptions. It is safe for concurrent use.
type Service struct {
	// changed wakes run when a new subscription may fire before the others.
	changed chan struct{}
	mu      sync.Mutex
	// subscriptions holds the active subscriptions in the order of Subscribe.
	subscriptions []*Subscription
}

// NewService returns a service without subscriptions. It delivers ticks while Run
// runs.
func NewService() *Service {
	return &Service{changed: make(chan struct{}, 1)}
}

// Subscribe returns a subscription that fires every interval, first after one
// interval. Intervals below Resolution are raised to it.
func (s *Service) Subscribe(interval time.Duration) *Subscription {
	subscription := &Subscription{
		C:        make(chan Tick, 1),
		interval: max(interval, Resolution),
		next:     time.Now().Add(interval),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscriptions = append(s.subscriptions, subscription)
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return subscription
}

// Cancel ends a subscription. Its channel is not closed and may still hold a tick.
func (s *Service) Cancel(subscription *Subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, candidate := range s.subscriptions {
		if candidate == subscription {
			s.subscriptions = append(s.subscriptions[:i], s.subscriptions[i+1:]...)
			return
		}
	}
}

// Run fires subscriptions until the context ends and returns its error.
func (s *Service) Run(ctx context.Context) error {
	return s.run(ctx)
}

func (s *Service) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.changed:
		case <-timer.C:
		}
		now := time.Now()
		timer.Reset(max(s.fireDue(now).Sub(now), Resolution))
	}
}

// idleWait is the longest time that run sleeps, unless a subscription is added.
const idleWait = time.Minute

// fireDue sends a tick to each subscription that is due and returns the time of
// the next check.
func (s *Service) fireDue(now time.Time) (next time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next = now.Add(idleWait)
	for _, subscription := range s.subscriptions {
		if !now.Before(subscription.next) {
			subscription.next = now.Add(subscription.interval)
			select {
			case subscription.C <- Tick{Now: now}:
			default:
			}
		}
		if subscription.next.Before(next) {
			next = subscription.next
		}
	}
	return next
}
