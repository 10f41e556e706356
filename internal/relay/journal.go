package relay

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// linesPerSecond bounds the log lines of requests.
	linesPerSecond = 20
	// sampleEvery is one in how many whole answers gets a line.
	sampleEvery = 64
)

// lineBudget bounds log lines and counts those that were left out.
type lineBudget struct {
	mu      sync.Mutex
	tokens  float64
	filled  time.Time
	skipped int
	whole   int
}

// take reports whether a line may be written, and how many were left out
// before it.
func (b *lineBudget) take(now time.Time, whole bool) (skipped int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if whole {
		b.whole++
		if b.whole%sampleEvery != 1 {
			return 0, false
		}
	}
	b.tokens = min(linesPerSecond, b.tokens+linesPerSecond*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.tokens < 1 {
		b.skipped++
		return 0, false
	}
	b.tokens--
	skipped, b.skipped = b.skipped, 0
	return skipped, true
}

// note counts an answer and writes its line.
func (r *Relay) note(request *Request, answer *Answer) {
	now := time.Now()
	took := now.Sub(request.Received)
	r.Metrics.answered(answer, took)
	whole := len(answer.Omitted) == 0 && (answer.Outcome == Answered || answer.Outcome == Merged)
	skipped, ok := r.lines.take(now, whole)
	if !ok {
		return
	}
	name := ""
	if request.Route != nil {
		name = request.Route.Name
	}
	r.config.Log.Info("requestAnswered", "requestID", request.ID, "route", name, "host", request.Host,
		"configVersion", answer.ConfigVersion, "outcome", answer.Outcome.String(), "reason", string(answer.Reason),
		"run", answer.Run.String(), "parts", len(answer.Parts), "omitted", omissions(answer.Omitted),
		"attempts", answer.Attempts, "tookMs", took.Milliseconds(), "spentMs", request.spent.Milliseconds(),
		"leftMs", request.Deadline.Sub(now).Milliseconds(), "retryAfterMs", answer.RetryAfter.Milliseconds(),
		"linesSkipped", skipped)
}

func omissions(omitted []Omission) string {
	var b strings.Builder
	for i, o := range omitted {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s:%s", o.Service, o.Reason)
		if o.RetryDenied != "" {
			fmt.Fprintf(&b, "/%s", o.RetryDenied)
		}
	}
	return b.String()
}

// Metrics counts what a relay does.
type Metrics struct {
	answers *prometheus.CounterVec
	extras  *prometheus.CounterVec
	latency *prometheus.HistogramVec
	omitted *prometheus.CounterVec
}

func newMetrics() *Metrics {
	return &Metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzereach_relay_answers_total",
			Help: "Answers to callers by outcome and reason.",
		}, []string{"outcome", "reason"}),
		extras: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzereach_relay_extra_attempts_total",
			Help: "Attempts beyond the first by cause.",
		}, []string{"cause"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bronzereach_relay_answer_seconds",
			Help:    "Time from a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 13),
		}, []string{"outcome"}),
		omitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzereach_relay_omitted_shards_total",
			Help: "Shards left out of answers by reason.",
		}, []string{"reason"}),
	}
}

// Collectors returns the metrics to register.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.answers, m.extras, m.latency, m.omitted}
}

func (m *Metrics) answered(answer *Answer, took time.Duration) {
	m.answers.WithLabelValues(answer.Outcome.String(), string(answer.Reason)).Inc()
	m.latency.WithLabelValues(answer.Outcome.String()).Observe(took.Seconds())
	for _, o := range answer.Omitted {
		m.omitted.WithLabelValues(string(o.Reason)).Inc()
	}
}

func (m *Metrics) extra(cause string) {
	m.extras.WithLabelValues(cause).Inc()
}
