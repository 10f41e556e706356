package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzereach/bronzereach/pkg/answer"
)

// Metrics holds the Prometheus metrics of an entry. The label values come from the
// document and from fixed lists, so their number is bounded.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	coverage *prometheus.HistogramVec
	dropped  prometheus.Counter
}

// unknownLabel is the label value for a kind or rank that the document does not
// define.
const unknownLabel = "unknown"

func newMetrics() Metrics {
	return Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bronzereach_requests_total",
			Help: "Requests answered, by kind of work, rank, run status and error code.",
		}, []string{"kind", "rank", "status", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bronzereach_request_seconds",
			Help:    "Time from receipt to answer of requests that ran.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.6, 22),
		}, []string{"rank"}),
		coverage: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bronzereach_coverage_fraction",
			Help:    "Share of the key space included in answers that ran.",
			Buckets: []float64{0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1},
		}, []string{"rank"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bronzereach_replies_dropped_total",
			Help: "Replies that belonged to another request or version and were not merged.",
		}),
	}
}

// Collectors returns the metrics for registration.
func (m Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.latency, m.coverage, m.dropped}
}

// count records one answer. Requests that did not run count in requests only.
func (m Metrics) count(view *View, kindName string, a *answer.Answer) {
	kind, rank := unknownLabel, unknownLabel
	if view.Document != nil {
		if k, found := view.Document.Kind(kindName); found {
			kind, rank = k.Name, view.Document.Ranks[k.Rank].Name
		}
	}
	code := ""
	if a.Error != nil {
		code = string(a.Error.Code)
	}
	m.requests.WithLabelValues(kind, rank, string(a.Status), code).Inc()
	if a.Status == answer.NotRun {
		return
	}
	m.latency.WithLabelValues(rank).Observe(time.Duration(a.Times.TookMicros * int64(time.Microsecond)).Seconds())
	m.coverage.WithLabelValues(rank).Observe(a.Coverage.Fraction)
}
