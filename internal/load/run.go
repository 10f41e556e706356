package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/gate"
	"github.com/bronzereach/bronzereach/internal/local"
	"github.com/bronzereach/bronzereach/internal/standin"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/caller"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// callerCount is the number of caller names that the requests of a stream use.
const callerCount = 8

// linesPerShard is the mean number of records of a shard.
const linesPerShard = 50

// Config configures a run of a plan.
type Config struct {
	Plan Plan
	// Seed determines the schedule, the service times and the slow upstreams.
	Seed uint64
	Mode gate.Mode
	Log  logr.Logger
}

// Sample is the outcome of one request.
type Sample struct {
	Kind string
	// ScheduledAt is the time of the run at which the request was due; it is negative
	// in the warmup.
	ScheduledAt time.Duration
	// Latency counts from ScheduledAt, so that it includes delays of the load
	// generator itself.
	Latency  time.Duration
	Status   answer.Status
	Code     answer.Code
	Coverage float64
	Shards   int
	ID       string
	// Slowest is the included shard with the longest queueing and service time.
	Slowest answer.Included
}

// Report holds the measurements of a run.
type Report struct {
	Config  Config
	Samples []Sample
	// GateMetrics is the sum of the gates' metrics over all nodes.
	GateMetrics gate.Metrics
	// ExecutionsByRequest counts the executions at upstreams by request ID.
	ExecutionsByRequest map[string]int
	// Unwanted counts the requests that upstreams got although they had told that they
	// wanted none.
	Unwanted int
	// KindCapacity is the capacity of each kind's target, in requests per second.
	KindCapacity map[string]float64
}

// runner is the state of a run in progress. start is the end of the warmup.
type runner struct {
	config Config
	system *local.System
	start  time.Time
	client *caller.Client

	mu      sync.Mutex
	samples []Sample
	group   sync.WaitGroup
}

// Run starts a local system, runs the plan against it and stops it.
func Run(ctx context.Context, config Config) (report *Report, err error) {
	defer util.Annotate(&err, "load")
	plan := config.Plan
	system, err := local.Start(ctx, local.Config{
		Document:      plan.Document.Text,
		Contents:      shardContents(plan.Document),
		ServiceTime:   plan.serviceTimeSamplers(config.Seed),
		Latency:       plan.Latency,
		EnforceLimits: true,
		Nodes:         plan.Nodes,
		Zones:         plan.Zones,
		Memory:        plan.Memory,
		Mode:          config.Mode,
		Seed:          config.Seed,
		Log:           config.Log,
	})
	if err != nil {
		return nil, err
	}
	defer system.Stop()
	r := &runner{
		config: config,
		system: system,
		start:  time.Now().Add(plan.Warmup),
		client: caller.New(caller.Config{Seeds: system.Addresses()}),
	}
	for i, stream := range plan.Streams {
		r.group.Add(1)
		go r.loop(ctx, stream, config.Seed*100+uint64(i))
	}
	r.startSlowCallers(ctx)
	r.scheduleDisturbances()
	r.group.Wait()
	return r.report(), nil
}

// shardContents returns a function that returns the contents of the upstreams of a
// service: synthetic records for a service of an index, none for one of a pool. The
// records of an index have 26 distinct texts, so that they are in at most 26 shards.
func shardContents(d *document.Document) func(document.Service) standin.Contents {
	byService := map[string]standin.Contents{}
	for _, index := range d.Indexes {
		names := d.ServicesOf(index.Name)
		var lines [][]byte
		for i := range linesPerShard * len(names) {
			lines = append(lines, []byte(index.Name+" record "+string(rune('a'+i%26))))
		}
		for i, contents := range standin.ShardLines(lines, len(names)) {
			byService[names[i]] = contents
		}
	}
	return func(service document.Service) standin.Contents { return byService[service.Name] }
}

// loop sends the requests of a stream open-loop: at random times that the seed
// determines, whether earlier requests are answered or not.
func (r *runner) loop(ctx context.Context, stream Stream, seed uint64) {
	defer r.group.Done()
	kind, found := r.config.Plan.Document.Kind(stream.Kind)
	if !found {
		return
	}
	random := rand.New(rand.NewPCG(seed, 3))
	rate := stream.Load * r.config.Plan.capacity(kind, r.config.Seed)
	for at := stream.From; ctx.Err() == nil; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= min(stream.To, r.config.Plan.Duration) {
			return
		}
		time.Sleep(time.Until(r.start.Add(at)))
		r.group.Add(1)
		go r.run(ctx, kind, at, random.IntN(callerCount))
	}
}

// run sends one request and records its outcome.
func (r *runner) run(ctx context.Context, kind document.Kind, at time.Duration, callerNumber int) {
	defer r.group.Done()
	request := query.Request{Kind: kind.Name, Query: query.Text("record a"), Caller: kind.Name + string(rune('0'+callerNumber))}
	sample := Sample{Kind: kind.Name, ScheduledAt: at}
	if !kind.Repeatable {
		tickets, err := r.client.Tickets(ctx, 1)
		if err == nil {
			request.Key = tickets[0]
		}
	}
	a, err := r.client.Query(ctx, request)
	sample.Latency = time.Since(r.start.Add(at))
	sample.Status = answer.Unknown
	if err == nil {
		sample.Status = a.Status
		sample.Coverage = a.Coverage.Fraction
		sample.Shards = len(a.Coverage.Included) + len(a.Coverage.Omitted)
		sample.ID = a.RequestID
		sample.Slowest = slowestShard(a)
		if a.Error != nil {
			sample.Code = a.Error.Code
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample)
}

// slowestShard returns the shard with the longest queueing and service time.
func slowestShard(a *answer.Answer) (slowest answer.Included) {
	for _, shard := range a.Coverage.Included {
		if shard.QueuedMicros+shard.ServedMicros > slowest.QueuedMicros+slowest.ServedMicros {
			slowest = shard
		}
	}
	return slowest
}

func (r *runner) report() *Report {
	report := &Report{
		Config:              r.config,
		Samples:             r.samples,
		ExecutionsByRequest: map[string]int{},
		KindCapacity:        map[string]float64{},
	}
	for _, n := range r.system.Nodes {
		metrics := n.Status().GateMetrics
		report.GateMetrics.Requests += metrics.Requests
		report.GateMetrics.Attempts += metrics.Attempts
		report.GateMetrics.Hedges += metrics.Hedges
		report.GateMetrics.Retries += metrics.Retries
		report.GateMetrics.Refused += metrics.Refused
		report.GateMetrics.Dropped += metrics.Dropped
	}
	for _, upstreams := range r.system.Upstreams {
		for _, upstream := range upstreams {
			report.Unwanted += upstream.Unwanted()
			for _, execution := range upstream.Executions() {
				report.ExecutionsByRequest[execution.RequestID]++
			}
		}
	}
	for _, kind := range r.config.Plan.Document.Kinds {
		report.KindCapacity[kind.Name] = r.config.Plan.capacity(kind, r.config.Seed)
	}
	return report
}
