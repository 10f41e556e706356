package relay

import (
	"bufio"
	"net/http"
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// Request is a caller's request, read whole.
type Request struct {
	// ID is as the caller sent it and goes to upstreams unchanged.
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them; Path is its path.
	Target string
	Path   string
	// Header holds what goes to upstreams besides what the protocol sets.
	Header   http.Header
	Body     []byte
	Received time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Unbounded is true if the caller stated no deadline.
	NoDeadline bool
	// Route, prepared and spent are set by the relay. Spent is how much of the
	// objective the caller had used before the request arrived.
	Route    *route.Route
	prepared PreparedRequest
	spent    time.Duration
}

// Prepared is a request as it goes to upstreams, but for what differs between
// attempts, which stands between the two parts.
type PreparedRequest struct {
	Head []byte
	Tail []byte
}

// limit returns when the request must have its answer.
func (r *Request) limit() time.Time {
	limit := r.Deadline
	if r.Route.Timeout > 0 {
		if timeout := r.Received.Add(r.Route.Timeout); timeout.Before(limit) {
			limit = timeout
		}
	}
	return limit
}

// RunStatus tells whether an upstream ran an attempt.
type RunStatus uint8

// The run statuses.
const (
	// Unknown means that the upstream may have run it.
	MayHaveRun RunStatus = iota
	// NotRun means that the upstream has not run it and never will.
	NotRun
	// Ran means that the upstream ran it.
	Ran
)

// String returns the status's name.
func (s RunStatus) String() string {
	return [...]string{"unknown", "notRun", "ran"}[s]
}

// Reply is a whole reply of an upstream, as the protocol understands it.
type Reply struct {
	Run RunStatus
	// Valid is false for bytes that are no reply to the request.
	Valid bool
	// Success is true if the reply carries a result.
	Success bool
	// Misdirected is true if another upstream answers at the address.
	Misdirected bool
	Status      int
	Header      http.Header
	Body        []byte
	// Signature proves which upstream made the reply.
	Signature string
	// Idle is how long the upstream keeps the connection open; 0 if it closes
	// it, or if the connection holds bytes that belong to no reply.
	IdleTimeout time.Duration
}

// Protocol is what upstreams speak.
type Protocol interface {
	// Prepare renders what all attempts of a request have in common. An error
	// means that the request can't be sent to anyone.
	Prepare(request *Request) (PreparedRequest, error)
	// WriteRequest writes an attempt, which the upstream may work on for the
	// given time.
	WriteRequest(w *bufio.Writer, prepared PreparedRequest, to upstream.Registration, left time.Duration) error
	// ReadReply reads a reply to the request. An error means that no whole
	// reply came.
	ReadReply(r *bufio.Reader, request *Request) (*Reply, error)
}

// Outcome tells how a request ended.
type Outcome uint8

// The outcomes.
const (
	// Answered means that Reply is the answer of one upstream.
	Answered Outcome = iota
	// Merged means that Records and Parts are the answer.
	Merged
	// Refused means that the request has not run and never will.
	Refused
	// Malformed means that the request can't be sent to upstreams.
	Malformed
	// NoRoute means that the configuration has no route for the request.
	NoRoute
	// Failed means that upstreams were asked and none gave an answer.
	Failed
	// TimedOut means that time ran out before there was an answer.
	TimedOut
	// Left means that the caller went away.
	CallerDisconnected
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"answered", "merged", "refused", "malformed", "noRoute", "failed", "timedOut", "left"}[o]
}

// Reason says in a word why a request or a shard went without an answer.
type Reason string

// The reasons.
const (
	ReasonNoConfig   Reason = "noConfig"
	ReasonNoRoute    Reason = "noRoute"
	ReasonMalformed  Reason = "malformed"
	ReasonNoUpstream Reason = "noUpstream"
	ReasonNoRoom     Reason = "noRoom"
	ReasonNoBudget   Reason = "noBudget"
	ReasonShed       Reason = "shed"
	ReasonUnreached  Reason = "unreached"
	ReasonBroken     Reason = "broken"
	ReasonInvalid    Reason = "invalidReply"
	ReasonFailure    Reason = "failureReply"
	ReasonStraggler  Reason = "straggler"
	ReasonDeadline   Reason = "deadline"
)

// Part is one shard's share of a merged answer.
type Part struct {
	Service   string
	Signature string
}

// Omission is a shard that an answer leaves out.
type Omission struct {
	Service string
	Reason  Reason
	// Denied is why the shard got no further attempt; empty if it was not
	// refused one.
	RetryDenied Reason
}

// Answer is what a caller gets.
type Answer struct {
	Outcome Outcome
	Reason  Reason
	// Run tells whether the request ran at any upstream.
	Run RunStatus
	// Reply is the upstream's if Outcome is Answered.
	Reply *Reply
	// Records, Parts and Omitted belong to a merged answer.
	Records []byte
	Parts   []Part
	Omitted []Omission
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	// ConfigVersion is the version of the table that the request was served by.
	ConfigVersion uint64
	// Attempts is the number of attempts at upstreams.
	Attempts int
}

func refusal(reason Reason, retryAfter time.Duration) *Answer {
	return &Answer{Outcome: Refused, Reason: reason, Run: NotRun, RetryAfter: retryAfter}
}
