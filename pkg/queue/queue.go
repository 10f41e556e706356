// Package queue is a priority queue for requests that wait for a slot. It serves
// the most urgent rank first and the earliest deadline first within a rank.
//
// Each rank can have a floor, a guaranteed fraction of the requests that are
// started, so that it is not starved by more urgent ranks. Each waiting request
// of a caller moves the caller's next request further back, so that a caller with
// many requests does not hold up the others.
package queue

import (
	"container/heap"
	"time"
)

// Item is one waiting request.
type Item[T any] struct {
	// Rank is the priority class; 0 is the most urgent.
	Rank     int
	Deadline time.Time
	Value    T

	// order is the sort key within a rank: the nanoseconds from the queue's start to the
	// deadline, plus callerPenalty for each item of the caller that was already waiting.
	order  int64
	caller string
	// position is the index in the heap, or -1 once the item left the queue.
	position int
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue[T any] struct {
	// started is read with the steady clock only, as the order must not follow the time
	// of day.
	started time.Time
	// ranks has one heap per rank.
	ranks   []deadlineHeap[T]
	credits Credits
	// waiting is the number of waiting items by caller.
	waiting map[string]int
	size    int
}

// Config holds the parameters of a queue.
type Config struct {
	// Floors is the minimum fraction of starts (items that Pop returns) that each
	// rank receives while it has waiting items, most urgent rank first.
	Floors []float64
}

// New returns an empty queue.
func New[T any](config Config) *Queue[T] {
	return &Queue[T]{
		started: time.Now(),
		ranks:   make([]deadlineHeap[T], len(config.Floors)),
		credits: NewCredits(config.Floors),
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

// CountAhead returns the number of waiting items that are at least as urgent as
// a rank.
func (q *Queue[T]) CountAhead(rank int) int {
	ahead := 0
	for r := range min(rank+1, len(q.ranks)) {
		ahead += len(q.ranks[r])
	}
	return ahead
}

// callerPenalty is added to the sort key of an item for each item of the same
// caller that is already waiting.
const callerPenalty = time.Millisecond

// Push adds an item. A rank outside the configured ones is clamped to the
// nearest of them.
func (q *Queue[T]) Push(rank int, deadline time.Time, caller string, value T) *Item[T] {
	rank = max(0, min(rank, len(q.ranks)-1))
	item := &Item[T]{Rank: rank, Deadline: deadline, Value: value, caller: caller}
	item.order = int64(deadline.Sub(q.started)) + int64(callerPenalty)*int64(q.waiting[caller])
	q.waiting[caller]++
	q.size++
	heap.Push(&q.ranks[rank], item)
	return item
}

// Pop removes and returns the next item to start. ok is false if the queue is
// empty.
func (q *Queue[T]) Pop() (item *Item[T], ok bool) {
	rank := q.nextRank()
	if rank < 0 {
		return nil, false
	}
	q.credits.Serve(rank, q.waits)
	item = heap.Pop(&q.ranks[rank]).(*Item[T])
	q.markRemoved(item)
	return item, true
}

// Peek returns the item that Pop would return, without removing it.
func (q *Queue[T]) Peek() (item *Item[T], ok bool) {
	rank := q.nextRank()
	if rank < 0 {
		return nil, false
	}
	return q.ranks[rank][0], true
}

// Remove removes a waiting item. It returns false if the item is no longer in
// the queue.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item.position < 0 {
		return false
	}
	heap.Remove(&q.ranks[item.Rank], item.position)
	q.markRemoved(item)
	return true
}

// markRemoved updates the counters for an item that left its heap.
func (q *Queue[T]) markRemoved(item *Item[T]) {
	item.position = -1
	q.size--
	q.waiting[item.caller]--
	if q.waiting[item.caller] == 0 {
		delete(q.waiting, item.caller)
	}
}

// nextRank returns the rank to serve, or -1 if the queue is empty.
func (q *Queue[T]) nextRank() int {
	return q.credits.Next(q.waits)
}

func (q *Queue[T]) waits(rank int) bool {
	return len(q.ranks[rank]) > 0
}

// deadlineHeap is a min-heap of items by order.
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
