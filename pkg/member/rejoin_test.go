package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRestartedNodeOutbidsItsFormerLife: the former life started while the clock was far ahead.
func TestRestartedNodeOutbidsItsFormerLife(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	tables := newTables(5)
	former := testMember(1).WithIncarnation(1 << 60).WithRevision(7)
	for _, table := range tables {
		if table.Self().VM != former.VM {
			table.Merge(epoch, []Member{former})
		}
	}
	if rounds := exchangeUntilEqual(tables, epoch, random, 100); rounds < 0 {
		t.Fatal("the tables did not converge in 100 rounds")
	}
	own := tables[1].Self()
	if own.State != Ready || own.Incarnation <= former.Incarnation {
		t.Errorf("the restarted node announces %v incarnation %d, want ready above %d", own.State, own.Incarnation, former.Incarnation)
	}
	for _, table := range tables {
		if m, _ := table.Get(own.VM); m != own {
			t.Errorf("%s has %+v, want %+v", table.Self().VM, m, own)
		}
	}
}

// TestFormerLifeWithTheSameIncarnationIsOutbid: only the revision tells the lives apart.
func TestFormerLifeWithTheSameIncarnationIsOutbid(t *testing.T) {
	for _, state := range []State{Joining, Ready, Suspect, Leaving, Dead} {
		restarted := NewTable(testMember(1), epoch)
		restarted.Merge(epoch, []Member{testMember(1).WithRevision(5).WithState(state)})
		if own := restarted.Self(); own.State != Ready || own.Incarnation != 2 {
			t.Errorf("told of a former life that is %v: announces %v incarnation %d, want ready and 2", state, own.State, own.Incarnation)
		}
	}
}

// TestSuspicionIsRefutedWithinTheIncarnation: notices name the incarnation, so it stays.
func TestSuspicionIsRefutedWithinTheIncarnation(t *testing.T) {
	for _, state := range []State{Suspect, Leaving, Dead} {
		table := NewTable(testMember(1), epoch)
		table.Merge(epoch, []Member{testMember(1).WithState(state)})
		if own := table.Self(); own != testMember(1).WithRevision(2) {
			t.Errorf("refuted %v with %+v", state, own)
		}
	}
}

// TestIncarnationOutOfRangeIsIgnored: a number that can't be outbid would end the rejoining.
func TestIncarnationOutOfRangeIsIgnored(t *testing.T) {
	table := NewTable(testMember(1), epoch)
	for _, vm := range []int{1, 2} {
		table.Merge(epoch, []Member{testMember(vm).WithIncarnation(maximumIncarnation + 1), testMember(vm).WithIncarnation(1<<64 - 1)})
	}
	if members := table.Members(); len(members) != 1 || members[0] != testMember(1) {
		t.Errorf("accepted %+v", members)
	}
}

// TestProcessesOfOneNameRejoinSeldom: neither the table nor the gossip grows without bound.
func TestProcessesOfOneNameRejoinSeldom(t *testing.T) {
	const hour, step = time.Hour, 250 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	tables := newTables(5)
	twin := testMember(1).WithIncarnation(9)
	twin.PeerAddress = "10.0.0.2:7001"
	tables = append(tables, NewTable(twin, epoch))
	rejoins := 0
	for now := epoch; now.Before(epoch.Add(hour)); now = now.Add(step) {
		for _, table := range tables {
			before := table.Self().Incarnation
			exchange(now, table, tables[random.IntN(len(tables))])
			if after := table.Self().Incarnation; after != before {
				rejoins++
			}
		}
	}
	limit := 2 * (int(hour/maximumRejoinWait) + 12)
	t.Logf("%d rejoins in %s", rejoins, hour)
	if rejoins > limit {
		t.Errorf("%d rejoins in %s, want at most %d", rejoins, hour, limit)
	}
	for i, table := range tables {
		if size := len(table.Members()); size != 5 {
			t.Errorf("%s has %d members, want 5", fmt.Sprint(i), size)
		}
		if queued := table.updates.Len(); queued > 5 {
			t.Errorf("%s has %d updates to send, want at most 5", fmt.Sprint(i), queued)
		}
	}
}

// TestRejoinsAfterQuietTimeAreImmediate: each restart of a long life may be outbid at once.
func TestRejoinsAfterQuietTimeAreImmediate(t *testing.T) {
	table, now := NewTable(testMember(1), epoch), epoch
	for range 20 {
		now = now.Add(rejoinMemory)
		rival := table.Self().WithIncarnation(table.Self().Incarnation + 5)
		if _, rejoined := table.Merge(now, []Member{rival}); !rejoined {
			t.Fatal("the claim was not outbid at once")
		}
	}
}
