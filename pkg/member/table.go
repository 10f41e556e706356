package member

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Constants of failure detection and gossip.
const (
	// suspectRound is the part of a suspect's time to refute that each doubling
	// of the members adds: the suspicion must reach it and its answer the others.
	suspectRound = 350 * time.Millisecond
	// suspectRounds is the fewest such parts.
	suspectRounds = 2.0
	// tombstone is how long the dead are remembered, so that old news of them
	// doesn't bring them back.
	tombstone = 5 * time.Minute
	// burialInterval is the time between two searches for the long dead.
	burialInterval = 10 * time.Second
	// Buckets is the number of parts of the table that are compared apart.
	BucketCount = 64
	// maximumUpdates is the number of claims sent along with one exchange.
	maximumUpdates = 24
	// ownZone and ownRegion are the chances that an exchange stays in the
	// availability zone, or else in the region.
	ownZone   = 0.6
	ownRegion = 0.8
	// deadContact is the chance that an exchange tries a dead member, so that
	// parts that lost each other meet again.
	deadContact = 0.05
)

// row is a member and when its claim was taken over.
type row struct {
	member  Member
	changed time.Time
}

// suspicion is what a node knows of a suspect.
type suspicion struct {
	// refused is true if the VM itself said that no process listens.
	refused bool
	// due is true once the time to refute is over and the last try is under way.
	due bool
}

// Table is one node's view of all members. The node's own row is always what
// it states of itself.
type Table struct {
	self string
	rows map[string]*row
	// buckets holds the combined hash of each part of the table.
	buckets [BucketCount]uint64
	updates *GossipQueue[string, Member]
	// order lists the other members' names, sorted, for choosing among them.
	order []string
	// generation rises with every change.
	generation uint64
	// alive counts the rows that aren't dead.
	alive int
	// suspects holds the members whose time to refute is running.
	suspects map[string]suspicion
	// burial is when the table is next searched for the long dead.
	burial time.Time
}

// NewTable returns a table with only the node itself.
func NewTable(self Member, now time.Time) *Table {
	t := &Table{self: self.VM, rows: map[string]*row{}, updates: NewGossipQueue[string, Member](), suspects: map[string]suspicion{}}
	t.put(self, now)
	return t
}

// Self returns what the node states of itself.
func (t *Table) Self() Member {
	return t.rows[t.self].member
}

// Get finds a member by its VM.
func (t *Table) Get(vm string) (Member, bool) {
	r, found := t.rows[vm]
	if !found {
		return Member{}, false
	}
	return r.member, true
}

// Members returns all rows, sorted by VM.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.rows))
	for _, vm := range slices.Sorted(maps.Keys(t.rows)) {
		members = append(members, t.rows[vm].member)
	}
	return members
}

// Generation rises with every change of the table.
func (t *Table) Generation() uint64 {
	return t.generation
}

// Digest is the combined hash of the whole table: equal tables have equal ones.
func (t *Table) Digest() uint64 {
	digest := uint64(0)
	for _, bucket := range t.buckets {
		digest ^= bucket
	}
	return digest
}

// BucketHashes returns the combined hash of each part of the table.
func (t *Table) BucketHashes() []uint64 {
	return slices.Clone(t.buckets[:])
}

// Differing returns the parts whose hashes differ from the given ones.
func (t *Table) DifferingBuckets(hashes []uint64) []uint32 {
	var differing []uint32
	for i, hash := range hashes {
		if i < BucketCount && t.buckets[i] != hash {
			differing = append(differing, uint32(i))
		}
	}
	return differing
}

// InBuckets returns the members of the given parts.
func (t *Table) MembersInBuckets(wanted []uint32) []Member {
	var members []Member
	for _, r := range t.rows {
		if slices.Contains(wanted, bucketOf(r.member.VM)) {
			members = append(members, r.member)
		}
	}
	return members
}

func bucketOf(vm string) uint32 {
	return uint32(xxhash.Sum64String(vm) % BucketCount)
}

// put replaces a row and keeps the hashes true.
func (t *Table) put(m Member, now time.Time) {
	bucket := bucketOf(m.VM)
	if old, found := t.rows[m.VM]; found {
		t.buckets[bucket] ^= old.member.Hash()
		t.count(old.member, -1)
	} else if m.VM != t.self {
		position, _ := slices.BinarySearch(t.order, m.VM)
		t.order = slices.Insert(t.order, position, m.VM)
	}
	t.buckets[bucket] ^= m.Hash()
	t.count(m, 1)
	t.rows[m.VM] = &row{member: m, changed: now}
	t.updates.Put(m.VM, m)
	t.generation++
}

// count keeps the number of the living and the set of the suspects true.
func (t *Table) count(m Member, change int) {
	if m.State != Dead {
		t.alive += change
	}
	delete(t.suspects, m.VM)
	if m.State == Suspect && change > 0 {
		t.suspects[m.VM] = suspicion{}
	}
}

// Alive returns the number of members that aren't dead, the node included.
func (t *Table) Alive() int {
	return t.alive
}

// Restate changes what the node states of itself.
func (t *Table) SetOwnState(now time.Time, state State) {
	own := t.Self()
	if own.State == state {
		return
	}
	t.put(own.WithState(state).WithRevision(own.Revision+1), now)
}

// Merge takes over the claims that supersede known ones and returns them. A
// claim against the node itself is refuted. stale is true if another process
// has since started under the node's own name.
func (t *Table) Merge(now time.Time, claims []Member) (changed []Member, stale bool) {
	for _, claim := range claims {
		if claim.VM == t.self {
			stale = t.refute(now, claim) || stale
			continue
		}
		known, found := t.rows[claim.VM]
		if found && !claim.Supersedes(known.member) {
			continue
		}
		if !found && claim.State == Dead {
			continue
		}
		t.put(claim, now)
		changed = append(changed, claim)
	}
	return changed, stale
}

