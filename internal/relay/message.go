package relay

import (
	"bufio"
	"net/http"
	"time"

	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/route"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// Request is a caller's request with its complete body.
type Request struct {
	// ID is the caller's request ID. It is sent to upstreams unchanged.
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them; Path is its path.
	Target string
	Path   string
	// Header holds the header fields that are sent to upstreams in addition to
	// those that the protocol sets.
	Header   http.Header
	Body     memory.Buffer
	Received time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// NoDeadline is true if the caller stated no deadline. Deadline is then set by
	// the relay.
	NoDeadline bool
	// Key is the key that the caller sent; empty if it sent none that may be valid. If the
	// table has teams it is a secret of the caller and must not leave the node.
	Key string
	// Team is the team that holds the key, set by the relay; nil if callers need none.
	Team *route.Team
	// Route, prepared and timeSpent are set by the relay. timeSpent is how much of
	// the objective the caller had spent before the request arrived.
	Route     *route.Route
	prepared  PreparedRequest
	timeSpent time.Duration
	// caller identifies the caller among all that memory is held for.
	caller string
	// lease holds the memory of the request itself, and scope that of all who work on it;
	// nil unless the request was admitted by a relay with an account of memory.
	lease *memory.Lease
	scope *memory.Scope
	// table is the routing table by which Route was chosen; nil if none was yet.
	table *route.Table
}

// PreparedRequest is the rendered part of a request that all its attempts share.
// What differs between attempts is written between Head and Tail.
type PreparedRequest struct {
	Head []byte
	Tail []byte
	Body memory.Buffer
}

// setDefaultDeadline sets the deadline of a caller that has stated none.
func (r *Request) setDefaultDeadline() {
	if r.Deadline.IsZero() {
		r.Deadline, r.NoDeadline = r.Received.Add(defaultDeadline), true
	}
}

// answerDeadline returns the earlier of the caller's deadline and the route's
// timeout.
func (r *Request) answerDeadline() time.Time {
	answerDeadline := r.Deadline
	if r.Route.Timeout > 0 {
		if timeout := r.Received.Add(r.Route.Timeout); timeout.Before(answerDeadline) {
			answerDeadline = timeout
		}
	}
	return answerDeadline
}

// Rank returns the priority of the request: that of its team, or else of its route. 0 is
// the most urgent.
func (r *Request) Rank() int {
	if r.Team != nil && r.Team.Ranked {
		return r.Team.Rank
	}
	return r.Route.Rank
}

// RunStatus tells whether an upstream ran an attempt or a request.
type RunStatus uint8

// The run statuses.
const (
	// MayHaveRun means that it is unknown whether the upstream ran it.
	MayHaveRun RunStatus = iota
	// NotRun means that the upstream has not run it and will not do so later.
	NotRun
	// Ran means that the upstream ran it.
	Ran
)

// String returns the status's name.
func (s RunStatus) String() string {
	return [...]string{"unknown", "notRun", "ran"}[s]
}

// Reply is a complete reply of an upstream as interpreted by the protocol.
type Reply struct {
	Run RunStatus
	// Valid is false if the bytes received are not a reply to the request.
	Valid bool
	// Success is true if the reply carries a result.
	Success bool
	// Misdirected is true if the address now belongs to another upstream.
	Misdirected bool
	Status      int
	Header      http.Header
	Body        memory.Buffer
	// Signature proves which upstream made the reply.
	Signature string
	// RateLimit is the limit that the upstream names; TellsRateLimit is false if the
	// reply does not tell whether there is one.
	RateLimit      replica.RateLimit
	TellsRateLimit bool
	// EndsWithConnection is true if only the end of the connection ended the body.
	// IdleTimeout is then 0.
	EndsWithConnection bool
	// IdleTimeout is how long the upstream keeps the idle connection open. It is 0
	// if the upstream closes the connection, or if the connection holds bytes
	// that belong to no reply.
	IdleTimeout time.Duration
}

// UpstreamState is what the head of a reply says of the upstream itself, whichever
// request the reply is to. It is passed by value.
type UpstreamState struct {
	// Status is the status of the reply.
	Status int
	// Leaving is true if the upstream shuts down and must get no new requests.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests of this node; 0 if it has
	// named no time.
	RetryAfter time.Duration
}

// Protocol encodes requests to upstreams and decodes their replies.
type Protocol interface {
	// Prepare renders what all attempts of a request share. It returns an error if
	// the request can't be sent to any upstream.
	Prepare(request *Request) (PreparedRequest, error)
	// WriteRequest writes an attempt. The upstream may work on it for timeLeft.
	WriteRequest(w *bufio.Writer, prepared PreparedRequest, to upstream.Registration, timeLeft time.Duration) error
	// ReadReply reads a reply to the request. It returns an error if the reply is
	// incomplete or too long. It reports what the reply's head says of the upstream
	// to r, also if the reply turns out to be incomplete, too long or not valid.
	ReadReply(r *ReplyReader, request *Request) (*Reply, error)
}

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	// Answered means that Reply is the answer, from a single upstream.
	Answered Outcome = iota
	// Merged means that Records and Parts are the answer, from several shards.
	Merged
	// Refused means that the request has not run and will not run later.
	Refused
	// Malformed means that the request can't be sent to upstreams.
	Malformed
	// NoRoute means that the configuration has no route for the request.
	NoRoute
	// Unauthorized means that the request has no key of a team and its route needs one.
	Unauthorized
	// Failed means that attempts were made and none gave an answer.
	Failed
	// TimedOut means that the deadline passed before there was an answer.
	TimedOut
	// CallerDisconnected means that the caller left before there was an answer.
	CallerDisconnected
	// OverQuota means that the team's quota is used up. The request has not run and will
	// not run later.
	OverQuota
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"answered", "merged", "refused", "malformed", "noRoute", "unauthorized", "failed", "timedOut", "left", "overQuota"}[o]
}

