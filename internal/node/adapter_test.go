package node

import (
	"testing"
	"time"
)

// TestFollowsClosely plays a fleet that starts at once, and a node that is cut
// off from its peers.
func TestFollowsClosely(t *testing.T) {
	for _, c := range []struct {
		what    string
		running time.Duration
		chosen  bool
		heard   int
		want    bool
	}{
		{"just started, knows only itself", time.Second, true, 0, false},
		{"chosen", 5 * time.Second, true, 8, true},
		{"not chosen, hears others", 5 * time.Second, false, 8, false},
		{"cut off from others", 5 * time.Second, false, 2, true},
	} {
		if got := followsClosely(c.running, c.chosen, c.heard); got != c.want {
			t.Errorf("%s: %t", c.what, got)
		}
	}
}
