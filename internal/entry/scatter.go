package entry

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/peer"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/util"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/query"
	"github.com/bronzereach/bronzereach/pkg/snapshot"
)

// Limits of one scatter.
const (
	// resendPause is the wait before a shard is sent again to a gate that did
	// not have it.
	resendPause = 30 * time.Millisecond
	// maximumRestarts bounds how often a query starts again at a newer snapshot.
	maximumRestarts = 8
	// hopMargin is taken off the deadline for the way back.
	hopMargin = 2 * time.Millisecond
)

// shardResult is what came of one shard at one gate.
type shardResult struct {
	service string
	gate    string
	reply   *wire.SubReply
	// unsent is true if no byte of the request reached the gate.
	unsent bool
}

// part is one shard that is included in the answer.
type part struct {
	gate  string
	reply *wire.SubReply
}

// scatter is one request on its way over the shards of its snapshot. Only the
// goroutine that runs it touches it; asks hand in results by the channel.
type scatter struct {
	entry   *Entry
	kind    document.Kind
	request query.Request
	id      string
	weight  float64
	// deadline is when the answer must be on its way.
	deadline time.Time
	answerBy time.Time
	received time.Time

	choice  snapshot.Choice
	missing []string
	// pending holds the shards without an outcome.
	pending map[string]snapshot.Shard
	parts   map[string]part
	omitted map[string]answer.Code
	// again lists the shards to send once more after a pause.
	again []string
	// lostGates maps a shard to the gate that could not be reached for it.
	lostGates map[string]string
	results   chan shardResult
	covered   float64
	restarts  int
	// mayHaveRun is true once a shard ended without saying that it did not run.
	mayHaveRun bool
}

func (e *Entry) newScatter(request query.Request, kind document.Kind, id string, weight float64, received time.Time) *scatter {
	limit := kind.Deadline
	if asked := time.Duration(request.DeadlineMillis) * time.Millisecond; asked > 0 {
		limit = min(limit, asked)
	}
	return &scatter{
		entry:    e,
		kind:     kind,
		request:  request,
		id:       id,
		weight:   weight,
		deadline: received.Add(limit),
		answerBy: received.Add(min(limit, kind.AnswerBy)),
		received: received,
	}
}

// do runs the scatter to its end; the result is in parts and omitted. It
// returns a code if there is no snapshot to run on.
func (s *scatter) do(ctx context.Context) answer.Code {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	floor := uint64(0)
	for {
		if !s.pin(ctx, floor) {
			return answer.CodeNoSnapshot
		}
		if !s.gather(ctx) {
			return ""
		}
		s.restarts++
		s.entry.record(timeline.SnapshotRestarted, s.id, "")
		floor = s.renew(ctx)
	}
}

// renew waits a little for news of what the services hold, after a version went
// away, and returns the version above which to choose.
func (s *scatter) renew(ctx context.Context) (floor uint64) {
	floor = s.choice.Version
	if s.whole(floor) {
		return floor
	}
	util.Sleep(ctx, resendPause*time.Duration(s.restarts))
	s.entry.describe(ctx, s.entry.config.View(), s.services())
	if s.whole(floor) {
		return floor
	}
	// Nothing newer is whole yet: the same version may be served by a replica
	// that the reports did not name.
	return 0
}

// whole reports whether a snapshot above the floor tiles the key space.
func (s *scatter) whole(floor uint64) bool {
	choice, _, ok := s.entry.reports.choose(s.kind.Target(), floor)
	return ok && choice.Complete
}

// pin chooses the snapshot and forgets what belongs to another one.
func (s *scatter) pin(ctx context.Context, floor uint64) bool {
	view := s.entry.config.View()
	target := s.kind.Target()
	choice, missing, ok := s.entry.reports.choose(target, floor)
	if s.kind.Index != "" && !(ok && choice.Complete && len(missing) == 0) {
		choice, missing, ok = s.fetch(ctx, view, target, floor)
	}
	if !ok || len(choice.Shards) == 0 {
		return false
	}
	s.choice, s.missing = choice, missing
	s.pending = make(map[string]snapshot.Shard, len(choice.Shards))
	s.parts = make(map[string]part, len(choice.Shards))
	s.omitted = map[string]answer.Code{}
	s.lostGates = map[string]string{}
	s.again = nil
	s.covered = 0
	s.results = make(chan shardResult, 4*len(choice.Shards))
	for _, shard := range choice.Shards {
		s.pending[shard.Service] = shard
	}
	return true
}

