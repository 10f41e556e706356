package member

import (
	"math"
	"slices"
)

// spreadFactor is how often an item is sent, as a multiple of the logarithm of
// the number of members.
const spreadFactor = 3

// Spread holds items that are to be told to other members, each a bounded
// number of times, those told least first.
type GossipQueue[K comparable, V any] struct {
	items map[K]*spreadItem[V]
	order []K
}

// spreadItem is one item and how often it was sent.
type spreadItem[V any] struct {
	value V
	sent  int
}

// NewSpread returns an empty spread.
func NewGossipQueue[K comparable, V any]() *GossipQueue[K, V] {
	return &GossipQueue[K, V]{items: map[K]*spreadItem[V]{}}
}

// Put adds an item or replaces the one with the same key, not yet told.
func (s *GossipQueue[K, V]) Put(key K, value V) {
	if _, found := s.items[key]; !found {
		s.order = append(s.order, key)
	}
	s.items[key] = &spreadItem[V]{value: value}
}

// Take returns up to limit items to send now in a group of the given size, and
// drops those that have been sent often enough.
func (s *GossipQueue[K, V]) NextBatch(limit, members int) []V {
	if len(s.order) == 0 {
		return nil
	}
	slices.SortStableFunc(s.order, func(a, b K) int { return s.items[a].sent - s.items[b].sent })
	sends := spreadFactor * (1 + int(math.Log2(float64(members+1))))
	values := make([]V, 0, min(limit, len(s.order)))
	kept := s.order[:0]
	for i, key := range s.order {
		item := s.items[key]
		if i < limit {
			values = append(values, item.value)
			item.sent++
		}
		if item.sent >= sends {
			delete(s.items, key)
			continue
		}
		kept = append(kept, key)
	}
	s.order = kept
	return values
}

// Len returns the number of items still to be told.
func (s *GossipQueue[K, V]) Len() int {
	return len(s.order)
}
