// Package upstream defines the HTTP protocol between a gate and an upstream.
// docs/UPSTREAM.md describes it for owners of upstreams.
package upstream

import (
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

// MaximumReply is the largest reply body a gate reads, in bytes.
const MaximumReplyBytes = 192 << 20

// Request is the body of a query.
type Request struct {
	RequestID string `json:"requestId"`
	// Attempt is unique among all attempts of all requests.
	Attempt string `json:"attempt"`
	Kind    string `json:"kind"`
	Index   string `json:"index,omitempty"`
	// Shard names the service.
	Shard string `json:"shard"`
	// Version is the index version to read; 0 for a pool.
	Version uint64 `json:"version,omitempty"`
	// RemainingMillis is the time left until the deadline. The upstream may
	// stop work that can't end by then.
	RemainingMillis int64      `json:"remainingMillis"`
	Query           query.Text `json:"query"`
}

// Outcome is what an upstream says of a request.
type Outcome string

// The outcomes.
const (
	// Done means that the work ran and the reply carries its result.
	Done Outcome = "done"
	// Shed means that the upstream did not run the work for lack of room.
	Shed Outcome = "shed"
	// Leaving means that the upstream did not run the work because it leaves.
	Leaving Outcome = "leaving"
	// VersionGone means that the upstream did not run the work because it does
	// not hold the version.
	VersionGone Outcome = "versionGone"
	// Expired means that the upstream did not run the work because its
	// deadline had passed.
	Expired Outcome = "expired"
)

// Sum is one named total of a reply.
type Sum struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Reply is the body of an answer to a query. All outcomes but Done state that
// the work did not run.
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
	// Load is the upstream's own view of its load, a hint.
	Load *Load `json:"load,omitempty"`
	// End must equal the number of records. It is the last member, so that a
	// body without it is not whole.
	End *int `json:"end"`
}

// Load is an upstream's own view of its load.
type Load struct {
	InFlight int  `json:"inFlight"`
	Queued   int  `json:"queued"`
	Leaving  bool `json:"leaving,omitempty"`
}

// Version tells which keys an upstream holds in one version of its index.
type Version struct {
	Number uint64           `json:"number"`
	Ranges []snapshot.Range `json:"ranges"`
}

// State is what an upstream says of itself. It is a hint but for Versions and
// a Leaving that is true.
type State struct {
	Index string `json:"index,omitempty"`
	// Incarnation changes with every start of the upstream.
	Incarnation string    `json:"incarnation"`
	Versions    []Version `json:"versions,omitempty"`
	Healthy     bool      `json:"healthy"`
	Load        Load      `json:"load"`
}
