// Package entry handles the requests of callers on the node that receives them.
// It admits or refuses a request as a whole, chooses the index snapshot to read,
// scatters the request to the gates of the shards, and merges their replies into
// one answer.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/bronzereach/bronzereach/internal/claim"
	"github.com/bronzereach/bronzereach/internal/gate"
	"github.com/bronzereach/bronzereach/internal/peer"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/query"
	"github.com/bronzereach/bronzereach/pkg/snapshot"
)

// Config configures the entry of a node.
type Config struct {
	VM string
	// Process identifies this process; tickets and claims name it.
	Process  uint64
	Recorder *timeline.Recorder
	Network  *peer.Network
	Gates    *gate.Gates
	Claims   *claim.Claims
	// View returns the view that the control goroutine published last, never nil.
	View func() *View
	// Serve executes a batch on this node and passes each reply to send. If the
	// batch names a lost gate that this node can reach, this node does not serve the
	// batch as its standby.
	Serve func(ctx context.Context, batch *wire.Batch, send func(*wire.SubReply))
	// ReportFailure tells the control goroutine that a call to a member failed.
	ReportFailure func(vm string)
	// Direct is true in direct mode, see gate.Direct.
	Direct bool
	// Memory bounds what requests and replies take; nil for no bound.
	Memory *memory.Account
	// OutcomeMemory bounds what the outcomes of requests that must not be repeated take; 0
	// for no bound.
	OutcomeMemory memory.Bytes
}

// Entry handles the requests of callers.
type Entry struct {
	config      Config
	reportTable *reportTable
	issuer      *claim.Issuer
	runs        *claim.RunTable
	// inProgress counts the requests that are not answered yet.
	inProgress atomic.Int64
	shutdown   *shutdown
	// Metrics holds the metrics of the answers.
	Metrics Metrics
}

// New returns an entry with empty tables.
func New(config Config) *Entry {
	return &Entry{
		config:      config,
		reportTable: newReportTable(),
		issuer:      claim.NewIssuer(config.VM, config.Process),
		runs:        claim.NewRunTable(config.OutcomeMemory),
		shutdown:    newShutdown(),
		Metrics:     newMetrics(),
	}
}

// InProgress returns the number of requests not answered yet.
func (e *Entry) InProgress() int64 {
	return e.inProgress.Load()
}

// OutcomeBytes returns the memory that the outcomes of requests that must not be repeated take.
func (e *Entry) OutcomeBytes() memory.Bytes {
	return e.runs.Held()
}

// Tick removes the outcomes of runs that are older than claim.Retention.
func (e *Entry) Tick(now time.Time) {
	e.runs.Tick(now)
}

// AddReport adds a report that did not arrive with a reply to a batch.
func (e *Entry) AddReport(report *wire.Report) {
	e.reportTable.add(report)
}

func (e *Entry) record(name timeline.Name, requestID, detail string) {
	e.config.Recorder.Record(timeline.Event{Name: name, RequestID: requestID, Detail: detail})
}

// countDropped counts and records a reply that is discarded. detail says what
// does not match: "request", "version" or "peer".
func (e *Entry) countDropped(requestID, detail string) {
	e.Metrics.dropped.Inc()
	e.record(timeline.ReplyDropped, requestID, detail)
}

// refusal says why a request is not run.
type refusal struct {
	code    answer.Code
	message string
	// retry is true if the same request may succeed later.
	retry      bool
	retryAfter time.Duration
}

// submission is a request as this node received it.
type submission struct {
	query.Request
	// id identifies the submission among all; empty if the request could not be read.
	id       string
	received time.Time
	// scope holds the memory of the replies until the answer is written; nil if the answer
	// is not written to a caller by this node.
	scope *memory.Scope
	// host is the address of the caller; empty if the scope is nil.
	host string
}

func newSubmission(request query.Request, scope *memory.Scope) submission {
	return submission{Request: request, id: uuid.NewString(), received: time.Now(), scope: scope}
}

// Answer handles one request. It always returns an answer.
func (e *Entry) Answer(ctx context.Context, request query.Request) *answer.Answer {
	return e.answer(ctx, newSubmission(request, nil))
}

