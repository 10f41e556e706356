package timer

import (
	"context"
	"testing"
	"time"
)

// TestTicks checks that each subscription fires at its own interval, also one that
// is added while the service sleeps until a later tick.
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
			t.Fatal("no tick within 2s from a subscription with an interval of 20ms")
		}
	}
	s.Cancel(fast)
	select {
	case <-slow.C:
		t.Error("subscription with an interval of 1h fired early")
	default:
	}
}
