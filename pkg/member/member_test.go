package member

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	// Makes every run draw the same cases. Setting a flag that rapid defines
	// can't fail.
	_ = flag.Set("rapid.seed", "1")
}

var epoch = time.Unix(1_700_000_000, 0)

func testMember(number int) Member {
	return Member{
		VM:               fmt.Sprintf("vm-%04d", number),
		Incarnation:      1,
		Revision:         1,
		State:            Ready,
		AvailabilityZone: fmt.Sprintf("zone-%d", number%11),
		Region:           fmt.Sprintf("region-%d", number%11%4),
		CallerAddress:    "10.0.0.1:7000",
		PeerAddress:      "10.0.0.1:7001",
	}
}

func newTables(size int) []*Table {
	tables := make([]*Table, size)
	for i := range tables {
		tables[i] = NewTable(testMember(i), epoch)
		tables[i].Merge(epoch, []Member{testMember(0)})
	}
	return tables
}

// exchange sends the updates of each table to the other and synchronizes the
// buckets that still differ, as nodes do.
func exchange(now time.Time, a, b *Table) {
	b.Merge(now, a.Updates())
	a.Merge(now, b.Updates())
	if a.Digest() == b.Digest() {
		return
	}
	differing := a.DifferingBuckets(b.BucketHashes())
	mine, theirs := a.MembersInBuckets(differing), b.MembersInBuckets(differing)
	b.Merge(now, mine)
	a.Merge(now, theirs)
}

// exchangeUntilEqual runs rounds with one exchange for each table until all
// tables are equal. It returns the number of rounds, or -1 if limit rounds
// weren't enough.
func exchangeUntilEqual(tables []*Table, now time.Time, random *rand.Rand, limit int) int {
	byName := map[string]*Table{}
	for _, table := range tables {
		byName[table.Self().VM] = table
	}
	for round := range limit {
		if converged(tables) {
			return round
		}
		for _, table := range tables {
			partner, ok := table.GossipPartner(random)
			if other := byName[partner.VM]; ok && other != nil {
				exchange(now, table, other)
			}
		}
	}
	return -1
}

func converged(tables []*Table) bool {
	for _, table := range tables {
		if table.Digest() != tables[0].Digest() {
			return false
		}
	}
	return true
}

func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 30).Draw(t, "size")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		tables := newTables(size)
		if exchangeUntilEqual(tables, epoch, random, 200) < 0 {
			t.Fatal("the tables did not converge in 200 rounds")
		}
		for _, table := range tables {
			if table.Alive() != size {
				t.Fatalf("%s knows %d of %d members", table.Self().VM, table.Alive(), size)
			}
		}
	})
}

// TestRefute checks that a member that is declared dead while it is alive
// refutes the claim, and that the other members accept the refutation.
func TestRefute(t *testing.T) {
	tables := newTables(3)
	random := rand.New(rand.NewPCG(1, 1))
	exchangeUntilEqual(tables, epoch, random, 100)
	if !tables[0].Suspect(epoch, "vm-0001", false) {
		t.Fatal("the suspicion is not reported as new")
	}
	later := epoch.Add(tables[0].SuspectTimeout())
	if changed, probing := tables[0].Tick(later, 1); len(changed) != 0 || len(probing) != 1 {
		t.Fatalf("changed %v, probing %v", changed, probing)
	}
	if tables[0].RecordFinalProbe(later, "vm-0001", 1, true) {
		t.Fatal("a suspect that was reached is declared dead")
	}
	if !tables[0].RecordFinalProbe(later, "vm-0001", 1, false) {
		t.Fatal("a suspect that was not reached isn't declared dead")
	}
	exchange(later, tables[0], tables[2])
	if m, _ := tables[2].Get("vm-0001"); m.State != Dead {
		t.Fatalf("the dead state was not passed on: got %v", m.State)
	}
	exchange(later, tables[0], tables[1])
	exchange(later, tables[1], tables[2])
	for _, table := range tables {
		if m, _ := table.Get("vm-0001"); m.State != Ready || m.Revision < 2 {
			t.Errorf("%s has %v revision %d", table.Self().VM, m.State, m.Revision)
		}
	}
}

