package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/query"
	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	// position is the upstream's index in the service definition.
	position int
	// reply is nil unless the attempt succeeded.
	reply    *wire.SubReply
	duration time.Duration
	// mayHaveRun is false if no byte can have reached the upstream, or if the
	// upstream replied that it did not run the request.
	mayHaveRun bool
	// reason is empty if the attempt succeeded.
	reason answer.Code
}

// attempt sends a sub-request to one upstream once.
type attempt struct {
	service    *service
	subRequest *subRequest
	position   int
	// incarnation is the process that was known at the address when the attempt started.
	incarnation string
	// number counts the attempts of the sub-request from 1.
	number    uint32
	startedAt time.Time
	// connected is set when the HTTP client has obtained a connection. From
	// then on bytes of the request may have been sent.
	connected atomic.Bool
	// lease holds the memory of the reply.
	lease *memory.Lease
}

// openLease opens the lease of the attempt's reply. The reply to a request that must not be
// repeated can't be had again.
func (a *attempt) openLease() {
	a.lease = a.service.gates.config.Memory.Open(memory.Holder{
		Kind: memory.Replies,
		Groups: []memory.Group{
			{Name: "upstream " + a.address(), Share: memory.UpstreamShare},
			{Name: "service " + a.service.definition.Name, Share: memory.ServiceShare},
		},
		Urgent:    a.subRequest.kind.Rank == 0,
		Essential: !a.subRequest.kind.Repeatable,
	})
}

// run executes the attempt and sends its result to the sub-request.
func (a *attempt) run(ctx context.Context) {
	defer a.subRequest.scope.Release()
	a.record(timeline.AttemptStarted, "")
	a.startedAt = time.Now()
	reply, err := a.exchange(ctx)
	result := attemptResult{position: a.position, duration: time.Since(a.startedAt)}
	outcome := a.classify(ctx, reply, err, &result)
	if reply != nil {
		// Finishing the attempt grants its slot to the next one.
		a.recordStatement(reply)
	}
	a.service.finishAttempt(a.position, outcome, result.duration)
	a.record(timeline.AttemptEnded, string(result.reason))
	if result.reply == nil {
		a.lease.Close()
	} else {
		a.subRequest.scope.Add(a.lease)
	}
	a.subRequest.results <- result
}

func (a *attempt) record(name timeline.Name, detail string) {
	a.service.gates.config.Recorder.Record(timeline.Event{
		Name:      name,
		RequestID: a.subRequest.batch.GetRequestId(),
		Service:   a.service.definition.Name,
		Upstream:  a.address(),
		Detail:    detail,
	})
}

func (a *attempt) address() string {
	return a.service.definition.Upstreams[a.position]
}

// id returns an identifier that is unique among all attempts.
func (a *attempt) id() string {
	return a.subRequest.batch.GetRequestId() + "/" + a.service.definition.Name + "/" +
		a.service.gates.config.VM + "/" + strconv.Itoa(int(a.number))
}

// classify fills in the result of an exchange that ended with reply or err. It
// returns the outcome to record in the statistics of the upstream.
func (a *attempt) classify(ctx context.Context, reply *upstream.Reply, err error, result *attemptResult) replica.Outcome {
	if err != nil {
		result.mayHaveRun = a.connected.Load()
		result.reason = answer.CodeUpstreamFailed
		if ctx.Err() != nil {
			result.reason = endReason(ctx)
			return a.service.cancelledOutcome(result.duration)
		}
		if errors.Is(err, memory.ErrExhausted) {
			// Others hold the memory: that tells nothing of this upstream.
			result.reason = answer.CodeNoMemory
			return replica.Abandoned
		}
		return replica.Failed
	}
	if code := a.checkReply(reply); code != "" {
		a.countDropped(code)
		result.mayHaveRun = true
		result.reason = code
		return replica.Failed
	}
	switch reply.Outcome {
	case upstream.Done:
		result.reply = toSubReply(reply)
	case upstream.Shed:
		result.reason = answer.CodeShed
	case upstream.Leaving:
		result.reason = answer.CodeNoUpstream
	case upstream.VersionGone:
		result.reason = answer.CodeVersionGone
		a.service.removeVersion(a.position, a.subRequest.batch.GetVersion())
	case upstream.Expired:
		result.reason = answer.CodeDeadline
	default:
		result.mayHaveRun = true
		result.reason = answer.CodeUpstreamFailed
		return replica.Failed
	}
	return outcomeOf(reply.Outcome)
}

// cancelledOutcome returns the outcome of an attempt whose context ended: Failed
// if it ran so long that the upstream counts as silent, and otherwise Abandoned,
// which is not held to be a failure of the upstream.
func (s *service) cancelledOutcome(took time.Duration) replica.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took >= s.silenceTimeout() {
		return replica.Failed
	}
	return replica.Abandoned
}

