package node

import (
	"testing"
	"time"
)

// TestFollowsClosely checks that a node that has just started does not watch the
// store closely, so that a fleet that starts at once does not overload it, and that
// a node cut off from its peers does.
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
	} {
		if got := followsStoreClosely(c.uptime, c.isWatcher, c.recentContacts); got != c.want {
			t.Errorf("%s: %t", c.what, got)
		}
	}
}
