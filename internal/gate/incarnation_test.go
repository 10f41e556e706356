package gate

import (
	"testing"

	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/internal/wire"
)

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
