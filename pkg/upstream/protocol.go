// Package upstream defines the HTTP protocol between a gate and an upstream,
// and keeps the registry of upstreams. docs/UPSTREAM.md describes the protocol
// for developers of upstreams.
package upstream

import (
	"time"

	"github.com/bronzereach/bronzereach/pkg/query"
	"github.com/bronzereach/bronzereach/pkg/snapshot"
)

// Paths that an upstream serves.
const (
	// QueryPath takes a POST of a Request.
	QueryPath = "/bronzereach/v1/query"
	// StatePath answers a GET with a State.
	StatePath = "/bronzereach/v1/state"
)

// MaximumHeadBytes is the largest head of a reply that a gate reads, in bytes.
const MaximumHeadBytes = 64 << 10

// MaximumReplyBytes is the largest reply body a gate reads, in bytes.
const MaximumReplyBytes = 192 << 20

// Request is the JSON body of a query.
type Request struct {
	RequestID string `json:"requestId"`
	// Attempt identifies this attempt; it is unique among all attempts of all
	// requests.
	Attempt string `json:"attempt"`
	Kind    string `json:"kind"`
	Index   string `json:"index,omitempty"`
	// Shard is the name of the service.
	Shard string `json:"shard"`
	// Version is the version of the index to read; 0 for a pool.
	Version uint64 `json:"version,omitempty"`
	// RemainingMillis is the time until the deadline, in milliseconds. The
	// upstream may stop work that can't finish by then.
	RemainingMillis int64      `json:"remainingMillis"`
	Query           query.Text `json:"query"`
}

// Outcome tells what an upstream did with a request.
type Outcome string

// The outcomes.
const (
	// Done means that the work ran and that the reply contains its result.
	Done Outcome = "done"
	// Shed means that the upstream rejected the work because it was overloaded.
	Shed Outcome = "shed"
	// Leaving means that the upstream rejected the work because it is shutting
	// down.
	Leaving Outcome = "leaving"
	// VersionGone means that the upstream rejected the work because it does not
	// hold the version.
	VersionGone Outcome = "versionGone"
	// Expired means that the upstream rejected the work because its deadline had
	// passed.
	Expired Outcome = "expired"
)

// Sum is a named total.
type Sum struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Reply is the JSON body of the reply to a query. Every outcome other than Done
// guarantees that the work did not run.
type Reply struct {
	RequestID string      `json:"requestId"`
	Attempt   string      `json:"attempt"`
	Shard     string      `json:"shard"`
	Version   uint64      `json:"version,omitempty"`
	Outcome   Outcome     `json:"outcome"`
	Records   query.Texts `json:"records,omitempty"`
	// Scores is empty or as long as Records.
	Scores []float64 `json:"scores,omitempty"`
	Sums   []Sum     `json:"sums,omitempty"`
	// Load is the load that the upstream reports. It is only a hint, except for Leaving
	// and, with outcome Shed, for RetryAfter.
	Load *Load `json:"load,omitempty"`
	// End must equal the number of records. It is the last member of the JSON
	// object, so that a truncated body is detected by its absence.
	End *int `json:"end"`
}

// Load is the load that an upstream reports.
type Load struct {
	InFlight int  `json:"inFlight"`
	Queued   int  `json:"queued"`
	Leaving  bool `json:"leaving,omitempty"`
	// RetryAfter is how long the upstream wants no requests of the node, from the
	// receipt of a reply with outcome Shed or of a state.
	RetryAfter RetryAfter `json:"retryAfterMillis,omitempty"`
}

// Version lists the key ranges that an upstream holds in one version of its
// index.
type Version struct {
	Number uint64           `json:"number"`
	Ranges []snapshot.Range `json:"ranges"`
}

// State is the state that an upstream reports. It is only a hint, except for
// Versions, for Load.Leaving if true and for Load.RetryAfter, which are binding.
type State struct {
	Index string `json:"index,omitempty"`
	// Incarnation identifies the process; it changes with every start.
	Incarnation string `json:"incarnation"`
	// UptimeMicros is how long the process has been running, in microseconds; nil if the
	// upstream doesn't say so.
	UptimeMicros *int64    `json:"uptimeMicros,omitempty"`
	Versions     []Version `json:"versions,omitempty"`
	Healthy      bool      `json:"healthy"`
	Load         Load      `json:"load"`
}

// maxUptime bounds the uptime that is believed.
const maxUptime = 100 * 365 * 24 * time.Hour

// StartedNotBefore returns a time before which the process did not start, for a state that was
// asked for at the given time; known is false if the state doesn't tell.
func (s State) StartedNotBefore(askedAt time.Time) (start time.Time, known bool) {
	if s.UptimeMicros == nil || *s.UptimeMicros < 0 || *s.UptimeMicros > maxUptime.Microseconds() {
		return time.Time{}, false
	}
	// The number is rounded down.
	return askedAt.Add(-time.Duration(*s.UptimeMicros+1) * time.Microsecond), true
}
