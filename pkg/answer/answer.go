// Package answer defines the answer that a caller receives: the records, their
// run status and coverage, and how they were obtained.
package answer

import (
	"github.com/bronzereach/bronzereach/pkg/query"
	"github.com/bronzereach/bronzereach/pkg/snapshot"
)

// Status is the run status of a request: whether its work was done.
type Status string

// The run statuses.
const (
	// Ran means that upstreams did the work of a request that may be repeated.
	Ran Status = "ran"
	// RanOnce means that exactly one upstream did the work, exactly once.
	RanOnce Status = "ranOnce"
	// NotRun means that no upstream has done or will do the work.
	NotRun Status = "notRun"
	// Unknown means that the work may or may not have been done.
	Unknown Status = "unknown"
)

// Code is the machine-readable reason for an error or an omission.
type Code string

// The codes. Those of omissions are also used as reasons in sub-replies.
const (
	CodeInvalid        Code = "invalid"
	CodeTooLarge       Code = "tooLarge"
	CodeNoSuchKind     Code = "noSuchKind"
	CodeKeyMissing     Code = "keyMissing"
	CodeKeyReused      Code = "keyReused"
	CodeTicketUnknown  Code = "ticketUnknown"
	CodeIssuerGone     Code = "issuerGone"
	CodeInProgress     Code = "inProgress"
	CodeStoreDown      Code = "storeDown"
	CodeNotConfigured  Code = "notConfigured"
	CodeOverloaded     Code = "overloaded"
	CodeNoSnapshot     Code = "noSnapshot"
	CodeLowCoverage    Code = "lowCoverage"
	CodeDeadline       Code = "deadlineExceeded"
	CodeAnswerBy       Code = "answerByReached"
	CodeCancelled      Code = "cancelled"
	CodeNoUpstream     Code = "noUpstream"
	CodeShed           Code = "upstreamShed"
	CodeUpstreamFailed Code = "upstreamFailed"
	CodeVersionGone    Code = "versionGone"
	CodeGateLost       Code = "gateLost"
	CodeNotGate        Code = "notGate"
	CodeTruncated      Code = "replyTruncated"
	CodeMismatch       Code = "replyMismatch"
	CodeLeaving        Code = "leaving"
	// CodeAnswerGone means that the request has run and its answer is no longer kept.
	CodeAnswerGone Code = "answerGone"
	// CodeNoMemory means that others held the memory for requests or replies.
	CodeNoMemory Code = "noMemory"
	CodeInternal Code = "internal"
)

// Answer is the JSON document that a caller receives for a request.
type Answer struct {
	RequestID string `json:"requestId"`
	Kind      string `json:"kind"`
	Status    Status `json:"status"`
	// Snapshot is the index version that all records come from.
	Snapshot Snapshot `json:"snapshot"`
	Config   Config   `json:"config"`
	Coverage Coverage `json:"coverage"`
	// Records holds the merged records, with shards in the order of their key
	// ranges.
	Records query.Texts `json:"records"`
	// Sums holds the merged sums, sorted by name, for the merge rule "sums".
	Sums []Sum `json:"sums,omitempty"`
	// Error is the reason why the answer is missing or incomplete.
	Error *Error `json:"error,omitempty"`
	// Node is the node that made the answer.
	Node  string `json:"node"`
	Times Times  `json:"times"`
}

// Snapshot identifies a version of an index.
type Snapshot struct {
	Index   string `json:"index"`
	Version uint64 `json:"version"`
}

// Config is the configuration under which an answer was made.
type Config struct {
	Version uint64 `json:"version"`
	// Current is false if for some seconds the node has heard neither from the
	// store nor from enough of its peers, and so can't know whether Version is
	// the newest.
	Current bool `json:"current"`
	// ConfirmedMillisAgo is the time since Version was last confirmed, in
	// milliseconds.
	ConfirmedMillisAgo int64 `json:"confirmedMillisAgo"`
}

// Coverage lists the shards that an answer includes and those it omits.
type Coverage struct {
	// Complete is true only if no shard is omitted and the included ranges cover
	// the key space without gaps.
	Complete bool `json:"complete"`
	// Fraction is the included fraction of the key space, from 0 to 1.
	Fraction float64    `json:"fraction"`
	Included []Included `json:"included"`
	Omitted  []Omission `json:"omitted"`
}

// Included describes how a shard's part of an answer was obtained.
type Included struct {
	Shard    string           `json:"shard"`
	Ranges   []snapshot.Range `json:"ranges,omitempty"`
	Upstream string           `json:"upstream"`
	Gate     string           `json:"gate"`
	// Attempts is the number of attempts started at upstreams, including hedges.
	Attempts     int   `json:"attempts"`
	Hedged       bool  `json:"hedged,omitempty"`
	QueuedMicros int64 `json:"queuedMicros"`
	ServedMicros int64 `json:"servedMicros"`
	Records      int   `json:"records"`
}

// Omission is a shard that an answer omits and the reason for it.
type Omission struct {
	Shard  string           `json:"shard"`
	Ranges []snapshot.Range `json:"ranges,omitempty"`
	Reason Code             `json:"reason"`
}

// Sum is a named total.
type Sum struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Times describes when a request was received and how long its answer took.
type Times struct {
	// ReceivedMicros is the time of receipt by the node's wall clock, in
	// microseconds since the Unix epoch.
	ReceivedMicros int64 `json:"receivedMicros"`
	// TookMicros is the time from receipt to answer, in microseconds.
	TookMicros int64 `json:"tookMicros"`
	// Restarts is the number of times that another snapshot was chosen.
	Restarts int `json:"restarts,omitempty"`
}

// Error is the reason why a request has no complete answer.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Retry is true if it is safe to repeat the same request and it may succeed
	// later.
	Retry bool `json:"retry"`
	// RetryAfterMillis is the delay before a retry, in milliseconds; 0 for an
	// immediate one.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

// NewCoverage returns the coverage of the included and omitted shards. The
// ranges of the included shards must not overlap. The coverage is complete only
// if they cover the key space without gaps and no shard is omitted.
func NewCoverage(included []Included, omitted []Omission) Coverage {
	ranges := make([]snapshot.Range, 0, len(included))
	for _, shard := range included {
		ranges = append(ranges, shard.Ranges...)
	}
	fraction, tiled := snapshot.MeasureCoverage(ranges)
	if included == nil {
		included = []Included{}
	}
	if omitted == nil {
		omitted = []Omission{}
	}
	return Coverage{
		Complete: tiled && len(omitted) == 0,
		Fraction: fraction,
		Included: included,
		Omitted:  omitted,
	}
}
