package load

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/gate"
	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/pkg/answer"
)

// playDisturbance plays a disturbance of a pool of three upstreams.
func playDisturbance(t *testing.T, disturbance string) (*Report, ReportRow) {
	t.Helper()
	return play(t, "[[disturbance]]\n"+disturbance+"\n")
}

// play plays a plan for a pool of three upstreams with the given tables.
func play(t *testing.T, tables string) (*Report, ReportRow) {
	t.Helper()
	plan, err := readTestPlan(t, 3, tables)
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(context.Background(), Config{Plan: plan, Seed: 1, Mode: gate.Gated, Log: logr.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	row := report.Rows()[0]
	codes := map[answer.Code]int{}
	for _, sample := range report.Samples {
		codes[sample.Code]++
	}
	t.Logf("%d unwanted, %d of %d answered, by code: %v", report.Unwanted, row.Answered, row.Offered, codes)
	return report, row
}

// TestPlayedUpstreamsGetNothing plays a share that leaves and one that sheds: the gates
// send them nothing that they said they don't want, and the others serve on.
func TestPlayedUpstreamsGetNothing(t *testing.T) {
	for name, text := range map[string]string{
		"leaving":        "share = \"34%\"\neffect = \"tellLeaving\"",
		"listed leaving": "share = \"34%\"\neffect = \"tellLeaving\"\nlisted = true",
		"shedding":       "share = \"34%\"\neffect = \"shed\"\nretryAfter = \"10s\"",
		"liar":           "share = \"34%\"\neffect = \"shed\"\nretryAfter = \"1h\"\nto = \"200ms\"",
	} {
		t.Run(name, func(t *testing.T) {
			report, row := playDisturbance(t, text)
			if report.Unwanted > 0 {
				t.Errorf("%d requests reached upstreams that had said that they wanted none", report.Unwanted)
			}
			if row.Offered == 0 || row.Answered < row.Offered*9/10 {
				t.Errorf("%d of %d requests were answered", row.Answered, row.Offered)
			}
		})
	}
}

// TestEndlessUpstreamIsLeftOut plays an upstream whose replies have no end, in each part of
// them: once the gates have seen that, the others serve on.
func TestEndlessUpstreamIsLeftOut(t *testing.T) {
	for _, part := range []standin.EndlessPart{
		standin.EndlessBody, standin.EndlessHead, standin.EndlessInterim, standin.EndlessChunkExtension,
		standin.EndlessTrailers, standin.EndlessWait, standin.EndlessSurplus,
	} {
		t.Run(string(part), func(t *testing.T) {
			_, row := playDisturbance(t, fmt.Sprintf("service = \"orders\"\nreplica = 1\neffect = \"endless\"\npart = %q", part))
			if row.Offered == 0 || row.Answered < row.Offered*9/10 {
				t.Errorf("%d of %d requests were answered", row.Answered, row.Offered)
			}
		})
	}
}

// TestInvalidStatusIsNoAnswer plays upstreams whose whole replies have no valid status. If one
// of three sends them, the others serve on; if all do, no caller gets one as its answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	_, row := playDisturbance(t, "service = \"orders\"\nreplica = 1\neffect = \"invalidStatus\"")
	if row.Offered == 0 || row.Answered < row.Offered*9/10 {
		t.Errorf("%d of %d requests were answered", row.Answered, row.Offered)
	}
	_, row = playDisturbance(t, "share = \"100%\"\neffect = \"invalidStatus\"")
	if row.Offered == 0 || row.Answered > 0 {
		t.Errorf("%d of %d requests were answered", row.Answered, row.Offered)
	}
}

// TestSlowCallersHinderNobody plays callers that stall in each part of an exchange: others are
// served by nodes with little memory.
func TestSlowCallersHinderNobody(t *testing.T) {
	for _, stalls := range []Stall{StallHead, StallBody, StallAnswer} {
		t.Run(string(stalls), func(t *testing.T) {
			plan := fmt.Sprintf("[[slowCallers]]\nstalls = %q\nkind = \"order\"\ncount = 60\n", stalls)
			_, row := play(t, plan)
			if row.Offered == 0 || row.Answered < row.Offered*9/10 {
				t.Errorf("%d of %d requests were answered", row.Answered, row.Offered)
			}
		})
	}
}
