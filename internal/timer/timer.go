// Package timer is the node's one source of periodic time. Parts subscribe
// with an interval and receive ticks; a part that is late misses ticks instead
// of queueing them.
package timer

import (
	"context"
	"sync"
	"time"
)

// Resolution is the shortest interval a part can subscribe with.
const Resolution = 10 * time.Millisecond

// Tick is one firing of a subscription.
type Tick struct {
	// Now is the time of the firing.
	Now time.Time
}

// Subscription is one part's interest in time.
type Subscription struct {
	// C carries at most one waiting tick.
	C        chan Tick
	interval time.Duration
	next     time.Time
}

// Service hands out ticks to its subscribers.
type Service struct {
	// changed wakes run when a subscription may be due before the others.
	changed chan struct{}
	mu      sync.Mutex
	// subscriptions is never reordered; cancelled entries are removed.
	subscriptions []*Subscription
}

// NewService returns a service without subscribers. Its run method must be
// started for ticks to flow.
func NewService() *Service {
	return &Service{changed: make(chan struct{}, 1)}
}

// Subscribe returns a subscription that fires every interval from now on.
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

// Cancel ends a subscription.
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

// Run fires subscriptions until the context ends.
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
		timer.Reset(max(s.fire(now).Sub(now), Resolution))
	}
}

// idleWait is how long run waits without subscriptions.
const idleWait = time.Minute

// fire hands out what is due and returns when something will be again.
func (s *Service) fire(now time.Time) (next time.Time) {
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