// removeVersion records that an upstream no longer holds a version, and polls
// all upstreams for the versions that they hold now.
func (s *service) removeVersion(position int, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams.RemoveVersion(position, version)
	s.rebuildReport()
	s.triggerPollLocked(time.Now())
}

// triggerPoll polls the upstreams now, at most once per
// minTriggeredPollInterval.
func (s *service) triggerPoll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.triggerPollLocked(time.Now())
}

// triggerPollLocked is triggerPoll for callers that hold s.mu.
func (s *service) triggerPollLocked(now time.Time) {
	if now.Sub(s.lastPoll) < minTriggeredPollInterval {
		return
	}
	s.lastPoll = now
	go s.poll(context.Background())
}

// checkReply returns an error code if the reply is truncated or belongs to
// another attempt, shard or index version.
func (a *attempt) checkReply(reply *upstream.Reply) answer.Code {
	batch := a.subRequest.batch
	switch {
	case reply.End == nil || *reply.End != len(reply.Records):
		return answer.CodeTruncated
	case reply.RequestID != batch.GetRequestId() || reply.Attempt != a.id() || reply.Shard != a.service.definition.Name:
		return answer.CodeMismatch
	case reply.Outcome == upstream.Done && reply.Version != batch.GetVersion():
		return answer.CodeMismatch
	default:
		return ""
	}
}

// countDropped counts and records a reply that is discarded.
func (a *attempt) countDropped(code answer.Code) {
	a.service.gates.updateMetrics(func(m *Metrics) { m.Dropped++ })
	a.record(timeline.ReplyDropped, string(code))
}

// exchange sends the request and reads the reply.
func (a *attempt) exchange(ctx context.Context) (reply *upstream.Reply, err error) {
	requestBody, err := a.requestBody()
	if err != nil {
		return nil, err
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }}
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, trace))
	defer cancel()
	a.lease.OnRevoke(cancel)
	defer a.lease.OnRevoke(nil)
	url := "http://" + a.address() + upstream.QueryPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(requestBody))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// Without GetBody the HTTP client does not resend a request once a byte of it
	// has been written, so that the upstream can't run one attempt twice.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := a.service.client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer response.Body.Close()
	return a.readReply(response)
}

func (a *attempt) requestBody() ([]byte, error) {
	batch := a.subRequest.batch
	requestBody, err := json.Marshal(upstream.Request{
		RequestID:       batch.GetRequestId(),
		Attempt:         a.id(),
		Kind:            batch.GetKind(),
		Index:           batch.GetIndex(),
		Shard:           a.service.definition.Name,
		Version:         batch.GetVersion(),
		RemainingMillis: max(1, time.Until(a.subRequest.deadline).Milliseconds()),
		Query:           batch.GetQuery(),
	})
	return requestBody, errors.WithStack(err)
}

// decodeFactor is what a reply takes while and after it is decoded, by the length of its
// body.
const decodeFactor = 2

func (a *attempt) readReply(response *http.Response) (reply *upstream.Reply, err error) {
	defer a.recordMemory(&err)
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the query to the upstream returned HTTP status %d", response.StatusCode)
	}
	body, err := memory.ReadAll(memory.Source{
		Reader: io.LimitReader(response.Body, upstream.MaximumReplyBytes), Announced: response.ContentLength,
		Lease: a.lease, Deadline: a.subRequest.deadline,
	})
	if err != nil {
		return nil, err
	}
	if err := a.lease.Reserve(decodeFactor*memory.Bytes(body.Len()), a.subRequest.deadline); err != nil {
		return nil, err
	}
	reply = &upstream.Reply{}
	if err := json.Unmarshal(body.Bytes(), reply); err != nil {
		return nil, errors.WithStack(err)
	}
	return reply, nil
}

// recordMemory records that the reply was given up because it got no memory.
func (a *attempt) recordMemory(err *error) {
	if a.lease.Revoked() {
		*err = errors.WithStack(memory.ErrRevoked)
	}
	if *err != nil && memory.IsDenied(*err) {
		a.record(timeline.ReplyDropped, "memory: "+(*err).Error())
	}
}

func toSubReply(reply *upstream.Reply) *wire.SubReply {
	translated := &wire.SubReply{Version: reply.Version, Scores: reply.Scores}
	translated.Records = make([][]byte, len(reply.Records))
	for i, record := range reply.Records {
		translated.Records[i] = query.Text(record)
	}
	for _, sum := range reply.Sums {
		translated.Sums = append(translated.Sums, &wire.Sum{Name: sum.Name, Value: sum.Value})
	}
	return translated
}
