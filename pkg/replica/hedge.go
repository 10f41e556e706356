package replica

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the hedge delay and of attempt budgets.
const (
	// hedgeQuantile is the latency percentile beyond which an attempt counts as a
	// straggler.
	hedgeQuantile = 97
	// hedgeWindows is the number of windows of length hedgeWindow that are kept.
	hedgeWindows = 3
	hedgeWindow  = time.Second
	// minHedgeSamples is the minimum number of samples for computing a delay.
	minHedgeSamples = 20
	// maxLatencyMicros is the largest latency in the histogram, in microseconds;
	// longer ones are clamped.
	maxLatencyMicros = 60_000_000
	// maxTokens is the maximum number of extra attempts that a Budget accumulates.
	maxTokens = 10
)

// HedgeDelayEstimator estimates from recent latencies how long to wait for an
// attempt before starting a hedge. It is not safe for concurrent use.
type HedgeDelayEstimator struct {
	histogram *hdrhistogram.WindowedHistogram
	rotated   time.Time
	delay     time.Duration
}

// NewHedgeDelayEstimator returns an estimator without samples.
func NewHedgeDelayEstimator() *HedgeDelayEstimator {
	return &HedgeDelayEstimator{histogram: hdrhistogram.NewWindowed(hedgeWindows, 1, maxLatencyMicros, 1)}
}

// Record adds the latency of an attempt that succeeded or, if its hedge replied
// first, the time from its start until then.
func (d *HedgeDelayEstimator) Record(took time.Duration) {
	// The value is clamped to the range of the histogram, so recording can't fail.
	_ = d.histogram.Current.RecordValue(min(max(1, took.Microseconds()), maxLatencyMicros))
}

// Tick recomputes the delay at the end of each window.
func (d *HedgeDelayEstimator) Tick(now time.Time) {
	if now.Sub(d.rotated) < hedgeWindow {
		return
	}
	d.rotated = now
	merged := d.histogram.Merge()
	if merged.TotalCount() >= minHedgeSamples {
		d.delay = time.Duration(merged.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
	}
	d.histogram.Rotate()
}

// Delay returns the time after which an attempt counts as a straggler. ok is
// false until there are enough samples.
func (d *HedgeDelayEstimator) Delay() (delay time.Duration, ok bool) {
	return d.delay, d.delay > 0
}

// Budget is a token bucket that limits extra attempts to a fraction of the
// requests. It is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// FullBudget returns a budget with the maximum number of tokens.
func FullBudget() Budget {
	return Budget{tokens: maxTokens}
}

// Earn adds the tokens for one request: a fraction of an extra attempt.
func (b *Budget) Earn(fraction float64) {
	b.tokens = min(maxTokens, b.tokens+fraction)
}

// Refund returns the token of an extra attempt that was not made.
func (b *Budget) Refund() {
	b.tokens = min(maxTokens, b.tokens+1)
}

// Spend takes the token for one extra attempt; it returns false if there is none.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
