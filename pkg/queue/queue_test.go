package queue

import (
	"flag"
	"testing"
	"time"
	"unsafe"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes the cases reproducible. rapid defines the flag, so Set
	// can't fail.
	_ = flag.Set("rapid.seed", "1")
}

var epoch = time.Unix(1_700_000_000, 0)

func drain(q *Queue[int]) (ranks []int) {
	for {
		item, ok := q.Pop()
		if !ok {
			return ranks
		}
		ranks = append(ranks, item.Rank)
	}
}

func TestUrgentFirstThenDeadline(t *testing.T) {
	q := New[int](Config{Floors: []float64{0, 0}})
	q.Push(1, epoch, "a", 1)
	q.Push(0, epoch.Add(2*time.Second), "a", 2)
	q.Push(0, epoch.Add(time.Second), "b", 3)
	var order []int
	for q.Len() > 0 {
		item, _ := q.Pop()
		order = append(order, item.Value)
	}
	if order[0] != 3 || order[1] != 2 || order[2] != 1 {
		t.Errorf("order %v, want 3 2 1", order)
	}
}

// TestFloors checks for random floors that each lower rank that always has
// waiting items receives its floor of the starts, within a few, and no more.
func TestFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floors := []float64{0, rapid.Float64Range(0, 0.4).Draw(t, "middle"), rapid.Float64Range(0, 0.4).Draw(t, "low")}
		q := New[int](Config{Floors: floors})
		const starts = 1000
		for rank := range floors {
			for range starts {
				q.Push(rank, epoch, "caller", 0)
			}
		}
		counts := make([]int, len(floors))
		for range starts {
			item, _ := q.Pop()
			counts[item.Rank]++
		}
		for rank := 1; rank < len(floors); rank++ {
			want := floors[rank] * starts
			if got := float64(counts[rank]); got < want-maxCredit-1 || got > want+maxCredit+1 {
				t.Fatalf("rank %d started %v times, floor %v (starts by rank %v)", rank, got, want, counts)
			}
		}
	})
}

// TestTwoFloorsAtOnce checks that a rank keeps its full floor if another rank is
// owed a start at the same time.
func TestTwoFloorsAtOnce(t *testing.T) {
	const starts = 10_000
	q := New[int](Config{Floors: []float64{0, 0.125, 0.4}})
	for rank := range 3 {
		for range starts {
			q.Push(rank, epoch, "caller", 0)
		}
	}
	counts := make([]int, 3)
	for range starts {
		item, _ := q.Pop()
		counts[item.Rank]++
	}
	if counts[1] < 1247 || counts[2] < 3997 {
		t.Errorf("starts by rank %v, want the floors 1250 and 4000 for ranks 1 and 2", counts)
	}
}

func TestFairTurns(t *testing.T) {
	q := New[int](Config{Floors: []float64{0}})
	for range 50 {
		q.Push(0, epoch, "heavy", 1)
	}
	q.Push(0, epoch.Add(5*time.Millisecond), "light", 2)
	for position := range 10 {
		if item, _ := q.Pop(); item.Value == 2 {
			if position > 6 {
				t.Errorf("the light caller was served at position %d, want 6 or less", position)
			}
			return
		}
	}
	t.Error("the light caller was not among the first 10 served")
}

func TestRemove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](Config{Floors: []float64{0, 0.1}})
		var items []*Item[int]
		for i := range rapid.IntRange(1, 30).Draw(t, "count") {
			deadline := epoch.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "deadline")) * time.Second)
			items = append(items, q.Push(i%2, deadline, "caller", i))
		}
		removed := 0
		for i, item := range items {
			if i%3 == 0 && q.Remove(item) {
				removed++
			}
		}
		if q.Remove(items[0]) {
			t.Fatal("an item was removed twice")
		}
		if left := len(drain(q)); left != len(items)-removed || q.Len() != 0 {
			t.Fatalf("%d of %d items left after %d were removed", left, len(items), removed)
		}
	})
}

func BenchmarkPushPop(b *testing.B) {
	q := New[int](Config{Floors: []float64{0, 0.1, 0.05}})
	for i := range 1000 {
		q.Push(i%3, epoch, "caller", i)
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Push(1, epoch, "caller", 1)
		q.Pop()
	}
}

// setBack returns the time as read at the same moment from a clock that was set back by
// an hour: the steady reading stays.
func setBack(t *testing.T, at time.Time) time.Time {
	t.Helper()
	const secondsOffset, hour = 30, 3600
	changed := at
	*(*uint64)(unsafe.Pointer(&changed)) -= hour << secondsOffset
	if changed.Sub(at) != 0 || at.Unix()-changed.Unix() != hour {
		t.Fatal("this version of Go represents times in another way")
	}
	return changed
}

// TestOrderIsSteady: after a clock was set back, new items went before all waiting ones.
func TestOrderIsSteady(t *testing.T) {
	q := New[int](Config{Floors: []float64{0}})
	now := time.Now()
	q.Push(0, now.Add(time.Second), "a", 1)
	q.Push(0, setBack(t, now.Add(2*time.Second)), "b", 2)
	if item, ok := q.Pop(); !ok || item.Value != 1 {
		t.Errorf("the first item is %+v, want the one with the earlier deadline", item)
	}
}