// TestNewIncarnation checks that a restart replaces the claims about the old
// process, and that a process that is told of a later one rejoins above it.
func TestNewIncarnation(t *testing.T) {
	old := NewTable(testMember(1), epoch)
	other := NewTable(testMember(2), epoch)
	other.Merge(epoch, []Member{testMember(1).WithState(Dead)})
	restarted := testMember(1)
	restarted.Incarnation = 2
	other.Merge(epoch, []Member{restarted})
	if m, _ := other.Get("vm-0001"); m.State != Ready || m.Incarnation != 2 {
		t.Errorf("the restart was not accepted: %+v", m)
	}
	other.Merge(epoch, []Member{testMember(1).WithRevision(9)})
	if m, _ := other.Get("vm-0001"); m.Incarnation != 2 {
		t.Errorf("a claim about the old process was accepted: %+v", m)
	}
	if _, rejoined := old.Merge(epoch, other.Members()); !rejoined || old.Self().Incarnation != 3 || old.Self().State != Ready {
		t.Errorf("the process rejoined: %t, as %+v, want ready with incarnation 3", rejoined, old.Self())
	}
}

func TestTombstone(t *testing.T) {
	table := NewTable(testMember(1), epoch)
	table.Merge(epoch, []Member{testMember(2)})
	table.Suspect(epoch, "vm-0002", true)
	table.Tick(epoch.Add(table.SuspectTimeout()), 1)
	if _, found := table.Get("vm-0002"); !found {
		t.Fatal("the dead member was removed at once")
	}
	table.Tick(epoch.Add(tombstoneLifetime+time.Minute), 1)
	if _, found := table.Get("vm-0002"); found || table.Digest() != NewTable(testMember(1), epoch).Digest() {
		t.Error("the dead member was not removed after its tombstone expired")
	}
}

// TestSlowNodeLengthensSuspicion checks that a node that is slow itself gives
// others more time to refute a suspicion, unless their VM refused the connection.
func TestSlowNodeLengthensSuspicion(t *testing.T) {
	var health LocalHealth
	for range 2 * maximumHealthScore {
		health.RecordFailure()
	}
	for _, refused := range []bool{false, true} {
		table := NewTable(testMember(1), epoch)
		table.Merge(epoch, []Member{testMember(2)})
		table.Suspect(epoch, "vm-0002", refused)
		changed, probing := table.Tick(epoch.Add(table.SuspectTimeout()), health.TimeoutFactor())
		if dead := len(changed) == 1; dead != refused || len(probing) > 0 {
			t.Errorf("refused %t: dead %t after the suspicion timeout", refused, dead)
		}
	}
	for range 2 * maximumHealthScore {
		health.RecordSuccess()
	}
	if health.TimeoutFactor() != 1 {
		t.Errorf("the timeout factor is still %v after the successes, want 1", health.TimeoutFactor())
	}
}

// BenchmarkTick measures the work of one tick and one exchange.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{9, 90, 900, 2900} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			table := NewTable(testMember(0), epoch)
			random := rand.New(rand.NewPCG(1, 1))
			for i := range size {
				table.Merge(epoch, []Member{testMember(i)})
			}
			now := epoch
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				table.Tick(now, 1)
				table.GossipPartner(random)
				table.Updates()
				table.Digest()
			}
		})
	}
}

// BenchmarkSpread measures the number of rounds that a change takes to reach
// all tables.
func BenchmarkSpread(b *testing.B) {
	for _, size := range []int{9, 90, 900, 2900} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			all := make([]Member, size)
			for i := range all {
				all[i] = testMember(i)
			}
			tables := make([]*Table, size)
			for i := range tables {
				tables[i] = NewTable(all[i], epoch)
				tables[i].Merge(epoch, all)
				tables[i].updates = NewGossipQueue[string, Member]()
			}
			total, changes := 0, 0
			for b.Loop() {
				changes++
				tables[0].SetOwnState(epoch, []State{Ready, Leaving}[changes%2])
				total += exchangeUntilEqual(tables, epoch, random, 1000)
			}
			b.ReportMetric(float64(total)/float64(changes), "rounds/change")
		})
	}
}
