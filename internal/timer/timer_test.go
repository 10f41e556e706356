package timer

import (
	"context"
	"testing"
	"time"
)

// TestTicks: each subscription fires at its own interval, also one that comes
// while the service waits for a later one.
func TestTicks(t *testing.T) {
	s := NewService()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.Run(ctx) }()
	slow := s.Subscribe(time.Hour)
	time.Sleep(30 * time.Millisecond)
	fast := s.Subscribe(20 * time.Millisecond)
	for range 3 {
		select {
		case <-fast.C:
		case <-time.After(2 * time.Second):
			t.Fatal("no tick")
		}
	}
	s.Cancel(fast)
	select {
	case <-slow.C:
		t.Error("fired before its time")
	default:
	}
}
