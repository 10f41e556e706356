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

// longestLatency is the largest latency told apart, in microseconds.
const longestLatency = 120_000_000

// Row is the service that one kind of work received in one phase.
type ReportRow struct {
	Phase string `json:"phase"`
	Kind  string `json:"kind"`
	Rank  string `json:"rank"`
	// Offered counts the requests sent, Admitted those that were not refused
	// as overload, Answered those that ran to a whole enough answer in time.
	Offered  int `json:"offered"`
	Admitted int `json:"admitted"`
	Refused  int `json:"refused"`
	Answered int `json:"answered"`
	Complete int `json:"complete"`
	// Late counts answers after the kind's deadline.
	Late int `json:"late"`
	// Goodput is answers in time, as a fraction of the capacity of the target.
	Goodput float64 `json:"goodput"`
	// Coverage is the mean over the answers.
	Coverage float64 `json:"coverage"`
	// Latencies of answers, in milliseconds.
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	// RefusalP50 is the median latency of refusals, in milliseconds.
	RefusalP50 float64 `json:"refusalP50"`
	// ShardWork and ShardWaste count executions at upstreams, and those of them
	// that no answer came from.
	ShardWork  int `json:"shardWork"`
	ShardWaste int `json:"shardWaste"`
	// FalseNotRun counts requests answered "notRun" that an upstream ran.
	FalseNotRun int `json:"falseNotRun"`
}

// Rows reports each kind in each phase.
func (r *Report) Rows() []ReportRow {
	var rows []ReportRow
	for _, phase := range r.Config.Plan.Phases {
		for _, kind := range r.Config.Plan.Document.Kinds {
			if row := r.row(phase, kind); row.Offered > 0 {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// tally collects one row.
type tally struct {
	row       ReportRow
	latencies *hdrhistogram.Histogram
	refusals  *hdrhistogram.Histogram
	coverage  float64
}

func (r *Report) row(phase Phase, kind document.Kind) ReportRow {
	t := &tally{
		row:       ReportRow{Phase: phase.Name, Kind: kind.Name, Rank: r.Config.Plan.Document.Ranks[kind.Rank].Name},
		latencies: hdrhistogram.New(1, longestLatency, 3),
		refusals:  hdrhistogram.New(1, longestLatency, 3),
	}
	for _, sample := range r.Samples {
		if sample.Kind == kind.Name && sample.At >= phase.From && sample.At < phase.To {
			t.add(sample, kind, r.Executed[sample.ID])
		}
	}
	row := &t.row
	row.P50 = millis(t.latencies, 50)
	row.P99 = millis(t.latencies, 99)
	row.P999 = millis(t.latencies, 99.9)
	row.RefusalP50 = millis(t.refusals, 50)
	row.Goodput = float64(row.Answered) / (phase.To - phase.From).Seconds() / r.CapacityOf[kind.Name]
	if row.Answered+row.Late > 0 {
		row.Coverage = t.coverage / float64(row.Answered+row.Late)
	}
	return *row
}

func (t *tally) add(sample Sample, kind document.Kind, executed int) {
	row := &t.row
	row.Offered++
	row.ShardWork += executed
	took := min(max(1, sample.Took.Microseconds()), longestLatency)
	if sample.Status == answer.NotRun {
		row.Refused++
		if executed > 0 {
			row.FalseNotRun++
		}
		row.ShardWaste += executed
		// Values in range are always recorded.
		_ = t.refusals.RecordValue(took)
		return
	}
	row.Admitted++
	if sample.Code != "" || sample.Status == answer.Unknown {
		row.ShardWaste += executed
		return
	}
	_ = t.latencies.RecordValue(took)
	t.coverage += sample.Coverage
	if sample.Coverage >= 1 {
		row.Complete++
	}
	if sample.Took > kind.Deadline {
		row.Late++
		row.ShardWaste += executed
		return
	}
	row.Answered++
}

func millis(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// ExtraLoad is the fraction of attempts at upstreams beyond one for each
// sub-request.
func (r *Report) ExtraLoad() float64 {
	if r.Work.Attempts == 0 {
		return 0
	}
	return float64(r.Work.Hedges+r.Work.Retries) / float64(r.Work.Attempts-r.Work.Hedges-r.Work.Retries)
}

// WriteTable writes the rows for people.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\tkind\trank\toffered\tadmitted\trefused\tanswered\tcomplete\tlate\tgoodput\tp50 ms\tp99 ms\tp99.9 ms\trefusal p50\twaste\tfalse notRun\t")
	for _, row := range r.Rows() {
		waste := 0.0
		if row.ShardWork > 0 {
			waste = float64(row.ShardWaste) / float64(row.ShardWork)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.2f\t%.4f\t%d\t\n",
			row.Phase, row.Kind, row.Rank, row.Offered, row.Admitted, row.Refused, row.Answered, row.Complete,
			row.Late, row.Goodput, row.P50, row.P99, row.P999, row.RefusalP50, waste, row.FalseNotRun)
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	_, err := fmt.Fprintf(w, "attempts %d, hedges %d, retries %d, extra upstream load %.4f, replies dropped %d\n",
		r.Work.Attempts, r.Work.Hedges, r.Work.Retries, r.ExtraLoad(), r.Work.Dropped)
	return errors.WithStack(err)
}

// WriteSlowest writes the slowest answers of each phase and of the most urgent
// rank, with the shard that each waited for longest.
func (r *Report) WriteSlowest(w io.Writer, count int) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\tat s\ttook ms\tshard\tqueued ms\tserved ms\tattempts\thedged\tupstream\trequest\t")
	for _, phase := range r.Config.Plan.Phases {
		for _, sample := range r.slowest(phase, count) {
			shard := sample.Slowest
			fmt.Fprintf(table, "%s\t%.2f\t%.1f\t%s\t%.1f\t%.1f\t%d\t%t\t%s\t%s\t\n", phase.Name, sample.At.Seconds(),
				sample.Took.Seconds()*1000, shard.Shard, float64(shard.QueuedMicros)/1000, float64(shard.ServedMicros)/1000,
				shard.Attempts, shard.Hedged, shard.Upstream, sample.ID)
		}
	}
	return errors.WithStack(table.Flush())
}

func (r *Report) slowest(phase Phase, count int) []Sample {
	var samples []Sample
	for _, sample := range r.Samples {
		kind, _ := r.Config.Plan.Document.Kind(sample.Kind)
		if kind.Rank == 0 && sample.Status == answer.Ran && sample.At >= phase.From && sample.At < phase.To {
			samples = append(samples, sample)
		}
	}
	slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(b.Took, a.Took) })
	return samples[:min(count, len(samples))]
}

// summary is the last JSON line of a report.
type summary struct {
	Seed      uint64        `json:"seed"`
	Mode      string        `json:"mode"`
	ExtraLoad float64       `json:"extraLoad"`
	Duration  time.Duration `json:"durationNanos"`
}

// WriteJSON writes one line a row and one for the whole run.
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
		Duration:  r.Config.Plan.Duration,
	}))
}
