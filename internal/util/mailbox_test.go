package util

import (
	"slices"
	"testing"
)

func TestMailboxNeverBlocksAndCoalesces(t *testing.T) {
	m := NewMailbox[int]()
	const values = 10_000
	for range 2 {
		for i := range values {
			m.Put(i)
		}
	}
	<-m.Ready()
	got := m.Take()
	if len(got) != values || !slices.IsSorted(got) {
		t.Errorf("took %d values, sorted %t", len(got), slices.IsSorted(got))
	}
	if left := m.Take(); len(left) != 0 {
		t.Errorf("took %d values twice", len(left))
	}
	m.Put(1)
	select {
	case <-m.Ready():
	default:
		t.Error("not ready after a value was put again")
	}
}
