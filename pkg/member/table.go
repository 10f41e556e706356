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
	// suspicionStep is the time that each doubling of the number of members adds
	// to the suspicion timeout: the suspicion has to reach the suspect, and its
	// refutation has to reach the others.
	suspicionStep = 350 * time.Millisecond
	// minimumSuspicionSteps is the minimum suspicion timeout, in units of
	// suspicionStep.
	minimumSuspicionSteps = 2.0
	// tombstoneLifetime is how long dead members are kept, so that an old claim
	// doesn't add them again as alive.
	tombstoneLifetime = 5 * time.Minute
	// cleanupInterval is the time between two removals of expired dead members.
	cleanupInterval = 10 * time.Second
	// BucketCount is the number of buckets of the table whose hashes are compared
	// separately.
	BucketCount = 64
	// maximumUpdates is the maximum number of claims sent with one exchange.
	maximumUpdates = 24
	// ownZoneProbability is the probability that an exchange stays in the node's
	// own availability zone, and ownRegionProbability the probability that it
	// otherwise stays in the node's region.
	ownZoneProbability   = 0.6
	ownRegionProbability = 0.8
	// deadProbability is the probability that an exchange tries a dead member, so
	// that the two sides of a healed partition find each other again.
	deadProbability = 0.05
)

// entry is a member and the time at which its claim was accepted.
type entry struct {
	member  Member
	changed time.Time
}

// suspicion is the state of a suspect at this node.
type suspicion struct {
	// refused is true if the VM refused the connection: no process listens.
	refused bool
	// probing is true while the final probe is under way. It starts once the
	// suspicion timeout is over.
	probing bool
}

// Table is one node's view of all members. The node's own entry always holds
// the state that the node announces.
type Table struct {
	self    string
	entries map[string]*entry
	// buckets holds the combined hash of each bucket: the XOR of its claims.
	buckets [BucketCount]uint64
	updates *GossipQueue[string, Member]
	// order lists the VMs of the other members, sorted, for random choice.
	order []string
	// generation rises with every change.
	generation uint64
	// alive counts the entries that aren't dead.
	alive int
	// suspects holds the members whose suspicion timeout is running, by VM.
	suspects map[string]suspicion
	rejoins  rejoinLimit
	// nextCleanup is the time of the next removal of expired dead members.
	nextCleanup time.Time
	// neighbors holds the VMs of the members that this node exchanges with, by
	// distance, as of neighborsGeneration.
	neighbors           [distances][]string
	neighborsGeneration uint64
}

// NewTable returns a table that holds only the node itself.
func NewTable(self Member, now time.Time) *Table {
	t := &Table{self: self.VM, entries: map[string]*entry{}, updates: NewGossipQueue[string, Member](), suspects: map[string]suspicion{}}
	t.put(self, now)
	return t
}

// Self returns the node's own entry.
func (t *Table) Self() Member {
	return t.entries[t.self].member
}

// Get returns the member with the given VM.
func (t *Table) Get(vm string) (Member, bool) {
	e, found := t.entries[vm]
	if !found {
		return Member{}, false
	}
	return e.member, true
}

// Members returns all members, sorted by VM.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.entries))
	for _, vm := range slices.Sorted(maps.Keys(t.entries)) {
		members = append(members, t.entries[vm].member)
	}
	return members
}

// Generation returns a number that rises with every change of the table.
func (t *Table) Generation() uint64 {
	return t.generation
}

// Digest returns the combined hash of the whole table. Equal tables have equal
// digests.
func (t *Table) Digest() uint64 {
	digest := uint64(0)
	for _, bucket := range t.buckets {
		digest ^= bucket
	}
	return digest
}

// BucketHashes returns the combined hash of each bucket.
func (t *Table) BucketHashes() []uint64 {
	return slices.Clone(t.buckets[:])
}

// DifferingBuckets returns the indexes of the buckets whose hashes differ from
// the given ones.
func (t *Table) DifferingBuckets(hashes []uint64) []uint32 {
	var differing []uint32
	for i, hash := range hashes {
		if i < BucketCount && t.buckets[i] != hash {
			differing = append(differing, uint32(i))
		}
	}
	return differing
}

// MembersInBuckets returns the members of the buckets with the given indexes.
func (t *Table) MembersInBuckets(buckets []uint32) []Member {
	var members []Member
	for _, e := range t.entries {
		if slices.Contains(buckets, bucketOf(e.member.VM)) {
			members = append(members, e.member)
		}
	}
	return members
}