// fetch asks the gates for reports until there is a snapshot that is whole and
// of all services, or the patience for it ends. Services that have no part in a
// snapshot with a gap count as missing.
func (s *scatter) fetch(ctx context.Context, view *View, target string, floor uint64) (choice snapshot.Choice, missing []string, ok bool) {
	patience := time.Now().Add(describeTimeout)
	services := view.Document.ServicesOf(target)
	for {
		if s.entry.reports.mayDescribe(target, time.Now()) {
			s.entry.describe(ctx, view, services)
		}
		choice, missing, ok = s.entry.reports.choose(target, floor)
		if ok && choice.Complete && len(missing) == 0 {
			return choice, nil, true
		}
		if time.Now().After(patience) || ctx.Err() != nil {
			return choice, absent(services, choice), ok
		}
		util.Sleep(ctx, resendPause)
		view = s.entry.config.View()
	}
}

// absent lists the services that have no part in the choice.
func absent(services []string, choice snapshot.Choice) []string {
	var names []string
	for _, service := range services {
		if !slices.ContainsFunc(choice.Shards, func(shard snapshot.Shard) bool { return shard.Service == service }) {
			names = append(names, service)
		}
	}
	return names
}

// gather sends the shards and takes in results until the answer is as whole as
// it gets. It returns true if the query is to start again at a newer snapshot.
func (s *scatter) gather(ctx context.Context) (restart bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.send(ctx, s.services())
	answerBy := time.NewTimer(time.Until(s.answerBy))
	defer answerBy.Stop()
	resend := time.NewTicker(resendPause)
	defer resend.Stop()
	late := false
	for len(s.pending) > 0 {
		if late && s.enough() {
			s.omitPending(answer.CodeAnswerBy)
			return false
		}
		select {
		case result := <-s.results:
			if s.take(ctx, result) {
				return true
			}
		case <-resend.C:
			s.resend(ctx)
		case <-answerBy.C:
			late = s.answerBy.Before(s.deadline)
		case <-ctx.Done():
			s.end(ctx)
			return false
		}
	}
	return false
}

func (s *scatter) services() []string {
	services := make([]string, 0, len(s.choice.Shards))
	for _, shard := range s.choice.Shards {
		services = append(services, shard.Service)
	}
	return services
}

func (s *scatter) enough() bool {
	return s.covered >= s.kind.MinimumCoverage && len(s.parts) > 0
}

// end closes the books when the time is over or the caller has gone.
func (s *scatter) end(ctx context.Context) {
	reason := answer.CodeCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = answer.CodeDeadline
	}
	s.mayHaveRun = true
	s.omitPending(reason)
}

func (s *scatter) omitPending(reason answer.Code) {
	s.mayHaveRun = true
	for service := range s.pending {
		s.omitted[service] = reason
	}
	clear(s.pending)
}

// take books one result; true asks for a restart.
func (s *scatter) take(ctx context.Context, result shardResult) (restart bool) {
	shard, waiting := s.pending[result.service]
	if !waiting {
		return false
	}
	if result.reply == nil {
		s.lose(ctx, result)
		return false
	}
	s.entry.reports.learn(result.reply.GetReport())
	if result.reply.GetRequestId() != s.id {
		s.entry.drop(s.id, "request")
		return false
	}
	if result.reply.GetRun() == wire.RunStatus_RUN_STATUS_RAN {
		return s.include(shard, result)
	}
	return s.refuse(result)
}

func (s *scatter) include(shard snapshot.Shard, result shardResult) (restart bool) {
	delete(s.pending, result.service)
	if result.reply.GetVersion() != s.choice.Version {
		s.entry.drop(s.id, "version")
		s.omitted[result.service] = answer.CodeMismatch
		s.mayHaveRun = true
		return false
	}
	s.parts[result.service] = part{gate: result.gate, reply: result.reply}
	for _, r := range shard.Ranges {
		s.covered += float64(r.High-r.Low) / float64(snapshot.KeySpace)
	}
	return false
}

// refuse books a shard that gave no records.
func (s *scatter) refuse(result shardResult) (restart bool) {
	reason := answer.Code(result.reply.GetReason())
	if result.reply.GetRun() == wire.RunStatus_RUN_STATUS_UNKNOWN {
		s.mayHaveRun = true
	}
	if reason == answer.CodeNotGate {
		// A standby that declines has found the gate alive.
		delete(s.lostGates, result.service)
		s.again = append(s.again, result.service)
		return false
	}
	if reason == answer.CodeVersionGone && s.restarts < maximumRestarts {
		return true
	}
	delete(s.pending, result.service)
	s.omitted[result.service] = reason
	return false
}

