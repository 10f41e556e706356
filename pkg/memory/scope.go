package memory

import (
	"sync"
	"sync/atomic"
)

// Scope holds the leases of one request. They are closed once nobody uses the request any
// more. A nil Scope closes the leases that it gets. It is safe for concurrent use.
type Scope struct {
	// users is the number of those that use the request; the leases are closed at 0.
	users atomic.Int32

	mu     sync.Mutex
	leases []*Lease
}

// NewScope returns a scope with one user.
func NewScope() *Scope {
	s := &Scope{}
	s.users.Store(1)
	return s
}

// Retain adds a user. It must be called by one that is counted.
func (s *Scope) Retain() {
	if s == nil {
		return
	}
	s.users.Add(1)
}

// Release removes a user.
func (s *Scope) Release() {
	if s == nil || s.users.Add(-1) > 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.Close()
	}
	s.leases = nil
}

// Add adds a lease that its user is done with. It must be called by a user of the scope.
func (s *Scope) Add(l *Lease) {
	if l.unused() {
		return
	}
	if s == nil {
		l.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases = append(s.leases, l)
}

// ShrinkReplies lets each lease of a reply keep no more than the count.
func (s *Scope) ShrinkReplies(count Bytes) {
	s.eachReply(func(l *Lease) { l.Shrink(count) })
}

// Deliver lets the group, the caller that gets the answer, answer for the replies from now on.
// end ends the delivery if they must give way to others.
func (s *Scope) Deliver(to Group, end func()) {
	s.eachReply(func(l *Lease) {
		l.Transfer(to)
		l.OnRevoke(end)
	})
}

// Progressed records that the delivery has made progress.
func (s *Scope) Progressed() {
	s.eachReply((*Lease).Progressed)
}

// Delivered ends the delivery.
func (s *Scope) Delivered() {
	s.eachReply(func(l *Lease) { l.OnRevoke(nil) })
}

// eachReply calls the function with each lease of a reply.
func (s *Scope) eachReply(apply func(*Lease)) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		if l.Kind() == Replies {
			apply(l)
		}
	}
}