func bucketOf(vm string) uint32 {
	return uint32(xxhash.Sum64String(vm) % BucketCount)
}

// put adds or replaces an entry and updates the hashes and counts.
func (t *Table) put(m Member, now time.Time) {
	bucket := bucketOf(m.VM)
	if old, found := t.entries[m.VM]; found {
		t.buckets[bucket] ^= old.member.Hash()
		t.updateCounts(old.member, -1)
	} else if m.VM != t.self {
		position, _ := slices.BinarySearch(t.order, m.VM)
		t.order = slices.Insert(t.order, position, m.VM)
	}
	t.buckets[bucket] ^= m.Hash()
	t.updateCounts(m, 1)
	t.entries[m.VM] = &entry{member: m, changed: now}
	t.updates.Put(m.VM, m)
	t.generation++
}

// updateCounts updates the number of alive members and the set of suspects.
// change is 1 for a claim that was added and -1 for one that was removed.
func (t *Table) updateCounts(m Member, change int) {
	if m.State != Dead {
		t.alive += change
	}
	delete(t.suspects, m.VM)
	if m.State == Suspect && change > 0 {
		t.suspects[m.VM] = suspicion{}
	}
}

// Alive returns the number of members that aren't dead, including the node
// itself.
func (t *Table) Alive() int {
	return t.alive
}

// SetOwnState changes the state that the node announces.
func (t *Table) SetOwnState(now time.Time, state State) {
	own := t.Self()
	if own.State == state {
		return
	}
	t.put(own.WithState(state).WithRevision(own.Revision+1), now)
}

// Merge accepts the claims that are new or supersede known ones, and returns
// them. It ignores dead members that are not in the table. A claim about the
// node itself that supersedes its own entry is refuted. rejoined is true if the node
// took a higher incarnation to do so, see Rejoins.
func (t *Table) Merge(now time.Time, claims []Member) (changed []Member, rejoined bool) {
	for _, claim := range claims {
		if claim.Incarnation > maximumIncarnation {
			continue
		}
		if claim.VM == t.self {
			rejoined = t.refute(now, claim) || rejoined
			continue
		}
		known, found := t.entries[claim.VM]
		if found && !claim.Supersedes(known.member) {
			continue
		}
		if !found && claim.State == Dead {
			continue
		}
		t.put(claim, now)
		changed = append(changed, claim)
	}
	return changed, rejoined
}

// refute overrides a claim about the node itself that supersedes the node's own
// entry: it announces the node's state again, with a higher revision if the others
// only suspect it, and with a higher incarnation if the claim comes from another
// process that has run, or runs, under the node's VM name. It reports whether the
// incarnation was raised.
func (t *Table) refute(now time.Time, claim Member) (rejoined bool) {
	own := t.Self()
	if !claim.Supersedes(own) {
		return false
	}
	// Only the process that a claim is about raises its revision.
	if claim.Incarnation == own.Incarnation && claim.Revision == own.Revision {
		t.put(own.WithRevision(own.Revision+1), now)
		return false
	}
	if !t.rejoins.allow(now) {
		return false
	}
	t.put(own.WithIncarnation(claim.Incarnation+1).WithRevision(1), now)
	return true
}

// Rejoins returns how often the node has lately taken a higher incarnation. One or a
// few are due to former lives that the others remember; more mean that another
// process runs under the same VM name.
func (t *Table) Rejoins() int {
	return t.rejoins.count
}

// Suspect records that a member could not be reached, neither directly nor
// through other members. refused is true if its VM refused the connection
// because no process listens: the member is then declared dead after the
// suspicion timeout without a final probe, and slowness of this node does not
// lengthen the timeout. A leaving member is declared dead at once. Suspect
// reports whether the state of the member changed.
func (t *Table) Suspect(now time.Time, vm string, refused bool) bool {
	e, found := t.entries[vm]
	if !found || vm == t.self || e.member.State == Dead {
		return false
	}
	if e.member.State == Suspect {
		known := t.suspects[vm]
		known.refused = known.refused || refused
		t.suspects[vm] = known
		return false
	}
	state := Suspect
	if e.member.State == Leaving {
		// A leaving member that can't be reached has left.
		state = Dead
	}
	t.put(e.member.WithState(state), now)
	if state == Suspect {
		t.suspects[vm] = suspicion{refused: refused}
	}
	return true
}

