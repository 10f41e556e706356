// Package entry runs a node's part as the entry of callers' requests: it picks
// the snapshot, admits or refuses the whole request, scatters it over the
// gates, gathers, merges and answers.
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
	"github.com/bronzereach/bronzereach/pkg/query"
	"github.com/bronzereach/bronzereach/pkg/snapshot"
)

// Config describes a node's entry.
type Config struct {
	VM          string
	Incarnation uint64
	Recorder    *timeline.Recorder
	Network     *peer.Network
	Gates       *gate.Gates
	Claims      *claim.Claims
	// View returns what the control thread published last; never nil.
	View func() *View
	// Serve does a batch on this node.
	Serve func(ctx context.Context, batch *wire.Batch, send func(*wire.SubReply))
	// Lost tells the control thread that a member failed under a call.
	ReportFailure func(vm string)
	// Direct is true in the baseline mode.
	Direct bool
}

// Entry serves callers.
type Entry struct {
	config  Config
	reports *reports
	issuer  *claim.Issuer
	runs    *claim.Runs
	// inProgress counts the requests of callers that are not answered yet.
	inProgress atomic.Int64
	// Metrics counts the answers.
	Metrics Metrics
}

// New returns an entry.
func New(config Config) *Entry {
	return &Entry{
		config:  config,
		reports: newReports(),
		issuer:  claim.NewIssuer(config.VM, config.Incarnation),
		runs:    claim.NewRuns(),
		Metrics: newMetrics(),
	}
}

// InProgress returns the number of requests not answered yet.
func (e *Entry) InProgress() int64 {
	return e.inProgress.Load()
}

// Tick runs the periodic systems.
func (e *Entry) Tick(now time.Time) {
	e.runs.Tick(now)
}

// Learn takes over a report that came by another way than a reply.
func (e *Entry) AddReport(report *wire.Report) {
	e.reports.learn(report)
}

func (e *Entry) record(name timeline.Name, requestID, detail string) {
	e.config.Recorder.Record(timeline.Event{Name: name, RequestID: requestID, Detail: detail})
}

// drop counts a reply that does not belong where it arrived.
func (e *Entry) drop(requestID, detail string) {
	e.Metrics.dropped.Inc()
	e.record(timeline.ReplyDropped, requestID, detail)
}

// refusal is why a request does not run.
type refusal struct {
	code    answer.Code
	message string
	// retry is true if the same request may succeed later.
	retry      bool
	retryAfter time.Duration
}

// Answer does one request from its receipt to its answer.
func (e *Entry) Answer(ctx context.Context, request query.Request) *answer.Answer {
	received := time.Now()
	e.inProgress.Add(1)
	defer e.inProgress.Add(-1)
	id := uuid.NewString()
	view := e.config.View()
	a := e.decide(ctx, view, request, id, received)
	a.Node = e.config.VM
	a.Times.TookMicros = time.Since(received).Microseconds()
	e.Metrics.count(view, request.Kind, a)
	return a
}

// decide refuses the request or runs it in the way that its kind needs.
func (e *Entry) decide(ctx context.Context, view *View, request query.Request, id string, received time.Time) *answer.Answer {
	if view.Document == nil {
		return e.refuse(view, request, id, received, refusal{answer.CodeNotConfigured, "this node has no configuration yet", true, time.Second})
	}
	e.reports.use(view.Document)
	kind, found := view.Document.Kind(request.Kind)
	if !found {
		return e.refuse(view, request, id, received, refusal{code: answer.CodeNoSuchKind, message: "the document has no such kind of work"})
	}
	e.record(timeline.RequestReceived, id, kind.Name)
	if !kind.Repeat {
		return e.once(ctx, view, kind, request, id, received)
	}
	return e.run(ctx, view, kind, request, id, received)
}

// run admits the request, scatters it and builds the answer.
func (e *Entry) run(ctx context.Context, view *View, kind document.Kind, request query.Request, id string, received time.Time) *answer.Answer {
	weight, ok := e.reports.admit(kind, request.Caller, id, received, len(view.Members))
	if !ok && !e.config.Direct {
		return e.refuse(view, request, id, received, refusal{answer.CodeOverloaded, "there is more work of this rank than the upstreams can take", true, time.Second})
	}
	s := e.newScatter(request, kind, id, weight, received)
	if code := s.do(ctx); code != "" {
		return e.refuse(view, request, id, received, refusal{code, "no version of the index is known yet", true, resendPause})
	}
	a := e.assemble(view, s)
	e.record(timeline.RequestAnswered, id, string(a.Status))
	return a
}

