package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzereach/bronzereach/pkg/assignment"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/member"
)

// currentFor is how long a node trusts its configuration to be the newest
// after it last heard the store or enough of its peers.
const currentFor = 8 * time.Second

// View is what the control thread publishes for traffic. It is immutable.
type View struct {
	Document      *document.Document
	ConfigVersion uint64
	// Confirmed is when ConfigVersion was last known to be the newest.
	ConfigConfirmedAt time.Time
	Assignment        *assignment.Table
	// Members holds all known members by VM.
	Members map[string]member.Member
	Self    member.Member
}

// Current reports whether the node can know that its configuration is the
// newest.
func (v *View) Current(now time.Time) bool {
	return now.Sub(v.ConfigConfirmedAt) < currentFor
}

// alive returns a member if it may be called.
func (v *View) alive(vm string) (member.Member, bool) {
	m, found := v.Members[vm]
	return m, found && m.State != member.Dead
}

// spreadOrder gives each caller its own order of the nodes.
func spreadOrder(caller, vm string) uint64 {
	return xxhash.Sum64String(caller + "\x00" + vm)
}
