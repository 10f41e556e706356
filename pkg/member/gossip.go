package member

import (
	"math"
	"slices"
)

// sendFactor is the number of times that an item is sent, as a multiple of
// the binary logarithm of the number of members.
const sendFactor = 3

// MaxNotices is the maximum number of notices in one exchange. With a lower one,
// the notices of an index whose upstreams all leave at once reach the last nodes
// of a large fleet too late.
const MaxNotices = 256

// GossipQueue holds items to pass on to other members by gossip. Each item is
// sent a bounded number of times, the least sent items first.
type GossipQueue[K comparable, V any] struct {
	items map[K]*gossipItem[V]
	order []K
}

// gossipItem is an item with the number of times it was sent.
type gossipItem[V any] struct {
	value V
	sent  int
}

// NewGossipQueue returns an empty queue.
func NewGossipQueue[K comparable, V any]() *GossipQueue[K, V] {
	return &GossipQueue[K, V]{items: map[K]*gossipItem[V]{}}
}

// Put adds an item or replaces the one with the same key. Its send count starts
// at zero.
func (q *GossipQueue[K, V]) Put(key K, value V) {
	if _, found := q.items[key]; !found {
		q.order = append(q.order, key)
	}
	q.items[key] = &gossipItem[V]{value: value}
}

// MarkKnown counts an item as sent once more, because another member that knows it
// has just sent it.
func (q *GossipQueue[K, V]) MarkKnown(key K) {
	if item, found := q.items[key]; found {
		item.sent++
	}
}

// NextBatch returns up to limit items to send now, the least sent ones first, given
// the number of members, and drops the items that have been sent often enough.
func (q *GossipQueue[K, V]) NextBatch(limit, members int) []V {
	if len(q.order) == 0 {
		return nil
	}
	slices.SortStableFunc(q.order, func(a, b K) int { return q.items[a].sent - q.items[b].sent })
	sends := sendFactor * (1 + int(math.Log2(float64(members+1))))
	values := make([]V, 0, min(limit, len(q.order)))
	kept := q.order[:0]
	for i, key := range q.order {
		item := q.items[key]
		if i < limit {
			values = append(values, item.value)
			item.sent++
		}
		if item.sent >= sends {
			delete(q.items, key)
			continue
		}
		kept = append(kept, key)
	}
	q.order = kept
	return values
}

// Len returns the number of items that are still to be sent.
func (q *GossipQueue[K, V]) Len() int {
	return len(q.order)
}
