package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// TestSlots: the slots are this node's share of the replicas, and not known before each has
// replied. One that can be used again in time counts, one that leaves doesn't.
func TestSlots(t *testing.T) {
	now := time.Unix(100, 0)
	g := NewGroup(GroupConfig[struct{}]{NewData: func(upstream.Registration) struct{} { return struct{}{} }})
	g.Sync(now, []upstream.Registration{{ID: "a", Slots: 4}, {ID: "b", Slots: 4}, {ID: "c", Slots: 4}})
	g.SetLimits(Limits{Connections: 100, Nodes: 4, RateShare: 1})
	finish := func(r *Replica[struct{}], took time.Duration) {
		g.Start(r, now)
		g.Finish(r, now, Succeeded, took)
	}
	replicas := g.Replicas()
	finish(replicas[0], 10*time.Millisecond)
	if slots, _ := g.Slots(now); slots != 0 {
		t.Errorf("%d slots although two replicas have not replied", slots)
	}
	finish(replicas[1], 10*time.Millisecond)
	finish(replicas[2], 10*time.Millisecond)
	g.BackOff(replicas[1], now, now.Add(time.Second), rand.New(rand.NewPCG(1, 1)))
	g.MarkLeaving(replicas[2])
	if slots, slotTime := g.Slots(now); slots != 4 || slotTime.Round(time.Millisecond) != 10*time.Millisecond {
		t.Errorf("%d slots of %s, want 4 of 10ms", slots, slotTime)
	}
	if slots, _ := g.Slots(now.Add(time.Minute)); slots != 8 {
		t.Errorf("%d slots when the second replica may be used again, want 8", slots)
	}
}
