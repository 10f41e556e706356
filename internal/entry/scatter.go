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
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/snapshot"
)

// Limits of one scatter.
const (
	// resendInterval is the pause before a sub-request is sent again after its
	// node replied that it is not the gate, and between fetches of reports.
	resendInterval = 30 * time.Millisecond
	// maximumRestarts limits how often a query restarts because a version is gone.
	maximumRestarts = 8
	// replyMargin is subtracted from the time that gates get, so that their replies
	// arrive before the deadline.
	replyMargin = 2 * time.Millisecond
)

// shardResult is the result of one sub-request at one gate.
type shardResult struct {
	service string
	gate    string
	// reply is nil if the gate did not reply.
	reply *wire.SubReply
	// unsent is true if no byte of the request reached the gate.
	unsent bool
}

// includedShard is the reply for a shard that is included in the answer.
type includedShard struct {
	gate  string
	reply *wire.SubReply
}

// scatter executes one request on all shards of a snapshot. Only the goroutine
// that calls execute accesses it; gate calls send their results to the channel.
type scatter struct {
	submission
	entry  *Entry
	kind   document.Kind
	weight float64
	// lease holds the memory of parts.
	lease *memory.Lease
	// deadline is when the answer must be sent.
	deadline time.Time
	// answerBy is when an answer of sufficient coverage no longer waits for the
	// remaining shards.
	answerBy time.Time

	// choice is the pinned snapshot, missing lists the services not part of it.
	choice  snapshot.Choice
	missing []string
	// pending holds the shards without an outcome.
	pending map[string]snapshot.Shard
	parts   map[string]includedShard
	omitted map[string]answer.Code
	// toResend lists the services to send to again after resendInterval.
	toResend []string
	// lostGates maps a service to the node that last failed to reply for it: its
	// gate, or the standby that was called in place of the gate.
	lostGates map[string]string
	results   chan shardResult
	// covered is the fraction of the key space in parts.
	covered  float64
	restarts int
	// mayHaveRun is true once a sub-request has ended without proof that it did not
	// run.
	mayHaveRun bool
}

// newScatter returns a scatter whose deadline is that of the kind, or an earlier one
// that the request asks for.
func (e *Entry) newScatter(s submission, kind document.Kind, weight float64) *scatter {
	limit := timeLimit(s.Request, kind)
	return &scatter{
		submission: s,
		entry:      e,
		kind:       kind,
		weight:     weight,
		deadline:   s.received.Add(limit),
		answerBy:   s.received.Add(min(limit, kind.AnswerBy)),
	}
}

// execute pins a snapshot and gathers the replies of its shards in parts and
// omitted, restarting if a version is gone. It returns a code if there is no
// snapshot to read.
func (s *scatter) execute(ctx context.Context) answer.Code {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	floor := uint64(0)
	for {
		if !s.pinSnapshot(ctx, floor) {
			return answer.CodeNoSnapshot
		}
		if !s.gather(ctx) {
			return ""
		}
		s.restarts++
		s.entry.record(timeline.SnapshotRestarted, s.id, "")
		floor = s.awaitRestartFloor(ctx)
	}
}

// awaitRestartFloor returns the version above which to choose the next snapshot
// after an upstream replied that it no longer holds the pinned one. If no newer
// complete snapshot is known, it waits briefly and fetches new reports first.
func (s *scatter) awaitRestartFloor(ctx context.Context) (floor uint64) {
	floor = s.choice.Version
	if s.hasCompleteSnapshot(floor) {
		return floor
	}
	util.Sleep(ctx, resendInterval*time.Duration(s.restarts))
	s.entry.fetchReports(ctx, s.entry.config.View(), s.services())
	if s.hasCompleteSnapshot(floor) {
		return floor
	}
	// No newer version is complete yet. Allow the same version again, since a
	// replica that the reports did not list may hold it.
	return 0
}