// answer handles a submission. It always returns an answer.
func (e *Entry) answer(ctx context.Context, s submission) *answer.Answer {
	e.inProgress.Add(1)
	defer e.inProgress.Add(-1)
	ctx, cancel := e.shutdown.withEnding(ctx)
	defer cancel()
	view := e.config.View()
	a := e.dispatch(ctx, view, s)
	a.Node = e.config.VM
	a.Times.TookMicros = time.Since(s.received).Microseconds()
	e.Metrics.count(view, s.Kind, a)
	return a
}

// dispatch refuses the request if its kind is not known. Otherwise it runs it, by
// its request key if the kind must not be repeated.
func (e *Entry) dispatch(ctx context.Context, view *View, s submission) *answer.Answer {
	if view.Document == nil {
		return e.refuse(view, s, refusal{answer.CodeNotConfigured, "this node has no configuration yet", true, time.Second})
	}
	e.reportTable.setDocument(view.Document)
	kind, found := view.Document.Kind(s.Kind)
	if !found {
		return e.refuse(view, s, refusal{code: answer.CodeNoSuchKind, message: "the configuration does not define this kind of work"})
	}
	e.record(timeline.RequestReceived, s.id, kind.Name)
	if !kind.Repeatable {
		return e.executeKeyed(ctx, view, kind, s)
	}
	if e.shutdown.refuses(0) {
		return e.refuse(view, s, leavingRefusal)
	}
	return e.run(ctx, view, kind, s)
}

// run admits the request, scatters it and merges the answer.
func (e *Entry) run(ctx context.Context, view *View, kind document.Kind, s submission) *answer.Answer {
	weight, ok := e.reportTable.admit(kind, s.Caller, s.id, s.received, len(view.Members))
	if !ok && !e.config.Direct {
		return e.refuse(view, s, refusal{answer.CodeOverloaded, "the requests of this rank exceed the capacity of the upstreams", true, time.Second})
	}
	sc := e.newScatter(s, kind, weight)
	defer sc.settleLease()
	if code := sc.execute(ctx); code != "" {
		return e.refuse(view, s, refusal{code, "no version of the index is known yet", true, resendInterval})
	}
	a := e.mergeAnswer(view, sc)
	e.record(timeline.RequestAnswered, s.id, string(a.Status))
	return a
}

// timeLimit returns how long a request may take.
func timeLimit(request query.Request, kind document.Kind) time.Duration {
	if asked := time.Duration(request.DeadlineMillis) * time.Millisecond; asked > 0 {
		return min(kind.Deadline, asked)
	}
	return kind.Deadline
}

// refuse returns the answer to a request that was not run.
func (e *Entry) refuse(view *View, s submission, why refusal) *answer.Answer {
	e.record(timeline.RequestRefused, s.id, string(why.code))
	a := e.newAnswer(view, s)
	a.Status = answer.NotRun
	a.Error = &answer.Error{
		Code:             why.code,
		Message:          why.message,
		Retry:            why.retry,
		RetryAfterMillis: why.retryAfter.Milliseconds(),
	}
	return a
}

// newAnswer returns an answer without records and status.
func (e *Entry) newAnswer(view *View, s submission) *answer.Answer {
	now := time.Now()
	return &answer.Answer{
		RequestID: s.id,
		Kind:      s.Kind,
		Config: answer.Config{
			Version:            view.ConfigVersion,
			Current:            view.Current(now),
			ConfirmedMillisAgo: now.Sub(view.ConfigConfirmedAt).Milliseconds(),
		},
		Coverage: answer.NewCoverage(nil, nil),
		Records:  []query.Text{},
		Times:    answer.Times{ReceivedMicros: s.received.UnixMicro()},
	}
}

// mergeAnswer merges the replies of a finished scatter into the answer.
func (e *Entry) mergeAnswer(view *View, s *scatter) *answer.Answer {
	a := e.newAnswer(view, s.submission)
	a.Snapshot = answer.Snapshot{Index: s.kind.Index, Version: s.choice.Version}
	a.Times.Restarts = s.restarts
	included, omitted, parts := s.collectParts()
	a.Coverage = answer.NewCoverage(included, omitted)
	merged := answer.Merge(s.kind.Merge, s.kind.BestCount, parts)
	a.Records, a.Sums = merged.Records, merged.Sums
	a.Status = s.status()
	a.Error = s.coverageError(a)
	return a
}