// lose handles a gate that could not be reached or fell silent.
func (s *scatter) lose(ctx context.Context, result shardResult) {
	if !result.unsent {
		s.mayHaveRun = true
		if !s.kind.Repeat {
			delete(s.pending, result.service)
			s.omitted[result.service] = answer.CodeGateLost
			return
		}
	}
	_, known := s.lostGates[result.service]
	s.lostGates[result.service] = result.gate
	if known || !s.kind.Repeat {
		s.again = append(s.again, result.service)
		return
	}
	s.send(ctx, []string{result.service})
}

func (s *scatter) resend(ctx context.Context) {
	if len(s.again) == 0 {
		return
	}
	services := s.again
	s.again = nil
	s.send(ctx, services)
}

// send groups the shards by gate and asks each.
func (s *scatter) send(ctx context.Context, services []string) {
	view := s.entry.config.View()
	groups := map[askTarget][]string{}
	for _, service := range services {
		to := s.route(view, service)
		if to.vm == "" {
			s.again = append(s.again, service)
			continue
		}
		groups[to] = append(groups[to], service)
	}
	for to, names := range groups {
		a := &ask{scatter: s, to: to, services: names, results: s.results}
		a.prepare(view)
		go a.run(ctx)
	}
}

// askTarget is a node that is asked, and the gate it stands in for.
type askTarget struct {
	vm   string
	lost string
}

// route picks the gate of a service, or its standby if the gate is lost.
func (s *scatter) route(view *View, service string) askTarget {
	if s.entry.config.Direct {
		return askTarget{vm: s.entry.config.VM}
	}
	gate := view.Assignment.Gate(service)
	if gate == "" || gate != s.lostGates[service] || !s.kind.Repeat {
		return askTarget{vm: gate}
	}
	standby := view.Assignment.Standby(service)
	if standby == "" {
		return askTarget{vm: gate}
	}
	return askTarget{vm: standby, lost: gate}
}

// ask is one batch on its way to one gate and back.
type ask struct {
	scatter  *scatter
	to       askTarget
	services []string
	batch    *wire.Batch
	address  string
	results  chan<- shardResult
}

// prepare builds the batch on the scatter's own goroutine.
func (a *ask) prepare(view *View) {
	s := a.scatter
	subs := make([]*wire.SubRequest, len(a.services))
	for i, service := range a.services {
		subs[i] = &wire.SubRequest{Service: service, KnownReport: s.entry.reports.sequence(service)}
	}
	a.batch = &wire.Batch{
		RequestId:       s.id,
		Kind:            s.kind.Name,
		Index:           s.kind.Index,
		Version:         s.choice.Version,
		ConfigVersion:   view.ConfigVersion,
		RemainingMicros: (time.Until(s.deadline) - hopMargin).Microseconds(),
		Query:           s.request.Query,
		Weight:          float32(s.weight),
		SubRequests:     subs,
		Caller:          s.request.Caller,
		LostGate:        a.to.lost,
	}
	a.address = view.Members[a.to.vm].PeerAddress
}

// run asks the gate and hands in one result for each shard.
func (a *ask) run(ctx context.Context) {
	e := a.scatter.entry
	if a.to.vm == e.config.VM {
		e.config.Serve(ctx, a.batch, a.deliver)
		return
	}
	left, unsent := a.remote(ctx)
	if len(left) > 0 && ctx.Err() == nil {
		e.config.ReportFailure(a.to.vm)
	}
	for service := range left {
		a.results <- shardResult{service: service, gate: a.to.vm, unsent: unsent}
	}
}

func (a *ask) deliver(reply *wire.SubReply) {
	a.results <- shardResult{service: reply.GetService(), gate: a.to.vm, reply: reply}
}

// remote returns the shards that got no reply, and whether the batch was never
// sent.
func (a *ask) remote(ctx context.Context) (left map[string]struct{}, unsent bool) {
	left = make(map[string]struct{}, len(a.services))
	for _, service := range a.services {
		left[service] = struct{}{}
	}
	call := &wire.Call{Body: &wire.Call_Batch{Batch: a.batch}}
	stream, err := a.scatter.entry.config.Network.Call(ctx, a.to.vm, a.address, call)
	if err != nil {
		return left, errors.Is(err, peer.ErrUnreachable)
	}
	defer stream.Close()
	for len(left) > 0 {
		reply, err := stream.Receive()
		if err != nil {
			return left, false
		}
		sub := reply.GetSubReply()
		if _, asked := left[sub.GetService()]; !asked || sub.GetRequestId() != a.batch.GetRequestId() {
			a.scatter.entry.drop(a.batch.GetRequestId(), "peer")
			continue
		}
		delete(left, sub.GetService())
		a.deliver(sub)
	}
	return left, false
}