func (t *Table) refute(now time.Time, claim Member) (stale bool) {
	own := t.Self()
	if claim.Incarnation != own.Incarnation {
		return claim.Incarnation > own.Incarnation
	}
	if claim.Supersedes(own) {
		t.put(own.WithRevision(claim.Revision+1), now)
	}
	return false
}

// Suspect notes that a member could not be reached, not even through others.
// refused is true if its VM itself said that no process listens: then the
// node's doubt in itself does not lengthen the time to refute. It reports
// whether the suspicion is news.
func (t *Table) Suspect(now time.Time, vm string, refused bool) bool {
	r, found := t.rows[vm]
	if !found || vm == t.self || r.member.State == Dead {
		return false
	}
	if r.member.State == Suspect {
		known := t.suspects[vm]
		known.refused = known.refused || refused
		t.suspects[vm] = known
		return false
	}
	state := Suspect
	if r.member.State == Leaving {
		// A leaving member that can't be reached has left.
		state = Dead
	}
	t.put(r.member.WithState(state), now)
	if state == Suspect {
		t.suspects[vm] = suspicion{refused: refused}
	}
	return true
}

// SuspectTimeout is how long a suspect has to refute, given how many members
// there are.
func (t *Table) SuspectTimeout() time.Duration {
	rounds := max(suspectRounds, math.Log2(float64(t.alive))-1)
	return time.Duration(rounds * float64(suspectRound))
}

// Tick declares suspects dead whose VM refused and whose time is over, and
// forgets the long dead. It returns the members that changed, and the suspects
// that are due for a last try by this node before it calls them dead: each node
// sees for itself, so that a slow one doesn't bring down many. stretch, at least
// 1, lengthens the time to refute for a node that is slow itself.
func (t *Table) Tick(now time.Time, stretch float64) (changed []Member, due []Member) {
	certain := t.SuspectTimeout()
	doubtful := time.Duration(stretch * float64(certain))
	for vm, s := range t.suspects {
		r := t.rows[vm]
		waited := now.Sub(r.changed)
		switch {
		case s.refused && waited >= certain:
			t.put(r.member.WithState(Dead), now)
			changed = append(changed, t.rows[vm].member)
		case !s.due && waited >= doubtful:
			s.due = true
			t.suspects[vm] = s
			due = append(due, r.member)
		}
	}
	if now.After(t.burial) {
		t.burial = now.Add(burialInterval)
		t.bury(now)
	}
	return changed, due
}

// Confirm notes how the last try with a suspect ended; it reports whether the
// suspect is now called dead.
func (t *Table) RecordFinalProbe(now time.Time, vm string, incarnation uint64, reached bool) bool {
	r, found := t.rows[vm]
	if !found || r.member.State != Suspect || r.member.Incarnation != incarnation {
		return false
	}
	if !reached {
		t.put(r.member.WithState(Dead), now)
		return true
	}
	// It lives and will refute once it hears of the suspicion.
	s := t.suspects[vm]
	s.due = false
	t.suspects[vm] = s
	r.changed = now
	return false
}

func (t *Table) bury(now time.Time) {
	t.order = slices.DeleteFunc(t.order, func(vm string) bool {
		r := t.rows[vm]
		if r.member.State != Dead || now.Sub(r.changed) < tombstone {
			return false
		}
		t.buckets[bucketOf(vm)] ^= r.member.Hash()
		delete(t.rows, vm)
		t.generation++
		return true
	})
}

// Updates returns the claims to send along with an exchange.
func (t *Table) Updates() []Member {
	return t.updates.NextBatch(maximumUpdates, len(t.rows))
}

// Partner chooses the member to exchange with next: mostly of the node's own
// availability zone, then of its region, with a few links across. ok is false
// if there is nobody.
func (t *Table) GossipPartner(random *rand.Rand) (partner Member, ok bool) {
	own := t.Self()
	dead := random.Float64() < deadContact
	zone := random.Float64() < ownZone
	region := random.Float64() < ownRegion
	accept := func(m Member) bool {
		switch {
		case (m.State == Dead) != dead:
			return false
		case zone:
			return m.AvailabilityZone == own.AvailabilityZone
		case region:
			return m.Region == own.Region
		default:
			return true
		}
	}
	if partner, ok = t.choose(random, accept); ok {
		return partner, true
	}
	return t.choose(random, func(m Member) bool { return m.State != Dead })
}

// choose returns a random member among those accepted. It starts at a random
// place and takes the next one that fits.
func (t *Table) choose(random *rand.Rand, accept func(Member) bool) (Member, bool) {
	if len(t.order) == 0 {
		return Member{}, false
	}
	start := random.IntN(len(t.order))
	for i := range t.order {
		candidate := t.rows[t.order[(start+i)%len(t.order)]].member
		if accept(candidate) {
			return candidate, true
		}
	}
	return Member{}, false
}

// Helpers returns up to count alive members other than the given one, to reach
// it through.
func (t *Table) IndirectProbers(random *rand.Rand, vm string, count int) []Member {
	var helpers []Member
	for range count {
		helper, ok := t.choose(random, func(m Member) bool {
			return m.VM != vm && m.State != Dead && m.State != Suspect && !slices.Contains(helpers, m)
		})
		if !ok {
			break
		}
		helpers = append(helpers, helper)
	}
	return helpers
}
