package gate

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// silentAddress returns an address that accepts connections and never answers.
func silentAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// TestOnlyAGateReports: a node that had begun to acquire a service and gave it up reported
// an empty state of it, which the entries took for newer than that of the gate.
func TestOnlyAGateReports(t *testing.T) {
	text := fmt.Sprintf(testDocument, testSlots, testConnections, silentAddress(t), silentAddress(t))
	parsed, err := document.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	g := New(Config{VM: "vm-1", Recorder: timeline.NewRecorder("vm-1", logr.Discard()), Mode: Gated, Seed: 1})
	g.Apply(parsed)
	g.Acquire(t.Context(), "orders", nil)
	g.Tick(t.Context(), time.Now())
	g.StepDown("orders")
	reply := serveRequest(g, "parcel")
	if answer.Code(reply.GetReason()) != answer.CodeNotGate {
		t.Fatalf("got reply %v, want a refusal", reply)
	}
	if reply.GetReport() != nil {
		t.Errorf("a node that is not the gate reported %v", reply.GetReport())
	}
}

// describeOrders returns the report that the gate of the pool gives to an entry.
func describeOrders(t *testing.T, g *Gates) *wire.Report {
	t.Helper()
	reports := g.Describe(t.Context(), []string{"orders"})
	if len(reports) != 1 {
		t.Fatalf("got reports %v, want one", reports)
	}
	return reports[0]
}

// TestReportOfAReturningGateIsTheNewest: a gate that had lost its service for a while came
// back with its old report, and the entries kept that of the gate in between.
func TestReportOfAReturningGateIsTheNewest(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	first, second := startGates(t, "vm-1", upstreams), startGates(t, "vm-2", upstreams)
	newest := uint64(0)
	for _, g := range []*Gates{first, second, first, second} {
		g.Acquire(t.Context(), "orders", nil)
		report := describeOrders(t, g)
		g.StepDown("orders")
		if report.GetSequence() <= newest {
			t.Errorf("%s: sequence %d after %d of the gate before", g.config.VM, report.GetSequence(), newest)
		}
		newest = max(newest, report.GetSequence())
	}
}

// TestGateOutbidsTheReportOfAnother: an entry had a newer report from a node that was the
// gate by mistake, and took none of those of the gate any more.
func TestGateOutbidsTheReportOfAnother(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	gate, mistaken := startGates(t, "vm-1", upstreams), startGates(t, "vm-2", upstreams)
	gate.Acquire(t.Context(), "orders", nil)
	describeOrders(t, gate)
	mistaken.Acquire(t.Context(), "orders", nil)
	known := describeOrders(t, mistaken).GetSequence()
	if sequence := serveKnowing(gate, known).GetReport().GetSequence(); sequence <= known {
		t.Errorf("the reply has sequence %d after %d of the other node", sequence, known)
	}
	known = describeOrders(t, mistaken).GetSequence()
	if sequence := describeOrders(t, gate).GetSequence(); sequence <= known {
		t.Errorf("the gate describes itself with sequence %d after %d of the other node", sequence, known)
	}
}

// serveKnowing is serveRequest for an entry that has the report with the given sequence.
func serveKnowing(g *Gates, known uint64) (reply *wire.SubReply) {
	batch := &wire.Batch{
		RequestId:       "parcel",
		Kind:            "order",
		RemainingMicros: (5 * time.Second).Microseconds(),
		Query:           []byte("parcel"),
		SubRequests:     []*wire.SubRequest{{Service: "orders", KnownReport: known}},
	}
	g.Serve(context.Background(), batch, false, func(sub *wire.SubReply) { reply = sub })
	return reply
}

// TestChangedServiceReportsOnceItIsPolled: a change of a service's limits made its gate
// report that no upstream holds anything, until the next poll.
func TestChangedServiceReportsOnceItIsPolled(t *testing.T) {
	upstreams := startUpstreams(t, standin.UpstreamConfig{})
	g := startGates(t, "vm-1", upstreams)
	g.Acquire(t.Context(), "orders", nil)
	describeOrders(t, g)
	text := fmt.Sprintf(testDocument, testSlots+1, testConnections, silentAddress(t), silentAddress(t))
	parsed, err := document.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	g.Apply(parsed)
	g.Tick(t.Context(), time.Now())
	if reports := g.Describe(t.Context(), []string{"orders"}); len(reports) > 0 {
		t.Errorf("reported %v before the upstreams were polled", reports)
	}
}
