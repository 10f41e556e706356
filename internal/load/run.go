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

// callerCount is the number of callers that a stream's requests come from.
const callerCount = 8

// slowedBy is the factor of the effect "slow".
const slowedBy = 10

// linesPerShard is the number of records that each shard holds.
const linesPerShard = 50

// Config describes one run of a plan.
type Config struct {
	Plan Plan
	Seed uint64
	Mode gate.Mode
	Log  logr.Logger
}

// Sample is what became of one request.
type Sample struct {
	Kind string
	// At is the scheduled time from the start of the run; negative in warmup.
	At time.Duration
	// Took is counted from the scheduled time.
	Took     time.Duration
	Status   answer.Status
	Code     answer.Code
	Coverage float64
	Shards   int
	ID       string
	// Slowest is the shard that the answer waited for longest.
	Slowest answer.Included
}

// Result is what a run brought.
type Report struct {
	Config  Config
	Samples []Sample
	// Work is what the gates did, summed over the nodes.
	Work gate.Metrics
	// Executed counts the executions at the upstreams by request.
	Executed map[string]int
	// CapacityOf is the capacity of each kind's target, in requests a second.
	CapacityOf map[string]float64
}

// runner is one run in progress.
type runner struct {
	config Config
	system *local.System
	start  time.Time
	client *caller.Client

	mu      sync.Mutex
	samples []Sample
	group   sync.WaitGroup
}

// Run starts a local system, puts it under the plan's load and stops it.
func Run(ctx context.Context, config Config) (result *Report, err error) {
	defer util.Annotate(&err, "load")
	plan := config.Plan
	system, err := local.Start(ctx, local.Config{
		Document:      plan.Document.Text,
		Contents:      shardContents(plan.Document),
		ServiceTime:   plan.serviceTimes(config.Seed),
		Latency:       plan.Latency,
		EnforceLimits: true,
		Nodes:         plan.Nodes,
		Zones:         plan.Zones,
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
	for _, disturbance := range plan.Disturbances {
		time.AfterFunc(time.Until(r.start.Add(disturbance.At)), func() { r.disturb(disturbance) })
	}
	r.group.Wait()
	return r.result(), nil
}

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

// loop sends a stream's requests on a schedule drawn from the seed, whether
// earlier ones are answered or not.
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

// run sends one request and keeps what became of it.
func (r *runner) run(ctx context.Context, kind document.Kind, at time.Duration, from int) {
	defer r.group.Done()
	request := query.Request{Kind: kind.Name, Query: query.Text("record a"), Caller: kind.Name + string(rune('0'+from))}
	sample := Sample{Kind: kind.Name, At: at}
	if !kind.Repeatable {
		tickets, err := r.client.Tickets(ctx, 1)
		if err == nil {
			request.Key = tickets[0]
		}
	}
	a, err := r.client.Query(ctx, request)
	sample.Took = time.Since(r.start.Add(at))
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

func slowestShard(a *answer.Answer) (slowest answer.Included) {
	for _, shard := range a.Coverage.Included {
		if shard.QueuedMicros+shard.ServedMicros > slowest.QueuedMicros+slowest.ServedMicros {
			slowest = shard
		}
	}
	return slowest
}

func (r *runner) disturb(d Disturbance) {
	upstreams := r.system.Upstreams[d.Service]
	if d.Replica > len(upstreams) {
		return
	}
	upstream := upstreams[d.Replica-1]
	switch d.Effect {
	case Slow:
		upstream.InjectFaults(standin.UpstreamFaults{Slowdown: slowedBy})
	case Silent:
		upstream.InjectFaults(standin.UpstreamFaults{Silent: true})
	case Dead:
		upstream.Close()
	case Leave:
		upstream.Leave()
	}
}

func (r *runner) result() *Report {
	result := &Report{
		Config:     r.config,
		Samples:    r.samples,
		Executed:   map[string]int{},
		CapacityOf: map[string]float64{},
	}
	for _, n := range r.system.Nodes {
		work := n.Status().Work
		result.Work.Requests += work.Requests
		result.Work.Attempts += work.Attempts
		result.Work.Hedges += work.Hedges
		result.Work.Retries += work.Retries
		result.Work.Refused += work.Refused
		result.Work.Dropped += work.Dropped
	}
	for _, upstreams := range r.system.Upstreams {
		for _, upstream := range upstreams {
			for _, execution := range upstream.Executions() {
				result.Executed[execution.RequestID]++
			}
		}
	}
	for _, kind := range r.config.Plan.Document.Kinds {
		result.CapacityOf[kind.Name] = r.config.Plan.capacity(kind, r.config.Seed)
	}
	return result
}
