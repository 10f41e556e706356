package entry

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/gate"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
)

// startGate returns the report of the gate of "orders" in a new process whose clock is
// ahead of the time of day.
func startGate(t *testing.T, process uint64, ahead time.Duration) *wire.Report {
	t.Helper()
	recorder := timeline.NewRecorder("vm-1", logr.Discard())
	recorder.Clock.Observe(timeline.Stamp(time.Now().Add(ahead).UnixMicro() << 12))
	gates := gate.New(gate.Config{VM: "vm-1", Process: process, Recorder: recorder, Mode: gate.Gated})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	gates.Apply(parseOrders(t, 20*time.Second))
	gates.Acquire(ctx, "orders", nil)
	reports := gates.Describe(ctx, []string{"orders"})
	if len(reports) != 1 || reports[0].GetSequence() == 0 {
		t.Fatalf("the gate describes its service by %v", reports)
	}
	return reports[0]
}

// TestReportsAfterClockWasSetBack checks that an entry takes the report of a gate that
// restarted with its clock set back, and then only newer ones of it.
func TestReportsAfterClockWasSetBack(t *testing.T) {
	before, after := startGate(t, 9, time.Hour), startGate(t, 4, 0)
	reports := newReportTable()
	reports.add(before)
	reports.add(after)
	if known := reports.sequence("orders"); known != after.GetSequence() {
		t.Fatalf("the entry holds the report %d of the former process, want %d", known, after.GetSequence())
	}
	late := &wire.Report{Service: "orders", Process: after.GetProcess(), Sequence: after.GetSequence() - 1}
	reports.add(late)
	if known := reports.sequence("orders"); known != after.GetSequence() {
		t.Errorf("an older report of the same process replaced the newer one: %d, want %d", known, after.GetSequence())
	}
}

// TestReportsOfOlderBuilds checks that reports without a process, of nodes of older
// builds, are ordered by their sequence among all others.
func TestReportsOfOlderBuilds(t *testing.T) {
	reports := newReportTable()
	for _, step := range []struct{ process, sequence, want uint64 }{
		{0, 10, 10},
		{0, 9, 10},
		{7, 5, 5},
		{0, 4, 5},
		{0, 6, 6},
	} {
		reports.add(&wire.Report{Service: "orders", Process: step.process, Sequence: step.sequence})
		if known := reports.sequence("orders"); known != step.want {
			t.Fatalf("after report %d of process %d the entry holds %d, want %d", step.sequence, step.process, known, step.want)
		}
	}
}

// TestUnchangedReportIsNotEvaluatedAgain: a report that a gate had only stamped anew made
// the snapshot be chosen again.
func TestUnchangedReportIsNotEvaluatedAgain(t *testing.T) {
	reports := newReportTable()
	reports.setDocument(parseOrders(t, time.Second))
	report := func(sequence, version uint64) *wire.Report {
		return &wire.Report{Service: "orders", Process: 7, Sequence: sequence, Admitted: []float32{1}, Versions: []*wire.Version{{Number: version, Replicas: 2}}}
	}
	for _, step := range []struct {
		report *wire.Report
		want   bool
	}{
		{report(1, 1), true},
		{report(2, 1), false},
		{report(3, 2), true},
		{&wire.Report{Service: "orders", Process: 8, Sequence: 1}, true},
	} {
		reports.add(step.report)
		target := reports.targets["orders"]
		if target.dirty != step.want {
			t.Errorf("report %d of process %d: to be evaluated %v, want %v", step.report.GetSequence(), step.report.GetProcess(), target.dirty, step.want)
		}
		if known := reports.sequence("orders"); known != step.report.GetSequence() {
			t.Errorf("the entry holds report %d, want %d", known, step.report.GetSequence())
		}
		target.dirty = false
	}
}
