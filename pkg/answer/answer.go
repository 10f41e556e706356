// Package answer defines what a caller receives: the records, the truth about
// them, and how they came about.
package answer

import (
	"github.com/bronzereach/bronzereach/pkg/query"
	"github.com/bronzereach/bronzereach/pkg/snapshot"
)

// Status says whether a request ran.
type Status string

// The run statuses.
const (
	// Ran means that upstreams did the work, for a request that may be repeated.
	Ran Status = "ran"
	// RanOnce means that exactly one upstream did the work, exactly once.
	RanOnce Status = "ranOnce"
	// NotRun means that no upstream did or will do the work.
	NotRun Status = "notRun"
	// Unknown means that the work may or may not have been done.
	Unknown Status = "unknown"
)

// Code is the machine-readable reason of an error or an omission.
type Code string

// The codes. Codes of omissions are also the reasons of sub-replies.
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
	CodeInternal       Code = "internal"
)

// Answer is the one document a caller receives for a request.
type Answer struct {
	RequestID string `json:"requestId"`
	Kind      string `json:"kind"`
	Status    Status `json:"status"`
	// Snapshot is the one index version that every record comes from.
	Snapshot Snapshot `json:"snapshot"`
	Config   Config   `json:"config"`
	Coverage Coverage `json:"coverage"`
	// Records holds the merged records; shards in order of their key ranges.
	Records query.Texts `json:"records"`
	// Sums holds the merged sums, by name, for the merge rule "sums".
	Sums []Sum `json:"sums,omitempty"`
	// Error says why there is no answer, or why it is not whole.
	Error *Error `json:"error,omitempty"`
	// Node and the times tell where and when the answer was made.
	Node  string `json:"node"`
	Times Times  `json:"times"`
}

// Snapshot names one version of one index.
type Snapshot struct {
	Index   string `json:"index"`
	Version uint64 `json:"version"`
}

// Config tells which configuration the answer was made under.
type Config struct {
	Version uint64 `json:"version"`
	// Current is false when the node has for some seconds heard neither the
	// store nor enough of its peers and cannot know that Version is the newest.
	Current bool `json:"current"`
	// ConfirmedMillisAgo is the time since Version was last confirmed.
	ConfirmedMillisAgo int64 `json:"confirmedMillisAgo"`
}

// Coverage tells which shards an answer includes and which it omits.
type Coverage struct {
	// Complete is true only if the included ranges tile the key space.
	Complete bool `json:"complete"`
	// Fraction is the share of the key space included, from 0 to 1.
	Fraction float64    `json:"fraction"`
	Included []Included `json:"included"`
	Omitted  []Omission `json:"omitted"`
}

// Included tells how one shard's part of an answer came about.
type Included struct {
	Shard    string           `json:"shard"`
	Ranges   []snapshot.Range `json:"ranges,omitempty"`
	Upstream string           `json:"upstream"`
	Gate     string           `json:"gate"`
	// Attempts counts the attempts started at upstreams, hedges included.
	Attempts     int   `json:"attempts"`
	Hedged       bool  `json:"hedged,omitempty"`
	QueuedMicros int64 `json:"queuedMicros"`
	ServedMicros int64 `json:"servedMicros"`
	Records      int   `json:"records"`
}

// Omission tells why one shard is not part of an answer.
type Omission struct {
	Shard  string           `json:"shard"`
	Ranges []snapshot.Range `json:"ranges,omitempty"`
	Reason Code             `json:"reason"`
}

// Sum is one named total.
type Sum struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Times tells when an answer was made.
type Times struct {
	// ReceivedMicros is the node's wall clock in microseconds since 1970.
	ReceivedMicros int64 `json:"receivedMicros"`
	// TookMicros is the time from receipt to answer.
	TookMicros int64 `json:"tookMicros"`
	// Restarts counts how often the snapshot was chosen again.
	Restarts int `json:"restarts,omitempty"`
}

// Error tells a caller why a request has no whole answer.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Retry is true when the same request may succeed later and repeating it
	// is safe.
	Retry bool `json:"retry"`
	// RetryAfterMillis is when to try again, in milliseconds; 0 for at once.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`
}

// Cover builds the coverage from what was included and omitted. Ranges of the
// included shards must not overlap; NewCoverage reports complete only if they
// tile the key space.
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
