package gate

import (
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/internal/wire"
)

// restartTime is the least time that a restart takes. A node can tell a process from one before
// it only as exactly as the answer to a poll takes.
const restartTime = 20 * time.Millisecond

// TestRestartedUpstreamIsUsedByTheNextGate: a node that was told, while it was not the gate,
// that upstreams leave didn't use their next processes at the same addresses once it became
// the gate.
func TestRestartedUpstreamIsUsedByTheNextGate(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	first, next := startGates(t, "vm-1", upstreams), startGates(t, "vm-2", upstreams)
	first.Acquire(t.Context(), "orders", nil)
	describeOrders(t, first)
	for _, u := range upstreams {
		for _, g := range []*Gates{first, next} {
			g.MarkUpstreamLeaving(u.Address(), "")
		}
	}
	time.Sleep(restartTime)
	for _, u := range upstreams {
		u.Restart()
	}
	for _, g := range []*Gates{first, next} {
		g.Acquire(t.Context(), "orders", nil)
		g.lookup("orders").poll(t.Context())
		if reply := serveRequest(g, "parcel of "+g.config.VM); reply.GetRun() != wire.RunStatus_RUN_STATUS_RAN {
			t.Errorf("%s: %v", g.config.VM, reply)
		}
		g.StepDown("orders")
	}
}

// TestLeavingUpstreamIsUnusedByTheNextGate: without a restart, the same node uses none of them.
func TestLeavingUpstreamIsUnusedByTheNextGate(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	next := startGates(t, "vm-2", upstreams)
	time.Sleep(restartTime)
	for _, u := range upstreams {
		next.MarkUpstreamLeaving(u.Address(), "")
	}
	next.Acquire(t.Context(), "orders", nil)
	next.lookup("orders").poll(t.Context())
	if reply := serveRequest(next, "parcel"); reply.GetRun() != wire.RunStatus_RUN_STATUS_NOT_RUN {
		t.Errorf("an upstream that leaves got a request: %v", reply)
	}
}
