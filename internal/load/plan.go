// Package load runs a local system under open-loop load and reports latency,
// goodput and wasted work by kind of work.
package load

import (
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/memory"
)

// Plan describes a load test. Times of the run count from the end of the warmup.
type Plan struct {
	Document *document.Document
	Nodes    int
	Zones    int
	// Memory is the memory that each node may use; 0 for that of the machine.
	Memory memory.Bytes
	// Warmup is the time under load before time 0. Only streams without a start
	// time send requests during it.
	Warmup   time.Duration
	Duration time.Duration
	// ServiceTime is the mean service time of normal replies and LogSigma the
	// standard deviation of its logarithm.
	ServiceTime time.Duration
	LogSigma    float64
	// SlowReplyFraction is the fraction of replies whose service time is multiplied
	// by SlowFactor.
	SlowReplyFraction float64
	SlowFactor        float64
	// SlowReplicaFraction is the probability that an upstream is slow throughout the
	// run, unless an earlier upstream of its service already is.
	SlowReplicaFraction float64
	// Latency is the simulated one-way network latency to an upstream.
	Latency      time.Duration
	Streams      []Stream
	SlowCallers  []SlowCallers
	Disturbances []Disturbance
	Phases       []Phase
}

// slowReplicaFactor multiplies the service times of upstreams that are slow
// throughout the run.
const slowReplicaFactor = 5

// Stream is a Poisson stream of requests of one kind.
type Stream struct {
	Kind string
	// Load is the rate as a fraction of the capacity of the kind's target. It may be
	// above 1.
	Load float64
	// From and To bound the times of the run at which requests are sent. By default
	// they span the warmup and the whole run.
	From time.Duration
	To   time.Duration
}

// Phase is a part of the run that is reported separately.
type Phase struct {
	Name string
	From time.Duration
	To   time.Duration
}

// ReadPlan reads a plan and the document that it names by a path relative to the
// plan's folder.
func ReadPlan(path string) (plan Plan, err error) {
	defer util.Annotate(&err, "plan %s", path)
	text, err := os.ReadFile(path)
	if err != nil {
		return plan, errors.WithStack(err)
	}
	reader, err := document.NewReader(text)
	if err != nil {
		return plan, err
	}
	root := reader.Root()
	plan.Nodes = root.Count("nodes")
	plan.Zones = root.Count("zones")
	plan.Memory = memory.Bytes(root.CountOr("memoryMegabytes", 0)) * memory.Megabyte
	plan.Warmup = root.DurationOr("warmup", time.Second)
	plan.Duration = root.Duration("duration")
	plan.ServiceTime = root.Duration("serviceTime")
	plan.LogSigma = root.NumberOr("spread", 0.5)
	plan.SlowReplyFraction = root.PercentOr("slowReplies", 0)
	plan.SlowFactor = root.NumberOr("slowFactor", 1)
	plan.SlowReplicaFraction = root.PercentOr("slowReplicas", 0)
	plan.Latency = root.DurationOr("latency", 0)
	name := root.Text("document")
	readStreams(root, &plan)
	readSlowCallers(root, &plan)
	readDisturbances(root, &plan)
	readPhases(root, &plan)
	if err := reader.Finish(); err != nil {
		return plan, err
	}
	documentText, err := os.ReadFile(filepath.Join(filepath.Dir(path), name))
	if err != nil {
		return plan, errors.WithStack(err)
	}
	if plan.Document, err = document.Parse(documentText); err != nil {
		return plan, err
	}
	return plan, plan.checkDisturbances()
}

func readStreams(root *document.Table, plan *Plan) {
	for _, table := range root.Tables("stream") {
		stream := Stream{
			Kind: table.Text("kind"),
			From: runTimeOr(table, "from", -plan.Warmup),
			To:   runTimeOr(table, "to", plan.Duration),
			Load: readLoad(table),
		}
		plan.Streams = append(plan.Streams, stream)
		table.ReportUnknownKeys()
	}
}

// readLoad reads a percentage that may be above 100 as a fraction.
func readLoad(table *document.Table) float64 {
	return table.FactorOr("load", 0)
}

// runTimeOr reads a time of the run. It accepts "0s", which DurationOr does not.
func runTimeOr(table *document.Table, key string, fallback time.Duration) time.Duration {
	if !table.Has(key) {
		return fallback
	}
	if table.TextOr(key, "") == "0s" {
		return 0
	}
	return table.DurationOr(key, fallback)
}

func readPhases(root *document.Table, plan *Plan) {
	for _, table := range root.Tables("phase") {
		plan.Phases = append(plan.Phases, Phase{
			Name: table.Text("name"),
			From: runTimeOr(table, "from", 0),
			To:   runTimeOr(table, "to", plan.Duration),
		})
		table.ReportUnknownKeys()
	}
	if len(plan.Phases) == 0 {
		plan.Phases = []Phase{{Name: "all", To: plan.Duration}}
	}
}
