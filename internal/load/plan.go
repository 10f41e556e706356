// Package load puts a local system under an open-loop load and reports latency
// and service by kind of work.
package load

import (
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// Plan describes one run.
type Plan struct {
	Document *document.Document
	Nodes    int
	Zones    int
	// Warmup is time under the steady streams before the run's clock starts.
	Warmup   time.Duration
	Duration time.Duration
	// ServiceTime is the mean of the usual replies; Spread the sigma of their
	// logarithm.
	ServiceTime time.Duration
	Spread      float64
	// SlowReplies is the fraction of replies that take SlowFactor times longer.
	SlowReplies float64
	SlowFactor  float64
	// SlowReplicas is the fraction of upstreams that are slow all the time.
	SlowReplicas float64
	// Latency is the time to an upstream, one way.
	Latency      time.Duration
	Streams      []Stream
	Disturbances []Disturbance
	Phases       []Phase
}

// slowReplicaFactor is how many times slower a slow upstream is.
const slowReplicaFactor = 5

// Stream is a flow of requests of one kind.
type Stream struct {
	Kind string
	// Load is the rate as a fraction of the capacity of the kind's target.
	Load float64
	From time.Duration
	To   time.Duration
}

// Effect is what a disturbance does to an upstream.
type Effect string

// The effects.
const (
	Slow   Effect = "slow"
	Dead   Effect = "dead"
	Silent Effect = "silent"
	Leave  Effect = "leave"
)

// Disturbance changes one upstream during the run.
type Disturbance struct {
	Service string
	// Replica counts from 1.
	Replica int
	Effect  Effect
	At      time.Duration
}

// Phase is a part of the run that is reported apart.
type Phase struct {
	Name string
	From time.Duration
	To   time.Duration
}

// ReadPlan reads a plan and the document it names, which is found beside it.
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
	plan.Warmup = root.DurationOr("warmup", time.Second)
	plan.Duration = root.Duration("duration")
	plan.ServiceTime = root.Duration("serviceTime")
	plan.Spread = root.NumberOr("spread", 0.5)
	plan.SlowReplies = root.PercentOr("slowReplies", 0)
	plan.SlowFactor = root.NumberOr("slowFactor", 1)
	plan.SlowReplicas = root.PercentOr("slowReplicas", 0)
	plan.Latency = root.DurationOr("latency", 0)
	name := root.Text("document")
	readStreams(root, &plan)
	readDisturbances(root, &plan)
	readPhases(root, &plan)
	if err := reader.Finish(); err != nil {
		return plan, err
	}
	documentText, err := os.ReadFile(filepath.Join(filepath.Dir(path), name))
	if err != nil {
		return plan, errors.WithStack(err)
	}
	plan.Document, err = document.Parse(documentText)
	return plan, err
}

func readStreams(root *document.Table, plan *Plan) {
	for _, table := range root.Tables("stream") {
		stream := Stream{
			Kind: table.Text("kind"),
			From: spanOr(table, "from", -plan.Warmup),
			To:   spanOr(table, "to", plan.Duration),
			Load: readLoad(table),
		}
		plan.Streams = append(plan.Streams, stream)
		table.ReportUnknownKeys()
	}
}

// readLoad reads a percentage that may be above 100.
func readLoad(table *document.Table) float64 {
	return table.FactorOr("load", 0)
}

// spanOr reads a time of the run; "0s" is its start.
func spanOr(table *document.Table, key string, fallback time.Duration) time.Duration {
	if !table.Has(key) {
		return fallback
	}
	if table.TextOr(key, "") == "0s" {
		return 0
	}
	return table.DurationOr(key, fallback)
}

func readDisturbances(root *document.Table, plan *Plan) {
	for _, table := range root.Tables("disturbance") {
		plan.Disturbances = append(plan.Disturbances, Disturbance{
			Service: table.Text("service"),
			Replica: table.Count("replica"),
			Effect:  Effect(table.Text("effect")),
			At:      spanOr(table, "at", 0),
		})
		table.ReportUnknownKeys()
	}
}

func readPhases(root *document.Table, plan *Plan) {
	for _, table := range root.Tables("phase") {
		plan.Phases = append(plan.Phases, Phase{
			Name: table.Text("name"),
			From: spanOr(table, "from", 0),
			To:   spanOr(table, "to", plan.Duration),
		})
		table.ReportUnknownKeys()
	}
	if len(plan.Phases) == 0 {
		plan.Phases = []Phase{{Name: "all", To: plan.Duration}}
	}
}
