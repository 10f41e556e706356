package node

import (
	"math"
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// TestFollowsClosely checks that a node that has just started watches the store closely
// only as a watcher among the members that it has heard of, so that a fleet that starts
// at once does not overload the store, and that a node cut off from its peers does.
func TestFollowsClosely(t *testing.T) {
	for _, c := range []struct {
		what           string
		uptime         time.Duration
		isWatcher      bool
		recentContacts int
		want           bool
	}{
		{"just started, knows only itself", time.Second, true, 0, false},
		{"a watcher", 5 * time.Second, true, 8, true},
		{"not a watcher, in contact with others", 5 * time.Second, false, 8, false},
		{"cut off from others", 5 * time.Second, false, 2, true},
		{"a watcher too early to know", 200 * time.Millisecond, true, 3, false},
		{"a watcher among the first known members", 600 * time.Millisecond, true, 1, true},
		{"just started, others watch", 600 * time.Millisecond, false, 1, false},
		{"just started, heard nobody", 1600 * time.Millisecond, true, 0, true},
		{"just started, not ready", 1600 * time.Millisecond, false, 0, false},
	} {
		if got := followsStoreClosely(c.uptime, c.isWatcher, c.recentContacts); got != c.want {
			t.Errorf("%s: %t", c.what, got)
		}
	}
}

// TestRegistrationsOutOfRangeReachPeersInRange: a value that a message can't hold doesn't
// turn into another one at the peers.
func TestRegistrationsOutOfRangeReachPeersInRange(t *testing.T) {
	sent := []upstream.Registration{
		{ID: "a", Slots: -1, ColdRemaining: -time.Millisecond},
		{ID: "b", Slots: math.MaxInt, ColdRemaining: math.MaxInt64},
	}
	got := registrationsFromWire(registrationsToWire(sent))
	if got[0].Slots > 1 || got[0].ColdRemaining > 0 {
		t.Errorf("negative values arrive as %d slots, cold for %s", got[0].Slots, got[0].ColdRemaining)
	}
	if got[1].Slots < math.MaxUint32 || got[1].ColdRemaining < math.MaxUint32*time.Millisecond {
		t.Errorf("large values arrive as %d slots, cold for %s", got[1].Slots, got[1].ColdRemaining)
	}
}
