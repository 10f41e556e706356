// Package queue orders the work that waits for a slot: most urgent rank first,
// earliest deadline first within a rank, with a floor for each lower rank and
// fair turns between callers.
package queue

import (
	"container/heap"
	"time"
)

// creditLimit bounds how much unused floor a rank can save up, in requests.
const creditLimit = 3.0

// Item is one piece of waiting work.
type Item[T any] struct {
	// Rank counts from 0, the most urgent.
	Rank     int
	Deadline time.Time
	Value    T

	// order is the deadline in nanoseconds, later for a caller that already
	// has many items waiting.
	order    int64
	caller   string
	position int
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue[T any] struct {
	floors []float64
	// ranks has one heap for each floor.
	ranks []deadlineHeap[T]
	// credits holds the starts owed to each rank under its floor.
	credits []float64
	// waiting counts the items by caller.
	waiting map[string]int
	size    int
}

// Config tells how a queue serves its ranks.
type Config struct {
	// Floors is the fraction of starts each rank receives while it has work,
	// most urgent first.
	Floors []float64
}

// New returns an empty queue.
func New[T any](config Config) *Queue[T] {
	return &Queue[T]{
		floors:  config.Floors,
		ranks:   make([]deadlineHeap[T], len(config.Floors)),
		credits: make([]float64, len(config.Floors)),
		waiting: map[string]int{},
	}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int {
	return q.size
}

// Waiting returns the number of waiting items of a rank.
func (q *Queue[T]) Waiting(rank int) int {
	return len(q.ranks[rank])
}

// Ahead returns the number of waiting items that are at least as urgent as a
// rank.
func (q *Queue[T]) CountAhead(rank int) int {
	ahead := 0
	for r := range min(rank+1, len(q.ranks)) {
		ahead += len(q.ranks[r])
	}
	return ahead
}

// fairness is how much later in the order an item stands for each item that
// its caller already has waiting.
const fairness = time.Millisecond

// Push adds work. A rank outside the configured ones counts as the last.
func (q *Queue[T]) Push(rank int, deadline time.Time, caller string, value T) *Item[T] {
	rank = max(0, min(rank, len(q.ranks)-1))
	item := &Item[T]{Rank: rank, Deadline: deadline, Value: value, caller: caller}
	item.order = deadline.UnixNano() + int64(fairness)*int64(q.waiting[caller])
	q.waiting[caller]++
	q.size++
	heap.Push(&q.ranks[rank], item)
	return item
}

// Pop takes the next item to start. ok is false if nothing waits.
func (q *Queue[T]) Pop() (item *Item[T], ok bool) {
	rank := q.next()
	if rank < 0 {
		return nil, false
	}
	q.settle(rank)
	item = heap.Pop(&q.ranks[rank]).(*Item[T])
	q.forget(item)
	return item, true
}

// Peek returns the item that Pop would take.
func (q *Queue[T]) Peek() (item *Item[T], ok bool) {
	rank := q.next()
	if rank < 0 {
		return nil, false
	}
	return q.ranks[rank][0], true
}

// Remove takes out an item that is still waiting; false if it is not.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.position < 0 {
		return false
	}
	heap.Remove(&q.ranks[item.Rank], item.position)
	q.forget(item)
	return true
}

func (q *Queue[T]) forget(item *Item[T]) {
	item.position = -1
	q.size--
	q.waiting[item.caller]--
	if q.waiting[item.caller] == 0 {
		delete(q.waiting, item.caller)
	}
}

// next returns the rank to serve: the one that is owed most under its floor, if
// that is a whole start, else the most urgent with work; -1 if nothing waits.
func (q *Queue[T]) next() int {
	urgent, owed := -1, -1
	for rank := range q.ranks {
		if len(q.ranks[rank]) == 0 {
			continue
		}
		if urgent < 0 {
			urgent = rank
			continue
		}
		if q.credits[rank] >= 1 && (owed < 0 || q.credits[rank] > q.credits[owed]) {
			owed = rank
		}
	}
	if owed >= 0 {
		return owed
	}
	return urgent
}

// settle books a start of the rank: each waiting rank earns its floor, and the
// one served pays for its start.
func (q *Queue[T]) settle(served int) {
	for rank := range q.credits {
		if len(q.ranks[rank]) == 0 {
			q.credits[rank] = 0
			continue
		}
		q.credits[rank] = min(creditLimit, q.credits[rank]+q.floors[rank])
	}
	q.credits[served] = max(0, q.credits[served]-1)
}

// deadlineHeap is a heap of items by order.
type deadlineHeap[T any] []*Item[T]

func (h deadlineHeap[T]) Len() int           { return len(h) }
func (h deadlineHeap[T]) Less(i, j int) bool { return h[i].order < h[j].order }

func (h deadlineHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *deadlineHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.position = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *deadlineHeap[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}
