package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
)

// maximumLatencyMicros is the largest latency that the histograms record; larger
// ones count as this one.
const maximumLatencyMicros = 120_000_000

// ReportRow summarizes the requests of one kind of work in one phase.
type ReportRow struct {
	Phase string `json:"phase"`
	Kind  string `json:"kind"`
	Rank  string `json:"rank"`
	// Offered counts all requests, Refused those with status "notRun", Admitted all
	// others, Answered those answered without an error within the kind's deadline.
	// Complete counts answers, late ones too, with full coverage.
	Offered  int `json:"offered"`
	Admitted int `json:"admitted"`
	Refused  int `json:"refused"`
	Answered int `json:"answered"`
	Complete int `json:"complete"`
	// Late counts answers without an error after the kind's deadline.
	Late int `json:"late"`
	// Goodput is the rate of Answered as a fraction of the capacity of the target.
	Goodput float64 `json:"goodput"`
	// Coverage is the mean coverage of the answers, late ones too.
	Coverage float64 `json:"coverage"`
	// Latency percentiles of the answers, late ones too, in milliseconds.
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	// RefusalP50 is the median latency of refusals, in milliseconds.
	RefusalP50 float64 `json:"refusalP50"`
	// ShardExecutions counts executions at upstreams, and WastedExecutions those of
	// them for requests that were refused, failed or were answered late.
	ShardExecutions  int `json:"shardWork"`
	WastedExecutions int `json:"shardWaste"`
	// FalseNotRun counts requests with status "notRun" that an upstream ran.
	FalseNotRun int `json:"falseNotRun"`
}

// Rows returns a row for each phase and each kind of work with requests in it.
func (r *Report) Rows() []ReportRow {
	var rows []ReportRow
	for _, phase := range r.Config.Plan.Phases {
		for _, kind := range r.Config.Plan.Document.Kinds {
			if reportRow := r.reportRow(phase, kind); reportRow.Offered > 0 {
				rows = append(rows, reportRow)
			}
		}
	}
	return rows
}

// rowCollector accumulates the samples of a row.
type rowCollector struct {
	reportRow ReportRow
	latencies *hdrhistogram.Histogram
	refusals  *hdrhistogram.Histogram
	coverage  float64
}

func (r *Report) reportRow(phase Phase, kind document.Kind) ReportRow {
	c := &rowCollector{
		reportRow: ReportRow{Phase: phase.Name, Kind: kind.Name, Rank: r.Config.Plan.Document.Ranks[kind.Rank].Name},
		latencies: hdrhistogram.New(1, maximumLatencyMicros, 3),
		refusals:  hdrhistogram.New(1, maximumLatencyMicros, 3),
	}
	for _, sample := range r.Samples {
		if sample.Kind == kind.Name && sample.ScheduledAt >= phase.From && sample.ScheduledAt < phase.To {
			c.add(sample, kind, r.ExecutionsByRequest[sample.ID])
		}
	}
	reportRow := &c.reportRow
	reportRow.P50 = percentileMillis(c.latencies, 50)
	reportRow.P99 = percentileMillis(c.latencies, 99)
	reportRow.P999 = percentileMillis(c.latencies, 99.9)
	reportRow.RefusalP50 = percentileMillis(c.refusals, 50)
	reportRow.Goodput = float64(reportRow.Answered) / r.played(phase).Seconds() / r.KindCapacity[kind.Name]
	if reportRow.Answered+reportRow.Late > 0 {
		reportRow.Coverage = c.coverage / float64(reportRow.Answered+reportRow.Late)
	}
	return *reportRow
}

// played returns how long the phase lasted: the run may have ended before it did.
func (r *Report) played(phase Phase) time.Duration {
	return min(phase.To, r.Config.Plan.Duration) - phase.From
}

func (c *rowCollector) add(sample Sample, kind document.Kind, executed int) {
	reportRow := &c.reportRow
	reportRow.Offered++
	reportRow.ShardExecutions += executed
	latency := min(max(1, sample.Latency.Microseconds()), maximumLatencyMicros)
	if sample.Status == answer.NotRun {
		reportRow.Refused++
		if executed > 0 {
			reportRow.FalseNotRun++
		}
		reportRow.WastedExecutions += executed
		// RecordValue fails only for values out of range.
		_ = c.refusals.RecordValue(latency)
		return
	}
	reportRow.Admitted++
	if sample.Code != "" || sample.Status == answer.Unknown {
		reportRow.WastedExecutions += executed
		return
	}
	_ = c.latencies.RecordValue(latency)
	c.coverage += sample.Coverage
	if sample.Coverage >= 1 {
		reportRow.Complete++
	}
	if sample.Latency > kind.Deadline {
		reportRow.Late++
		reportRow.WastedExecutions += executed
		return
	}
	reportRow.Answered++
}

