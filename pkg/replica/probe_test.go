package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// TestPausedReplicasAreProbed guards against a service that refuses everything for the
// whole pause after failures of all its replicas: upstreams that fail a part of their
// requests are used again after one probe that succeeds, and upstreams that are down get
// few attempts.
func TestPausedReplicasAreProbed(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Now()
	g := NewGroup(GroupConfig[struct{}]{Service: "s", NewData: func(upstream.Registration) struct{} { return struct{}{} }})
	g.SetLimits(Limits{Connections: 8, Nodes: 1, RateShare: 1})
	g.Sync(now, []upstream.Registration{{ID: "a", Service: "s", Address: "1", Slots: 4}, {ID: "b", Service: "s", Address: "2", Slots: 4}})
	for _, replica := range g.Replicas() {
		for range failuresToDown {
			g.Start(replica, now)
			g.Finish(replica, now, Failed, time.Millisecond)
		}
	}
	if count, _ := g.CountUsable(now); count != 0 || (g.Choose(now, nil, random) != nil || g.Probe(now) != nil) {
		t.Fatalf("%d replicas may be used right after their failures, want 0", count)
	}
	now = now.Add(pausedProbeInterval)
	if count, _ := g.CountUsable(now); count != 1 {
		t.Errorf("%d replicas may be probed, counted as 1", count)
	}
	probed := 0
	for replica := g.Probe(now); replica != nil; replica = g.Probe(now) {
		g.Start(replica, now)
		probed++
	}
	if probed != 2 {
		t.Errorf("%d probes at 2 replicas, want one each", probed)
	}
	first, second := g.Replicas()[0], g.Replicas()[1]
	g.Finish(first, now, Succeeded, time.Millisecond)
	g.Finish(second, now, Failed, time.Millisecond)
	now = now.Add(pausedProbeInterval)
	if count, _ := g.CountUsable(now); count != 1 || g.Choose(now, nil, random) != first {
		t.Errorf("%d replicas may be used after a probe that succeeded, want that one only", count)
	}
	g.MarkLeaving(first)
	if replica := g.Probe(now.Add(pausedProbeInterval)); replica == first {
		t.Error("a leaving replica is probed")
	}
}
