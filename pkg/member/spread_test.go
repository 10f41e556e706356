package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Load of a repartition in a large deployment: all upstreams of an index leave at
// once.
const (
	spreadNodes   = 295
	spreadZones   = 6
	spreadNotices = 300
	// spreadLimit is half of the time within which a leaving upstream may still
	// get requests; the other half is left to reading the store.
	spreadLimit = 3 * time.Second
	// spreadStep is the time between two rounds of exchanges.
	spreadStep = 250 * time.Millisecond
)

// spreadNode is a node that passes on notices as it does in exchanges.
type spreadNode struct {
	table   *Table
	notices *GossipQueue[int, int]
	known   map[int]bool
}

func newSpreadNode(number int, members []Member) *spreadNode {
	n := &spreadNode{table: NewTable(members[number], epoch), notices: NewGossipQueue[int, int](), known: map[int]bool{}}
	n.table.Merge(epoch, members)
	return n
}

func (n *spreadNode) receive(notices []int) {
	for _, notice := range notices {
		if n.known[notice] {
			n.notices.MarkKnown(notice)
			continue
		}
		n.known[notice] = true
		n.notices.Put(notice, notice)
	}
}

// TestNoticesReachALargeFleet plays the load of a repartition: one node in each
// availability zone reads from the store that 300 upstreams leave, and all nodes
// must know all of them in time.
func TestNoticesReachALargeFleet(t *testing.T) {
	members := make([]Member, spreadNodes)
	for i := range members {
		members[i] = testMember(i)
		members[i].AvailabilityZone = fmt.Sprintf("zone-%d", i%spreadZones)
		members[i].Region = "region"
	}
	nodes := map[string]*spreadNode{}
	for i := range members {
		nodes[members[i].VM] = newSpreadNode(i, members)
	}
	for i := range spreadZones {
		for notice := range spreadNotices {
			nodes[members[i].VM].receive([]int{notice})
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	sent, took := 0, time.Duration(0)
	for ; took < 20*time.Second && !allKnow(nodes); took += spreadStep {
		for _, m := range members {
			node := nodes[m.VM]
			partner, _ := node.table.GossipPartner(random)
			peer := nodes[partner.VM]
			request := node.notices.NextBatch(MaxNotices, spreadNodes)
			peer.receive(request)
			reply := peer.notices.NextBatch(MaxNotices, spreadNodes)
			node.receive(reply)
			sent += len(request) + len(reply)
		}
	}
	t.Logf("all nodes know all notices after %s; each received a notice %.1f times", took, float64(sent)/spreadNodes/spreadNotices)
	if took > spreadLimit {
		t.Errorf("not all nodes know all notices before %s, want %s", took, spreadLimit)
	}
}

func allKnow(nodes map[string]*spreadNode) bool {
	for _, node := range nodes {
		if len(node.known) < spreadNotices {
			return false
		}
	}
	return true
}
