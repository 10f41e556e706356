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
	"github.com/bronzereach/bronzereach/pkg/query"
	"github.com/bronzereach/bronzereach/pkg/replica"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// attemptResult is how one attempt ended.
type attemptResult struct {
	position int
	// reply is set if the attempt succeeded.
	reply *wire.SubReply
	took  time.Duration
	// mayHaveRun is true unless no byte can have reached the upstream or the
	// upstream said that it did not run the request.
	mayHaveRun bool
	reason     answer.Code
}

// attempt is one try of a piece of work at one upstream.
type attempt struct {
	service  *service
	work     *work
	position int
	number   uint32
	// connected is true once the HTTP client has a connection, from when on
	// bytes of the request may be sent.
	connected atomic.Bool
}

// run does the attempt and hands in its result.
func (a *attempt) run(ctx context.Context) {
	a.record(timeline.AttemptStarted, "")
	start := time.Now()
	reply, err := a.exchange(ctx)
	result := attemptResult{position: a.position, took: time.Since(start)}
	outcome := a.judge(ctx, reply, err, &result)
	a.service.finish(a.position, outcome, result.took)
	a.record(timeline.AttemptEnded, string(result.reason))
	if reply != nil {
		a.service.note(a.position, reply.Load)
	}
	a.work.results <- result
}

func (a *attempt) record(name timeline.Name, detail string) {
	a.service.gates.config.Recorder.Record(timeline.Event{
		Name:      name,
		RequestID: a.work.batch.GetRequestId(),
		Service:   a.service.definition.Name,
		Upstream:  a.address(),
		Detail:    detail,
	})
}

func (a *attempt) address() string {
	return a.service.definition.Upstreams[a.position]
}

// id is unique among all attempts.
func (a *attempt) id() string {
	return a.work.batch.GetRequestId() + "/" + a.service.definition.Name + "/" +
		a.service.gates.config.VM + "/" + strconv.Itoa(int(a.number))
}

// judge fills in the result and says what the gate learns of the upstream.
func (a *attempt) judge(ctx context.Context, reply *upstream.Reply, err error, result *attemptResult) replica.Outcome {
	if err != nil {
		result.mayHaveRun = a.connected.Load()
		result.reason = answer.CodeUpstreamFailed
		if ctx.Err() != nil {
			result.reason = endReason(ctx)
			return a.service.abandoned(result.took)
		}
		return replica.Failed
	}
	if code := a.mismatch(reply); code != "" {
		a.drop(code)
		result.mayHaveRun = true
		result.reason = code
		return replica.Failed
	}
	switch reply.Outcome {
	case upstream.Done:
		result.reply = translate(reply)
	case upstream.Shed:
		result.reason = answer.CodeShed
	case upstream.Leaving:
		result.reason = answer.CodeNoUpstream
		a.service.notice(a.address(), "")
	case upstream.VersionGone:
		result.reason = answer.CodeVersionGone
		a.service.lose(a.position, a.work.batch.GetVersion())
	case upstream.Expired:
		result.reason = answer.CodeDeadline
	default:
		result.mayHaveRun = true
		result.reason = answer.CodeUpstreamFailed
		return replica.Failed
	}
	return outcomeOf(reply.Outcome)
}

// abandoned tells an attempt that was given up from one that was silent.
func (s *service) abandoned(took time.Duration) replica.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took >= s.rescueAfter() {
		return replica.Failed
	}
	return replica.Abandoned
}

// lose notes that an upstream no longer holds a version, and asks all of them
// what they hold now.
func (s *service) lose(position int, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Lose(position, version)
	s.rebuildReport()
	s.pollAgain(time.Now())
}

// pollSoon asks the upstreams what they hold, unless they were just asked.
func (s *service) pollSoon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pollAgain(time.Now())
}

// pollAgain does the same with the service locked.
func (s *service) pollAgain(now time.Time) {
	if now.Sub(s.lastPoll) < lossInterval {
		return
	}
	s.lastPoll = now
	go s.poll(context.Background())
}

// mismatch checks that the reply is whole and belongs to this attempt.
func (a *attempt) mismatch(reply *upstream.Reply) answer.Code {
	batch := a.work.batch
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

// drop counts a reply that is not merged.
func (a *attempt) drop(code answer.Code) {
	a.service.gates.count(func(m *Metrics) { m.Dropped++ })
	a.record(timeline.ReplyDropped, string(code))
}

// exchange sends the request and reads the reply.
func (a *attempt) exchange(ctx context.Context) (reply *upstream.Reply, err error) {
	body, err := a.body()
	if err != nil {
		return nil, err
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := "http://" + a.address() + upstream.QueryPath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// Without GetBody the HTTP client never sends a request again once a byte
	// of it was written.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := a.service.client.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer response.Body.Close()
	return readReply(response)
}

func (a *attempt) body() ([]byte, error) {
	batch := a.work.batch
	body, err := json.Marshal(upstream.Request{
		RequestID:       batch.GetRequestId(),
		Attempt:         a.id(),
		Kind:            batch.GetKind(),
		Index:           batch.GetIndex(),
		Shard:           a.service.definition.Name,
		Version:         batch.GetVersion(),
		RemainingMillis: max(1, time.Until(a.work.deadline).Milliseconds()),
		Query:           batch.GetQuery(),
	})
	return body, errors.WithStack(err)
}

func readReply(response *http.Response) (*upstream.Reply, error) {
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, upstream.MaximumReply))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	reply := &upstream.Reply{}
	if err := json.Unmarshal(body, reply); err != nil {
		return nil, errors.WithStack(err)
	}
	return reply, nil
}

func translate(reply *upstream.Reply) *wire.SubReply {
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
