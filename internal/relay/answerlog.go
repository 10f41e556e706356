package relay

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// logLinesPerSecond bounds the rate of log lines about answers.
	logLinesPerSecond = 20
	// sampleEvery is the sampling interval of complete answers: one in this many
	// is logged.
	sampleEvery = 64
)

// logRateLimiter limits the rate of log lines and counts those that were skipped.
type logRateLimiter struct {
	mu       sync.Mutex
	tokens   float64
	refilled time.Time
	skipped  int
	// complete counts complete answers, for sampling.
	complete int
	// unsampled is true if complete answers are not sampled.
	unsampled bool
}

// logAll ends the sampling of complete answers.
func (l *logRateLimiter) logAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsampled = true
}

// allow reports whether a line may be written, and how many were skipped since
// the last one. Of complete answers it only allows a sample, unless unsampled is set.
func (l *logRateLimiter) allow(now time.Time, complete bool) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if complete && !l.unsampled {
		l.complete++
		if l.complete%sampleEvery != 1 {
			return 0, false
		}
	}
	l.tokens = min(logLinesPerSecond, l.tokens+logLinesPerSecond*now.Sub(l.refilled).Seconds())
	l.refilled = now
	if l.tokens < 1 {
		l.skipped++
		return 0, false
	}
	l.tokens--
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}

// recordAnswer updates the metrics for an answer and logs it if the rate limit allows.
func (r *Relay) recordAnswer(request *Request, answer *Answer) {
	now := time.Now()
	elapsed := now.Sub(request.Received)
	r.Metrics.countAnswer(answer, elapsed)
	complete := len(answer.Omitted) == 0 && (answer.Outcome == Answered || answer.Outcome == Merged)
	skipped, ok := r.logLimiter.allow(now, complete)
	if !ok {
		return
	}
	name := ""
	if request.Route != nil {
		name = request.Route.Name
	}
	r.config.Log.Info("requestAnswered", "requestID", request.ID, "route", name, "host", request.Host, "team", request.teamName(),
		"configVersion", answer.ConfigVersion, "outcome", answer.Outcome.String(), "reason", string(answer.Reason),
		"run", answer.Run.String(), "parts", len(answer.Parts), "omitted", formatOmissions(answer.Omitted),
		"attempts", answer.Attempts, "tookMs", elapsed.Milliseconds(), "spentMs", request.timeSpent.Milliseconds(),
		"leftMs", request.Deadline.Sub(now).Milliseconds(), "retryAfterMs", answer.RetryAfter.Milliseconds(),
		"linesSkipped", skipped)
}

// RecordUndelivered logs that an answer could not be written to its caller.
func (r *Relay) RecordUndelivered(request *Request, answer *Answer, err error) {
	r.Metrics.undelivered.Inc()
	skipped, ok := r.logLimiter.allow(time.Now(), false)
	if !ok {
		return
	}
	r.config.Log.Info("answerNotWritten", "requestID", request.ID, "outcome", answer.Outcome.String(),
		"run", answer.Run.String(), "tookMs", time.Since(request.Received).Milliseconds(),
		"error", err.Error(), "linesSkipped", skipped)
}

func formatOmissions(omitted []Omission) string {
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

// Metrics holds a relay's Prometheus metrics.
type Metrics struct {
	answers  *prometheus.CounterVec
	attempts *prometheus.CounterVec
	// rateLimited counts the attempts at upstreams that have named a rate limit.
	rateLimited *prometheus.CounterVec
	bytes       *prometheus.CounterVec
	latency     *prometheus.HistogramVec
	omitted     *prometheus.CounterVec
	undelivered prometheus.Counter
	// unused counts the upstreams that get nothing, by cause.
	unused *prometheus.GaugeVec
	// forecastRefusals counts requests refused as their turn would come too late, by whose
	// waiters were ahead.
	forecastRefusals *prometheus.CounterVec
}

func newMetrics() *Metrics {
	return &Metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzereach_relay_answers_total",
			Help: "Answers to callers by outcome and reason.",
		}, []string{"outcome", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzereach_relay_attempts_total",
			Help: "Attempts at upstreams by cause and by whether they leave the availability zone.",
		}, []string{"cause", "zone"}),
		rateLimited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzereach_relay_rate_limited_attempts_total",
			Help: "Attempts at upstreams that have named a rate limit, by cause.",
		}, []string{"cause"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzereach_relay_upstream_bytes_total",
			Help: "Bytes sent to and received from upstreams, by whether they leave the availability zone.",
		}, []string{"zone"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bronzereach_relay_answer_seconds",
			Help:    "Time from a request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 13),
		}, []string{"outcome"}),
		omitted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzereach_relay_omitted_shards_total",
			Help: "Shards left out of answers by reason.",
		}, []string{"reason"}),
		undelivered: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bronzereach_relay_undelivered_answers_total",
			Help: "Answers that could not be written to their callers.",
		}),
		unused: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bronzereach_relay_unused_upstreams",
			Help: "Registered upstreams that get no attempts of this node, by cause.",
		}, []string{"cause"}),
		forecastRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzereach_relay_forecast_refusals_total",
			Help: "Requests refused because their turn would come too late, by whose waiters were ahead.",
		}, []string{"reason"}),
	}
}

// Collectors returns the collectors to register.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.answers, m.attempts, m.rateLimited, m.bytes, m.latency, m.omitted, m.undelivered, m.unused, m.forecastRefusals}
}

func (m *Metrics) countAnswer(answer *Answer, elapsed time.Duration) {
	m.answers.WithLabelValues(answer.Outcome.String(), string(answer.Reason)).Inc()
	m.latency.WithLabelValues(answer.Outcome.String()).Observe(elapsed.Seconds())
	for _, o := range answer.Omitted {
		m.omitted.WithLabelValues(string(o.Reason)).Inc()
	}
}

func (m *Metrics) countAttempt(cause string, crossesZones bool) {
	m.attempts.WithLabelValues(cause, zoneLabel(crossesZones)).Inc()
}

func (m *Metrics) countRateLimitedAttempt(cause string) {
	m.rateLimited.WithLabelValues(cause).Inc()
}

// setUnused sets the number of upstreams that are leaving and that back off.
func (m *Metrics) setUnused(leaving, backingOff int) {
	m.unused.WithLabelValues("leaving").Set(float64(leaving))
	m.unused.WithLabelValues("backingOff").Set(float64(backingOff))
}

// upstreamBytes returns the counter of the bytes of connections to upstreams.
func (m *Metrics) upstreamBytes(crossesZones bool) byteCounter {
	return m.bytes.WithLabelValues(zoneLabel(crossesZones))
}

func zoneLabel(crossesZones bool) string {
	if crossesZones {
		return "other"
	}
	return "own"
}
