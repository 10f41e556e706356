package node

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// evacuationBound is the time within which all nodes must know an evacuation; the users'
// bound is 5 s.
const evacuationBound = 3 * time.Second

// zonesAdapter is an adapter that records the evacuated zones.
type zonesAdapter struct {
	plainAdapter
	mu      sync.Mutex
	applied []upstream.EvacuatedZones
}

func (a *zonesAdapter) ApplyEvacuated(zones upstream.EvacuatedZones) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied = append(a.applied, zones)
}

// last returns what was applied last.
func (a *zonesAdapter) last() upstream.EvacuatedZones {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.applied) == 0 {
		return upstream.EvacuatedZones{}
	}
	return a.applied[len(a.applied)-1]
}

// zonesNode is a node that has no store, with its adapter.
type zonesNode struct {
	*Node
	adapter *zonesAdapter
}

// newZonesNode creates a node whose settings ask for evacuations, unless evacuationTime is 0.
func newZonesNode(t *testing.T, vm string, log logr.Logger, evacuationTime time.Duration, peers ...string) *zonesNode {
	t.Helper()
	a := &zonesAdapter{}
	a.handler = func(http.ResponseWriter, *http.Request) {}
	a.answerNow = make(chan struct{})
	options := DefaultOptions()
	options.VM, options.AvailabilityZone = vm, "zone"
	options.CallerAddress, options.PeerAddress = "127.0.0.1:0", "127.0.0.1:0"
	options.Peers = peers
	options.Foreign = &ForeignOptions{EvacuationTime: evacuationTime}
	options.NewAdapter = func(Host) Adapter { return a }
	n, err := New(options, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.cancel)
	return &zonesNode{Node: n, adapter: a}
}

// start runs the node until stop is called or the test ends.
func (n *zonesNode) start(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = n.Run(ctx) }()
	stop = func() {
		cancel()
		<-n.Done()
	}
	t.Cleanup(stop)
	return stop
}

// startZonesFleet starts nodes and waits until they know each other.
func startZonesFleet(t *testing.T, count int) []*zonesNode {
	t.Helper()
	var nodes []*zonesNode
	for i := range count {
		var peers []string
		if i > 0 {
			peers = []string{nodes[0].PeerAddress()}
		}
		n := newZonesNode(t, fmt.Sprint("vm-", i), logr.Discard(), 5*time.Second, peers...)
		n.start(t)
		nodes = append(nodes, n)
	}
	await(t, "all nodes see each other ready", func() bool {
		return !slices.ContainsFunc(nodes, func(n *zonesNode) bool { return readyMembers(n.Node) != count })
	})
	return nodes
}

// awaitZones waits until all nodes have applied the zones, and checks that it was in time.
func awaitZones(t *testing.T, nodes []*zonesNode, want upstream.EvacuatedZones) {
	t.Helper()
	started := time.Now()
	await(t, fmt.Sprint("all nodes know ", want), func() bool {
		return !slices.ContainsFunc(nodes, func(n *zonesNode) bool { return !n.adapter.last().Equal(want) })
	})
	if took := time.Since(started); took > evacuationBound {
		t.Errorf("%v was known everywhere after %s", want, took)
	}
}

// TestNodesWithoutStoreHearOfEvacuations guards against nodes without access to the store that
// miss an evacuation or its end, also if they start during it.
func TestNodesWithoutStoreHearOfEvacuations(t *testing.T) {
	t.Parallel()
	nodes := startZonesFleet(t, 9)
	evacuated := upstream.NewEvacuatedZones(7, []string{"x", "y"})
	nodes[3].AnnounceEvacuated(evacuated)
	awaitZones(t, nodes, evacuated)
	late := newZonesNode(t, "vm-late", logr.Discard(), 5*time.Second, nodes[1].PeerAddress())
	late.start(t)
	await(t, "the new node has heard of a peer", func() bool { return len(late.View().Members) > 1 })
	awaitZones(t, []*zonesNode{late}, evacuated)
	nodes = append(nodes, late)
	// A store that was read late says less than is known.
	nodes[5].AnnounceEvacuated(upstream.NewEvacuatedZones(6, nil))
	over := evacuated.Without(9, "x")
	nodes[2].AnnounceEvacuated(over)
	awaitZones(t, nodes, over)
	for _, n := range nodes {
		n.adapter.mu.Lock()
		if !slices.IsSortedFunc(n.adapter.applied, func(a, b upstream.EvacuatedZones) int { return cmp.Compare(a.Revision(), b.Revision()) }) {
			t.Errorf("%s applied %v", n.options.VM, n.adapter.applied)
		}
		n.adapter.mu.Unlock()
	}
}

// TestEvacuatedZonesNeverGoBack guards against exchanges that come late or from nodes that
// know less, and against such of older builds, which lack the field.
func TestEvacuatedZonesNeverGoBack(t *testing.T) {
	lines := 0
	n := newZonesNode(t, "vm-0", funcr.New(func(_, line string) {
		if strings.Contains(line, "zonesEvacuated") {
			lines++
		}
	}, funcr.Options{}), 5*time.Second)
	merge := func(evacuated *wire.EvacuatedZones) {
		n.control.mergeExchange(t.Context(), time.Now(), &wire.Exchange{From: "vm-1", Evacuated: evacuated})
	}
	merge(nil)
	if n.control.newExchange().GetEvacuated() != nil {
		t.Error("a node that knows nothing passes on evacuated zones")
	}
	merge(&wire.EvacuatedZones{Zones: []string{"unfounded"}})
	merge(&wire.EvacuatedZones{Revision: 7, Zones: []string{"y", "x"}})
	want := upstream.NewEvacuatedZones(7, []string{"x", "y"})
	for _, late := range []*wire.EvacuatedZones{
		nil, {}, {Revision: 6}, {Revision: 6, Zones: []string{"z"}}, {Revision: 7, Zones: []string{"x", "y"}}, {Zones: []string{"z"}},
	} {
		merge(late)
		if got := n.adapter.last(); !got.Equal(want) || !n.Evacuated().Equal(want) {
			t.Errorf("after %v: %v", late, got)
		}
	}
	if sent := evacuatedFromWire(n.control.newExchange().GetEvacuated()); !sent.Equal(want) {
		t.Errorf("passed on: %v", sent)
	}
	merge(&wire.EvacuatedZones{Revision: 8, Zones: []string{"x", "y"}})
	merge(&wire.EvacuatedZones{Revision: 9})
	if got := n.adapter.last(); got.Revision() != 9 || len(got.Zones()) != 0 {
		t.Errorf("after the end: %v", got)
	}
	if lines != 2 || len(n.adapter.applied) != 3 {
		t.Errorf("%d changes are logged, %d applied", lines, len(n.adapter.applied))
	}
}

// TestEvacuationsNeedTheSetting guards against evacuations on nodes whose settings don't ask
// for them.
func TestEvacuationsNeedTheSetting(t *testing.T) {
	n := newZonesNode(t, "vm-0", logr.Discard(), 0)
	message := &wire.Exchange{From: "vm-1", Evacuated: &wire.EvacuatedZones{Revision: 7, Zones: []string{"x"}}}
	n.control.mergeExchange(t.Context(), time.Now(), message)
	if len(n.adapter.applied) != 0 || n.control.newExchange().GetEvacuated() != nil {
		t.Errorf("applied: %v", n.adapter.applied)
	}
}
