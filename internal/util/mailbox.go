package util

import "sync"

// Mailbox passes values to one goroutine without ever blocking the sender, so that two
// goroutines that send to each other can't wait for each other. Equal values that are not
// taken yet coalesce. It is safe for concurrent use.
type Mailbox[T comparable] struct {
	ready chan struct{}

	mu sync.Mutex
	// values holds the values that are not taken yet, in the order of Put; queued holds
	// the same ones.
	values []T
	queued Set[T]
}

// NewMailbox returns an empty mailbox.
func NewMailbox[T comparable]() *Mailbox[T] {
	return &Mailbox[T]{ready: make(chan struct{}, 1), queued: NewSet[T]()}
}

// Put adds a value, unless an equal one is waiting.
func (m *Mailbox[T]) Put(value T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.queued.Add(value) {
		return
	}
	m.values = append(m.values, value)
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel that fires when there may be values to take.
func (m *Mailbox[T]) Ready() <-chan struct{} {
	return m.ready
}

// Take removes and returns all values in the order of Put.
func (m *Mailbox[T]) Take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	values := m.values
	m.values, m.queued = nil, NewSet[T]()
	return values
}