// Reason is a one-word reason why a request or a shard has no answer.
type Reason string

// The reasons.
const (
	ReasonNoConfig   Reason = "noConfig"
	ReasonNoRoute    Reason = "noRoute"
	ReasonUnknownKey Reason = "unknownKey"
	ReasonMalformed  Reason = "malformed"
	ReasonNoUpstream Reason = "noUpstream"
	ReasonBackingOff Reason = "backingOff"
	ReasonNoCapacity Reason = "noRoom"
	// ReasonOverloaded means that the turn of the request was forecast to come too late.
	ReasonOverloaded   Reason = "overloaded"
	ReasonNoBudget     Reason = "noBudget"
	ReasonRateLimited  Reason = "rateLimited"
	ReasonShed         Reason = "shed"
	ReasonUnreachable  Reason = "unreached"
	ReasonBrokenReply  Reason = "broken"
	ReasonInvalidReply Reason = "invalidReply"
	ReasonFailureReply Reason = "failureReply"
	ReasonStraggler    Reason = "straggler"
	ReasonDeadline     Reason = "deadline"
	ReasonLeaving      Reason = "leaving"
	ReasonOverQuota    Reason = "overQuota"
	ReasonQuotaUnknown Reason = "quotaUnknown"
	// ReasonNoMemory means that the memory was in use by others, ReasonOversized that an
	// upstream's replies took more than their share of it.
	ReasonNoMemory  Reason = "noMemory"
	ReasonOversized Reason = "oversized"
)

// Part identifies the reply of one shard in a merged answer.
type Part struct {
	Service   string
	Signature string
}

// Omission is a shard whose reply is missing from an answer.
type Omission struct {
	Service string
	Reason  Reason
	// RetryDenied is why the shard was refused a further attempt; empty if it was
	// not.
	RetryDenied Reason
}

// Answer is the result of a request.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	// Run tells whether any upstream ran the request.
	Run RunStatus
	// Reply is the upstream's reply if Outcome is Answered.
	Reply *Reply
	// Records holds the merged records, Parts the shards that they come from.
	// Omitted lists the shards without a reply.
	Records []byte
	Parts   []Part
	Omitted []Omission
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter time.Duration
	// ConfigVersion is the version of the routing table used; 0 if there was none.
	ConfigVersion uint64
	// Attempts is the number of attempts started.
	Attempts int
}

func refusal(reason Reason, retryAfter time.Duration) *Answer {
	return &Answer{Outcome: Refused, Reason: reason, Run: NotRun, RetryAfter: retryAfter}
}