// SuspectTimeout returns how long a suspect has to refute the suspicion, which
// depends on the number of members.
func (t *Table) SuspectTimeout() time.Duration {
	steps := max(minimumSuspicionSteps, math.Log2(float64(t.alive))-1)
	return time.Duration(steps * float64(suspicionStep))
}

// Tick handles the suspects whose suspicion timeout is over and removes the dead
// members whose tombstone expired. Suspects whose VM refused the connection are
// declared dead and returned in changed. Any other suspect is returned once in
// probing: this node must probe it a final time and pass the outcome to
// RecordFinalProbe. Each node does so itself, also for a suspicion that it
// received by gossip, so that one slow node doesn't have many others declared
// dead. timeoutFactor, at least 1, lengthens the timeout of these suspects on a
// node that is slow itself.
func (t *Table) Tick(now time.Time, timeoutFactor float64) (changed []Member, probing []Member) {
	timeout := t.SuspectTimeout()
	lengthenedTimeout := time.Duration(timeoutFactor * float64(timeout))
	for vm, s := range t.suspects {
		e := t.entries[vm]
		elapsed := now.Sub(e.changed)
		switch {
		case s.refused && elapsed >= timeout:
			t.put(e.member.WithState(Dead), now)
			changed = append(changed, t.entries[vm].member)
		case !s.probing && elapsed >= lengthenedTimeout:
			s.probing = true
			t.suspects[vm] = s
			probing = append(probing, e.member)
		}
	}
	if now.After(t.nextCleanup) {
		t.nextCleanup = now.Add(cleanupInterval)
		t.removeExpired(now)
	}
	return changed, probing
}

// RecordFinalProbe records whether the final probe reached a suspect. If not,
// the suspect is declared dead and the result is true. If it was reached, its
// suspicion timeout starts again. The outcome is ignored if the member is no
// longer suspect or has restarted.
func (t *Table) RecordFinalProbe(now time.Time, vm string, incarnation uint64, reached bool) bool {
	e, found := t.entries[vm]
	if !found || e.member.State != Suspect || e.member.Incarnation != incarnation {
		return false
	}
	if !reached {
		t.put(e.member.WithState(Dead), now)
		return true
	}
	// The suspect is alive and will refute the suspicion once it receives it.
	s := t.suspects[vm]
	s.probing = false
	t.suspects[vm] = s
	e.changed = now
	return false
}

// removeExpired removes the dead members whose tombstone expired.
func (t *Table) removeExpired(now time.Time) {
	t.order = slices.DeleteFunc(t.order, func(vm string) bool {
		e := t.entries[vm]
		if e.member.State != Dead || now.Sub(e.changed) < tombstoneLifetime {
			return false
		}
		t.buckets[bucketOf(vm)] ^= e.member.Hash()
		delete(t.entries, vm)
		t.generation++
		return true
	})
}

// Updates returns the claims to send with the next exchange.
func (t *Table) Updates() []Member {
	return t.updates.NextBatch(maximumUpdates, len(t.entries))
}

// GossipPartner chooses the member for the next exchange: one of the node's
// neighbors, mostly in its own availability zone, otherwise mostly in its region,
// and sometimes a dead member. ok is false if there is none.
func (t *Table) GossipPartner(random *rand.Rand) (partner Member, ok bool) {
	if random.Float64() < deadProbability {
		if partner, ok = t.choose(random, func(m Member) bool { return m.State == Dead }); ok {
			return partner, true
		}
	}
	t.updateNeighbors()
	d := otherRegion
	switch {
	case random.Float64() < ownZoneProbability:
		d = sameZone
	case random.Float64() < ownRegionProbability:
		d = sameRegion
	}
	if partner, ok = t.chooseNeighbor(random, t.neighbors[d]); ok {
		return partner, true
	}
	return t.chooseNeighbor(random, slices.Concat(t.neighbors[:]...))
}

// choose returns the first accepted member from a random position in order on,
// wrapping around.
func (t *Table) choose(random *rand.Rand, accept func(Member) bool) (Member, bool) {
	if len(t.order) == 0 {
		return Member{}, false
	}
	start := random.IntN(len(t.order))
	for i := range t.order {
		candidate := t.entries[t.order[(start+i)%len(t.order)]].member
		if accept(candidate) {
			return candidate, true
		}
	}
	return Member{}, false
}

// IndirectProbers returns up to count alive members other than vm through which
// vm can be probed.
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