// refuse builds the answer to a request that did not run.
func (e *Entry) refuse(view *View, request query.Request, id string, received time.Time, why refusal) *answer.Answer {
	e.record(timeline.RequestRefused, id, string(why.code))
	a := e.blank(view, request, id, received)
	a.Status = answer.NotRun
	a.Error = &answer.Error{
		Code:             why.code,
		Message:          why.message,
		Retry:            why.retry,
		RetryAfterMillis: why.retryAfter.Milliseconds(),
	}
	return a
}

func (e *Entry) blank(view *View, request query.Request, id string, received time.Time) *answer.Answer {
	now := time.Now()
	return &answer.Answer{
		RequestID: id,
		Kind:      request.Kind,
		Config: answer.Config{
			Version:            view.ConfigVersion,
			Current:            view.Current(now),
			ConfirmedMillisAgo: now.Sub(view.ConfigConfirmedAt).Milliseconds(),
		},
		Coverage: answer.Cover(nil, nil),
		Records:  []query.Text{},
		Times:    answer.Times{ReceivedMicros: received.UnixMicro()},
	}
}

// assemble merges the parts of an ended scatter into its answer.
func (e *Entry) assemble(view *View, s *scatter) *answer.Answer {
	a := e.blank(view, s.request, s.id, s.received)
	a.Snapshot = answer.Snapshot{Index: s.kind.Index, Version: s.choice.Version}
	a.Times.Restarts = s.restarts
	included, omitted, parts := s.split()
	a.Coverage = answer.Cover(included, omitted)
	merged := answer.Merge(s.kind.Merge, s.kind.Best, parts)
	a.Records, a.Sums = merged.Records, merged.Sums
	a.Status = s.status()
	a.Error = s.shortfall(a)
	return a
}

// split orders the outcomes by the shards of the snapshot.
func (s *scatter) split() (included []answer.Included, omitted []answer.Omission, parts []answer.Part) {
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
		included = append(included, includedOf(shard, p))
		parts = append(parts, partOf(p.reply))
	}
	for _, service := range s.missing {
		omitted = append(omitted, answer.Omission{Shard: service, Reason: answer.CodeNoSnapshot})
	}
	return included, omitted, parts
}

func includedOf(shard snapshot.Shard, p part) answer.Included {
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

func partOf(reply *wire.SubReply) answer.Part {
	p := answer.Part{Scores: reply.GetScores(), Records: make([]query.Text, len(reply.GetRecords()))}
	for i, record := range reply.GetRecords() {
		p.Records[i] = record
	}
	for _, sum := range reply.GetSums() {
		p.Sums = append(p.Sums, answer.Sum{Name: sum.GetName(), Value: sum.GetValue()})
	}
	return p
}

func (s *scatter) status() answer.Status {
	switch {
	case len(s.parts) > 0 && s.kind.Repeat:
		return answer.Ran
	case len(s.parts) > 0:
		return answer.RanOnce
	case s.mayHaveRun:
		return answer.Unknown
	default:
		return answer.NotRun
	}
}

// shortfall is the error of an answer that falls short of the kind's minimum.
func (s *scatter) shortfall(a *answer.Answer) *answer.Error {
	if len(s.parts) > 0 && a.Coverage.Fraction >= s.kind.MinimumCoverage {
		return nil
	}
	code := answer.CodeLowCoverage
	if len(s.parts) == 0 && len(a.Coverage.Omitted) > 0 {
		code = a.Coverage.Omitted[0].Reason
	}
	safe := s.kind.Repeat || a.Status == answer.NotRun
	return &answer.Error{
		Code:    code,
		Message: "the answer covers less of the index than its kind of work asks for",
		Retry:   safe,
	}
}

// hashOf identifies what was asked for under a key.
func hashOf(request query.Request) uint64 {
	return xxhash.Sum64String(request.Kind + "\x00" + string(request.Query))
}

// statusOf maps an answer to its HTTP status.
func statusOf(a *answer.Answer) int {
	if a.Error == nil {
		return http.StatusOK
	}
	switch a.Error.Code {
	case answer.CodeInvalid, answer.CodeKeyMissing:
		return http.StatusBadRequest
	case answer.CodeNoSuchKind:
		return http.StatusNotFound
	case answer.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case answer.CodeInProgress, answer.CodeKeyReused:
		return http.StatusConflict
	case answer.CodeTicketUnknown, answer.CodeIssuerGone:
		return http.StatusGone
	case answer.CodeOverloaded, answer.CodeNotConfigured, answer.CodeStoreDown, answer.CodeNoSnapshot:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}