// hasCompleteSnapshot reports whether a version above floor covers the whole key
// space.
func (s *scatter) hasCompleteSnapshot(floor uint64) bool {
	choice, _, ok := s.entry.reportTable.chooseSnapshot(s.kind.TargetName(), floor)
	return ok && choice.Complete
}

// pinSnapshot chooses the snapshot and resets the state of an earlier one. It
// returns false if there is none.
func (s *scatter) pinSnapshot(ctx context.Context, floor uint64) bool {
	view := s.entry.config.View()
	target := s.kind.TargetName()
	choice, missing, ok := s.entry.reportTable.chooseSnapshot(target, floor)
	if s.kind.Index != "" && !(ok && choice.Complete && len(missing) == 0) {
		choice, missing, ok = s.fetchSnapshot(ctx, view, target, floor)
	}
	if !ok || len(choice.Shards) == 0 {
		return false
	}
	s.choice, s.missing = choice, missing
	s.pending = make(map[string]snapshot.Shard, len(choice.Shards))
	s.parts = make(map[string]includedShard, len(choice.Shards))
	s.openLease()
	s.omitted = map[string]answer.Code{}
	s.lostGates = map[string]string{}
	s.toResend = nil
	s.covered = 0
	s.results = make(chan shardResult, 4*len(choice.Shards))
	for _, shard := range choice.Shards {
		s.pending[shard.Service] = shard
	}
	return true
}

// fetchSnapshot fetches reports until there is a complete snapshot with a report of
// every service, or reportFetchTimeout has passed. It then returns the best
// snapshot found, and as missing the services that are not part of it.
func (s *scatter) fetchSnapshot(ctx context.Context, view *View, target string, floor uint64) (choice snapshot.Choice, missing []string, ok bool) {
	giveUpAt := time.Now().Add(reportFetchTimeout)
	services := view.Document.ServicesOf(target)
	for {
		if s.entry.reportTable.mayFetch(target, time.Now()) {
			s.entry.fetchReports(ctx, view, services)
		}
		choice, missing, ok = s.entry.reportTable.chooseSnapshot(target, floor)
		if ok && choice.Complete && len(missing) == 0 {
			return choice, nil, true
		}
		if time.Now().After(giveUpAt) || ctx.Err() != nil {
			return choice, absentServices(services, choice), ok
		}
		util.Sleep(ctx, resendInterval)
		view = s.entry.config.View()
	}
}

// absentServices lists the services that have no shard in the choice.
func absentServices(services []string, choice snapshot.Choice) []string {
	var names []string
	for _, service := range services {
		if !slices.ContainsFunc(choice.Shards, func(shard snapshot.Shard) bool { return shard.Service == service }) {
			names = append(names, service)
		}
	}
	return names
}

