package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bronzereach/bronzereach/pkg/memory"
)

// memoryCauses are the causes for which bytes are denied, by their label.
var memoryCauses = map[string]error{"inUse": memory.ErrExhausted, "share": memory.ErrShare, "revoked": memory.ErrRevoked}

// memoryCollectors returns the metrics of an account of memory.
func memoryCollectors(account *memory.Account) []prometheus.Collector {
	collectors := []prometheus.Collector{prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bronzereach_memory_size_bytes",
		Help: "Memory that requests and replies may take together.",
	}, func() float64 { return float64(account.Size()) })}
	for _, kind := range memory.Kinds() {
		collectors = append(collectors, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "bronzereach_memory_held_bytes",
			Help:        "Memory that requests and replies take, by kind.",
			ConstLabels: prometheus.Labels{"kind": kind.String()},
		}, func() float64 { return float64(account.Held(kind)) }))
		for label, cause := range memoryCauses {
			collectors = append(collectors, prometheus.NewCounterFunc(prometheus.CounterOpts{
				Name:        "bronzereach_memory_denied_total",
				Help:        "Times that a request or a reply got no memory, by kind and cause.",
				ConstLabels: prometheus.Labels{"kind": kind.String(), "cause": label},
			}, func() float64 { return float64(account.Denied(kind, cause)) }))
		}
	}
	return collectors
}