// collectParts lists the included and omitted shards and the replies to merge, in
// the order of the shards in the snapshot.
func (s *scatter) collectParts() (included []answer.Included, omitted []answer.Omission, parts []answer.Part) {
	for _, shard := range s.choice.Shards {
		p, found := s.parts[shard.Service]
		if !found {
			omitted = append(omitted, answer.Omission{
				Shard:  shard.Service,
				Ranges: shard.Ranges,
				Reason: s.omitted[shard.Service],
			})
			continue
		}
		included = append(included, toIncluded(shard, p))
		parts = append(parts, toPart(p.reply))
	}
	for _, service := range s.missing {
		omitted = append(omitted, answer.Omission{Shard: service, Reason: answer.CodeNoSnapshot})
	}
	return included, omitted, parts
}

func toIncluded(shard snapshot.Shard, p includedShard) answer.Included {
	return answer.Included{
		Shard:        shard.Service,
		Ranges:       shard.Ranges,
		Upstream:     p.reply.GetUpstream(),
		Gate:         p.gate,
		Attempts:     int(p.reply.GetAttempts()),
		Hedged:       p.reply.GetHedged(),
		QueuedMicros: p.reply.GetQueuedMicros(),
		ServedMicros: p.reply.GetServedMicros(),
		Records:      len(p.reply.GetRecords()),
	}
}

func toPart(reply *wire.SubReply) answer.Part {
	p := answer.Part{Scores: reply.GetScores(), Records: make([]query.Text, len(reply.GetRecords()))}
	for i, record := range reply.GetRecords() {
		p.Records[i] = record
	}
	for _, sum := range reply.GetSums() {
		p.Sums = append(p.Sums, answer.Sum{Name: sum.GetName(), Value: sum.GetValue()})
	}
	return p
}

// status returns whether the request ran, as far as it is known.
func (s *scatter) status() answer.Status {
	switch {
	case len(s.parts) > 0 && s.kind.Repeatable:
		return answer.Ran
	case len(s.parts) > 0:
		return answer.RanOnce
	case s.mayHaveRun:
		return answer.Unknown
	default:
		return answer.NotRun
	}
}

// coverageError returns the error of an answer that covers less than the minimum
// of its kind, or nil.
func (s *scatter) coverageError(a *answer.Answer) *answer.Error {
	if len(s.parts) > 0 && a.Coverage.Fraction >= s.kind.MinimumCoverage {
		return nil
	}
	code := answer.CodeLowCoverage
	if len(s.parts) == 0 && len(a.Coverage.Omitted) > 0 {
		code = a.Coverage.Omitted[0].Reason
	}
	safe := s.kind.Repeatable || a.Status == answer.NotRun
	return &answer.Error{
		Code:    code,
		Message: "the answer covers less of the index than the minimum coverage of its kind of work",
		Retry:   safe,
	}
}

// requestHash returns a hash of the kind and query. It detects that a request key
// is used again for another request.
func requestHash(request query.Request) uint64 {
	return xxhash.Sum64String(request.Kind + "\x00" + string(request.Query))
}

// httpStatus returns the HTTP status of an answer. 503 says that the request has not run.
func httpStatus(a *answer.Answer) int {
	if a.Error == nil {
		return http.StatusOK
	}
	status := errorStatus(a.Error.Code)
	if status == http.StatusServiceUnavailable && a.Status != answer.NotRun {
		return http.StatusGatewayTimeout
	}
	return status
}

func errorStatus(code answer.Code) int {
	switch code {
	case answer.CodeInvalid, answer.CodeKeyMissing:
		return http.StatusBadRequest
	case answer.CodeNoSuchKind:
		return http.StatusNotFound
	case answer.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case answer.CodeInProgress, answer.CodeKeyReused:
		return http.StatusConflict
	case answer.CodeTicketUnknown, answer.CodeIssuerGone, answer.CodeAnswerGone:
		return http.StatusGone
	case answer.CodeOverloaded, answer.CodeNotConfigured, answer.CodeStoreDown, answer.CodeNoSnapshot, answer.CodeLeaving, answer.CodeNoMemory:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}
