package assignment

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes the cases reproducible. rapid defines the flag, so Set
	// can't fail.
	_ = flag.Set("rapid.seed", "1")
}

func names(prefix string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return list
}

// TestAssignment checks for random sizes that every service has a gate, that no
// member has more services than the bound, that the standby is another member,
// and that few services move when a member is removed.
func TestAssignment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := names("vm", rapid.IntRange(1, 40).Draw(t, "members"))
		services := names("service", rapid.IntRange(1, 200).Draw(t, "services"))
		prepared := NewServices(services)
		table := Compute(members, prepared)
		loads := map[string]int{}
		for _, service := range services {
			loads[table.Gate(service)]++
			if table.Gate(service) == table.Standby(service) {
				t.Fatalf("service %s has member %q as both gate and standby", service, table.Gate(service))
			}
			if len(members) > 1 && table.Standby(service) == "" {
				t.Fatalf("service %s has no standby", service)
			}
		}
		bound := int(float64(len(services))/float64(len(members))*loadBound) + 1
		for member, load := range loads {
			if member == "" || load > bound {
				t.Fatalf("member %q has %d services, the bound is %d", member, load, bound)
			}
		}
		checkMoves(t, members, services, table)
	})
}

// checkMoves removes one member and checks how many services of other members
// move. Some do, because the services of the removed member fill other members up
// to the bound.
func checkMoves(t *rapid.T, members, services []string, table *Table) {
	if len(members) < 4 {
		return
	}
	after := Compute(members[1:], NewServices(services))
	moved, ownServices := 0, 0
	for _, service := range services {
		if table.Gate(service) == members[0] {
			ownServices++
		} else if table.Gate(service) != after.Gate(service) {
			moved++
		}
	}
	if limit := len(services)/3 + 3; moved > limit {
		t.Fatalf("%d of %d services moved in addition to the %d of the removed member", moved, len(services), ownServices)
	}
}

func TestNoMembers(t *testing.T) {
	table := Compute(nil, NewServices([]string{"service"}))
	if table.Gate("service") != "" || table.Standby("service") != "" || table.Gate("other") != "" {
		t.Error("a service has a gate or standby although there are no members")
	}
	var none *Table
	if none.Gate("service") != "" || none.Standby("service") != "" {
		t.Error("a nil table returns a gate or standby")
	}
}

func BenchmarkCompute(b *testing.B) {
	for _, size := range []struct{ members, services int }{{9, 25}, {90, 250}, {725, 7334}, {900, 2400}, {2900, 7334}} {
		b.Run(fmt.Sprintf("members=%d/services=%d", size.members, size.services), func(b *testing.B) {
			members, services := names("vm", size.members), NewServices(names("service", size.services))
			for b.Loop() {
				Compute(members, services)
			}
		})
	}
}
