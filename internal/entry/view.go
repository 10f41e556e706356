package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzereach/bronzereach/pkg/assignment"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/member"
)

// configConfirmationTTL is how long a node takes its configuration to be the newest
// after the store or enough peers have confirmed it.
const configConfirmationTTL = 8 * time.Second

// View is the state of the cluster that the control goroutine publishes to the
// goroutines that handle requests. It is immutable.
type View struct {
	// Document is nil until the node has a configuration.
	Document      *document.Document
	ConfigVersion uint64
	// ConfigConfirmedAt is when ConfigVersion was last known to be the newest.
	ConfigConfirmedAt time.Time
	Assignment        *assignment.Table
	// Members holds all known members by VM.
	Members map[string]member.Member
	Self    member.Member
}

// Current reports whether the configuration was confirmed as the newest within
// configConfirmationTTL.
func (v *View) Current(now time.Time) bool {
	return now.Sub(v.ConfigConfirmedAt) < configConfirmationTTL
}

// alive returns the member and whether it is known and not dead.
func (v *View) alive(vm string) (member.Member, bool) {
	m, found := v.Members[vm]
	return m, found && m.State != member.Dead
}

// CountAlive returns the number of members that are not dead.
func (v *View) CountAlive() int {
	count := 0
	for _, m := range v.Members {
		if m.State != member.Dead {
			count++
		}
	}
	return count
}

// nodeOrder returns the sort key of a node for a caller, a hash that orders the
// nodes differently for each caller.
func nodeOrder(caller, vm string) uint64 {
	return xxhash.Sum64String(caller + "\x00" + vm)
}