func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// ExtraLoad returns the hedges and retries as a fraction of the first attempts at
// upstreams.
func (r *Report) ExtraLoad() float64 {
	if r.GateMetrics.Attempts == 0 {
		return 0
	}
	return float64(r.GateMetrics.Hedges+r.GateMetrics.Retries) / float64(r.GateMetrics.Attempts-r.GateMetrics.Hedges-r.GateMetrics.Retries)
}

// WriteTable writes the rows as a text table, followed by the gates' totals.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\tkind\trank\toffered\tadmitted\trefused\tanswered\tcomplete\tlate\tgoodput\tp50 ms\tp99 ms\tp99.9 ms\trefusal p50\twaste\tfalse notRun\t")
	for _, row := range r.Rows() {
		waste := 0.0
		if row.ShardExecutions > 0 {
			waste = float64(row.WastedExecutions) / float64(row.ShardExecutions)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.2f\t%.4f\t%d\t\n",
			row.Phase, row.Kind, row.Rank, row.Offered, row.Admitted, row.Refused, row.Answered, row.Complete,
			row.Late, row.Goodput, row.P50, row.P99, row.P999, row.RefusalP50, waste, row.FalseNotRun)
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	_, err := fmt.Fprintf(w, "attempts %d, hedges %d, retries %d, extra upstream load %.4f, replies dropped %d, unwanted by upstreams %d\n",
		r.GateMetrics.Attempts, r.GateMetrics.Hedges, r.GateMetrics.Retries, r.ExtraLoad(), r.GateMetrics.Dropped, r.Unwanted)
	return errors.WithStack(err)
}

// WriteSlowest writes the slowest answers of the most urgent rank in each phase,
// each with its slowest shard.
func (r *Report) WriteSlowest(w io.Writer, count int) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\tat s\ttook ms\tshard\tqueued ms\tserved ms\tattempts\thedged\tupstream\trequest\t")
	for _, phase := range r.Config.Plan.Phases {
		for _, sample := range r.slowest(phase, count) {
			shard := sample.Slowest
			fmt.Fprintf(table, "%s\t%.2f\t%.1f\t%s\t%.1f\t%.1f\t%d\t%t\t%s\t%s\t\n", phase.Name, sample.ScheduledAt.Seconds(),
				sample.Latency.Seconds()*1000, shard.Shard, float64(shard.QueuedMicros)/1000, float64(shard.ServedMicros)/1000,
				shard.Attempts, shard.Hedged, shard.Upstream, sample.ID)
		}
	}
	return errors.WithStack(table.Flush())
}

func (r *Report) slowest(phase Phase, count int) []Sample {
	var samples []Sample
	for _, sample := range r.Samples {
		kind, _ := r.Config.Plan.Document.Kind(sample.Kind)
		if kind.Rank == 0 && sample.Status == answer.Ran && sample.ScheduledAt >= phase.From && sample.ScheduledAt < phase.To {
			samples = append(samples, sample)
		}
	}
	slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(b.Latency, a.Latency) })
	return samples[:min(count, len(samples))]
}

// summary is the last JSON line of a report and describes the whole run.
type summary struct {
	Seed      uint64        `json:"seed"`
	Mode      string        `json:"mode"`
	ExtraLoad float64       `json:"extraLoad"`
	Unwanted  int           `json:"unwanted"`
	Duration  time.Duration `json:"durationNanos"`
}

// WriteJSON writes a line of JSON for each row and a summary line.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for _, row := range r.Rows() {
		if err := encoder.Encode(row); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.WithStack(encoder.Encode(summary{
		Seed:      r.Config.Seed,
		Mode:      string(r.Config.Mode),
		ExtraLoad: r.ExtraLoad(),
		Unwanted:  r.Unwanted,
		Duration:  r.Config.Plan.Duration,
	}))
}
