package replica

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Constants of the hedge delay.
const (
	// hedgeQuantile is the percentile of latency after which an attempt counts
	// as a straggler.
	hedgeQuantile = 97
	// hedgeWindows is the number of windows of hedgeWindow that are kept.
	hedgeWindows = 3
	hedgeWindow  = time.Second
	// hedgeSamples is the fewest samples that a delay is drawn from.
	hedgeSamples = 20
	// longestLatency is the largest latency told apart, in microseconds.
	longestLatency = 60_000_000
	// budgetLimit bounds how many extra attempts a budget saves up.
	budgetLimit = 10
)

// Delays learns how long an attempt may take before a second one is worth it.
// It is not safe for concurrent use.
type HedgeDelayEstimator struct {
	histogram *hdrhistogram.WindowedHistogram
	rotated   time.Time
	delay     time.Duration
}

// NewDelays returns a learner without samples.
func NewHedgeDelayEstimator() *HedgeDelayEstimator {
	return &HedgeDelayEstimator{histogram: hdrhistogram.NewWindowed(hedgeWindows, 1, longestLatency, 1)}
}

// Add notes the latency of an attempt that succeeded, or that lost against a
// hedge after this time.
func (d *HedgeDelayEstimator) Record(took time.Duration) {
	// A value out of range is clamped, so recording can't fail.
	_ = d.histogram.Current.RecordValue(min(max(1, took.Microseconds()), longestLatency))
}

// Tick draws the delay anew once a window has passed.
func (d *HedgeDelayEstimator) Tick(now time.Time) {
	if now.Sub(d.rotated) < hedgeWindow {
		return
	}
	d.rotated = now
	merged := d.histogram.Merge()
	if merged.TotalCount() >= hedgeSamples {
		d.delay = time.Duration(merged.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
	}
	d.histogram.Rotate()
}

// Delay returns the time after which an attempt counts as a straggler; ok is
// false while too few samples have been seen.
func (d *HedgeDelayEstimator) Delay() (delay time.Duration, ok bool) {
	return d.delay, d.delay > 0
}

// Budget bounds extra attempts to a fraction of the requests. It is not safe
// for concurrent use.
type Budget struct {
	tokens float64
}

// FullBudget returns a budget with all that it can save up.
func FullBudget() Budget {
	return Budget{tokens: budgetLimit}
}

// Earn adds a request's share to the budget.
func (b *Budget) Earn(fraction float64) {
	b.tokens = min(budgetLimit, b.tokens+fraction)
}

// Refund gives back an extra attempt that was not made after all.
func (b *Budget) Refund() {
	b.tokens = min(budgetLimit, b.tokens+1)
}

// Spend takes one extra attempt out of the budget, if it is there.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