// gather sends the sub-requests and handles results until no shard is pending, the
// coverage suffices after answerBy, or the context ends. It returns true if the
// query must restart on another snapshot.
func (s *scatter) gather(ctx context.Context) (restart bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.send(ctx, s.services())
	answerBy := time.NewTimer(time.Until(s.answerBy))
	defer answerBy.Stop()
	resend := time.NewTicker(resendInterval)
	defer resend.Stop()
	pastAnswerBy := false
	for len(s.pending) > 0 {
		if pastAnswerBy && s.coverageReached() {
			s.omitPending(answer.CodeAnswerBy)
			return false
		}
		select {
		case result := <-s.results:
			if s.handleResult(ctx, result) {
				return true
			}
		case <-resend.C:
			s.resend(ctx)
		case <-answerBy.C:
			pastAnswerBy = s.answerBy.Before(s.deadline)
		case <-ctx.Done():
			s.omitOnDone(ctx)
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

func (s *scatter) coverageReached() bool {
	return s.covered >= s.kind.MinimumCoverage && len(s.parts) > 0
}

// omitOnDone omits the pending shards when the context has ended, because of the
// deadline or because the caller has disconnected.
func (s *scatter) omitOnDone(ctx context.Context) {
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

// handleResult handles one result and reports whether the query must restart.
// Results of shards that are no longer pending are ignored.
func (s *scatter) handleResult(ctx context.Context, result shardResult) (restart bool) {
	shard, waiting := s.pending[result.service]
	if !waiting {
		return false
	}
	if result.reply == nil {
		s.handleLostGate(ctx, result)
		return false
	}
	s.entry.reportTable.add(result.reply.GetReport())
	if result.reply.GetRequestId() != s.id {
		s.entry.countDropped(s.id, "request")
		return false
	}
	if result.reply.GetRun() == wire.RunStatus_RUN_STATUS_RAN {
		return s.include(shard, result)
	}
	return s.handleRefusal(result)
}

// include adds a reply to the answer, unless it was read from another version than
// the pinned one or there is no memory for it.
func (s *scatter) include(shard snapshot.Shard, result shardResult) (restart bool) {
	delete(s.pending, result.service)
	if result.reply.GetVersion() != s.choice.Version {
		s.entry.countDropped(s.id, "version")
		s.omitted[result.service] = answer.CodeMismatch
		s.mayHaveRun = true
		return false
	}
	if err := s.reservePart(result.reply); err != nil {
		s.omitted[result.service] = answer.CodeNoMemory
		s.mayHaveRun = true
		return false
	}
	s.parts[result.service] = includedShard{gate: result.gate, reply: result.reply}
	for _, r := range shard.Ranges {
		s.covered += float64(r.High-r.Low) / float64(snapshot.KeySpace)
	}
	return false
}

// handleRefusal handles a reply that says that the sub-request did not run, or that
// it is unknown whether it ran: it schedules a resend, asks for a restart or omits
// the shard.
func (s *scatter) handleRefusal(result shardResult) (restart bool) {
	reason := answer.Code(result.reply.GetReason())
	if result.reply.GetRun() == wire.RunStatus_RUN_STATUS_UNKNOWN {
		s.mayHaveRun = true
	}
	if reason == answer.CodeNotGate {
		// The node is not the gate, or it is a standby that could reach the gate
		// (see serveBatch in package node), so that the gate is not lost. Either way
		// the resend goes to the gate that is assigned by then.
		delete(s.lostGates, result.service)
		s.toResend = append(s.toResend, result.service)
		return false
	}
	if reason == answer.CodeVersionGone && s.restarts < maximumRestarts {
		return true
	}
	delete(s.pending, result.service)
	s.omitted[result.service] = reason
	return false
}

// handleLostGate handles a gate, or a standby in its place, that could not be
// reached or did not reply. A request that must not be repeated is sent again only
// if no byte of it was sent, to the gate and after resendInterval. Other requests
// are sent to the standby at once after the first loss, and then after
// resendInterval each time, to the gate and the standby in turn.
func (s *scatter) handleLostGate(ctx context.Context, result shardResult) {
	if !result.unsent {
		s.mayHaveRun = true
		if !s.kind.Repeatable {
			delete(s.pending, result.service)
			s.omitted[result.service] = answer.CodeGateLost
			return
		}
	}
	_, lostBefore := s.lostGates[result.service]
	s.lostGates[result.service] = result.gate
	if lostBefore || !s.kind.Repeatable {
		s.toResend = append(s.toResend, result.service)
		return
	}
	s.send(ctx, []string{result.service})
}

func (s *scatter) resend(ctx context.Context) {
	if len(s.toResend) == 0 {
		return
	}
	services := s.toResend
	s.toResend = nil
	s.send(ctx, services)
}

// send groups the sub-requests by destination and starts a call to each. Services
// without a gate are sent again after resendInterval.
func (s *scatter) send(ctx context.Context, services []string) {
	view := s.entry.config.View()
	groups := map[destination][]string{}
	for _, service := range services {
		to := s.route(view, service)
		if to.vm == "" {
			s.toResend = append(s.toResend, service)
			continue
		}
		groups[to] = append(groups[to], service)
	}
	for to, names := range groups {
		c := &gateCall{scatter: s, to: to, services: names, results: s.results}
		c.prepare(view)
		go c.run(ctx)
	}
}

// destination is the node to call for a service. lostGate is set if the node is a
// standby that replaces that gate.
type destination struct {
	vm       string
	lostGate string
}

// route returns the gate of a service, or its standby if the gate was the last node
// that failed to reply and the request may be repeated. In direct mode it returns
// this node.
func (s *scatter) route(view *View, service string) destination {
	if s.entry.config.Direct {
		return destination{vm: s.entry.config.VM}
	}
	gate := view.Assignment.Gate(service)
	if gate == "" || gate != s.lostGates[service] || !s.kind.Repeatable {
		return destination{vm: gate}
	}
	standby := view.Assignment.Standby(service)
	if standby == "" {
		return destination{vm: gate}
	}
	return destination{vm: standby, lostGate: gate}
}

// gateCall sends one batch to one node and collects the replies.
type gateCall struct {
	scatter  *scatter
	to       destination
	services []string
	batch    *wire.Batch
	address  string
	results  chan<- shardResult
}

// prepare builds the batch. It reads the scatter and so must be called on the
// scatter's goroutine.
func (c *gateCall) prepare(view *View) {
	s := c.scatter
	subs := make([]*wire.SubRequest, len(c.services))
	for i, service := range c.services {
		subs[i] = &wire.SubRequest{Service: service, KnownReport: s.entry.reportTable.sequence(service)}
	}
	c.batch = &wire.Batch{
		RequestId:       s.id,
		Kind:            s.kind.Name,
		Index:           s.kind.Index,
		Version:         s.choice.Version,
		ConfigVersion:   view.ConfigVersion,
		RemainingMicros: (time.Until(s.deadline) - replyMargin).Microseconds(),
		Query:           s.Query,
		Weight:          float32(s.weight),
		SubRequests:     subs,
		Caller:          s.submission.Caller,
		LostGate:        c.to.lostGate,
	}
	c.address = view.Members[c.to.vm].PeerAddress
}

// run makes the call and sends one result for each service.
func (c *gateCall) run(ctx context.Context) {
	e := c.scatter.entry
	if c.to.vm == e.config.VM {
		e.config.Serve(ctx, c.batch, c.deliver)
		return
	}
	unanswered, unsent := c.callRemote(ctx)
	if len(unanswered) > 0 && ctx.Err() == nil {
		e.config.ReportFailure(c.to.vm)
	}
	for service := range unanswered {
		c.results <- shardResult{service: service, gate: c.to.vm, unsent: unsent}
	}
}

func (c *gateCall) deliver(reply *wire.SubReply) {
	c.results <- shardResult{service: reply.GetService(), gate: c.to.vm, reply: reply}
}

// callRemote sends the batch to another node. It returns the services that got no
// reply, and whether no byte of the batch was sent.
func (c *gateCall) callRemote(ctx context.Context) (unanswered map[string]struct{}, unsent bool) {
	unanswered = make(map[string]struct{}, len(c.services))
	for _, service := range c.services {
		unanswered[service] = struct{}{}
	}
	if !c.scatter.kind.Repeatable {
		if err := c.scatter.entry.config.Network.Confirm(ctx, c.to.vm, c.address); err != nil {
			return unanswered, true
		}
	}
	call := &wire.Call{Body: &wire.Call_Batch{Batch: c.batch}}
	stream, err := c.scatter.entry.config.Network.Call(ctx, c.to.vm, c.address, call)
	if err != nil {
		return unanswered, errors.Is(err, peer.ErrUnreachable)
	}
	defer stream.Close()
	for len(unanswered) > 0 {
		reply, err := stream.Receive()
		if err != nil {
			return unanswered, false
		}
		sub := reply.GetSubReply()
		if _, asked := unanswered[sub.GetService()]; !asked || sub.GetRequestId() != c.batch.GetRequestId() {
			c.scatter.entry.countDropped(c.batch.GetRequestId(), "peer")
			continue
		}
		delete(unanswered, sub.GetService())
		c.deliver(sub)
	}
	return unanswered, false
}
