package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/claim"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/member"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// claimEndTimeout limits the time to store the outcome of a claim.
const claimEndTimeout = 20 * time.Second

// keyedRequest is a request of a kind that must run at most once. Its key, a
// ticket or a key of the caller's own, identifies repeated submissions.
type keyedRequest struct {
	submission
	entry *Entry
	view  *View
	kind  document.Kind
}

// executeKeyed runs a request that must run at most once.
func (e *Entry) executeKeyed(ctx context.Context, view *View, kind document.Kind, s submission) *answer.Answer {
	// The run may outlast the submission, and its answer is kept.
	s.scope = nil
	k := &keyedRequest{submission: s, entry: e, view: view, kind: kind}
	ctx, cancel := context.WithDeadline(ctx, s.received.Add(timeLimit(s.Request, kind)))
	defer cancel()
	switch {
	case s.Key == "" || len(s.Key) > query.MaximumKeyBytes || strings.ContainsAny(s.Key, "\r\n\x00"):
		return k.refuse(refusal{code: answer.CodeKeyMissing, message: "this kind of work needs a request key of 1 to 200 bytes without CR, LF and NUL"})
	case claim.IsTicket(s.Key):
		return k.handleTicket(ctx)
	default:
		return k.handleCallerKey(ctx)
	}
}

func (k *keyedRequest) refuse(why refusal) *answer.Answer {
	return k.entry.refuse(k.view, k.submission, why)
}

// refusedByShutdown reports whether the node leaves and might end before the request.
func (k *keyedRequest) refusedByShutdown() bool {
	return k.entry.shutdown.refuses(timeLimit(k.Request, k.kind))
}

// hasNoTime reports whether a gate would get no time for the request. A run would end at
// once, and its outcome be unknown for good.
func (k *keyedRequest) hasNoTime() bool {
	return timeLimit(k.Request, k.kind) <= replyMargin
}

// unknownAnswer returns the answer to a request that may or may not have run.
func (k *keyedRequest) unknownAnswer(code answer.Code, message string, retry bool) *answer.Answer {
	k.entry.record(timeline.RequestAnswered, k.id, string(code))
	a := k.entry.newAnswer(k.view, k.submission)
	a.Status = answer.Unknown
	a.Error = &answer.Error{Code: code, Message: message, Retry: retry}
	return a
}

// handleTicket runs the request if this process issued its ticket. Otherwise it
// forwards the request to the process that did.
func (k *keyedRequest) handleTicket(ctx context.Context) *answer.Answer {
	ticket, err := claim.ParseTicket(k.Key)
	if err != nil {
		return k.refuse(refusal{code: answer.CodeTicketUnknown, message: "the key is not a valid ticket"})
	}
	config := k.entry.config
	if ticket.VM == config.VM && ticket.Process == config.Process {
		return k.handleOwnTicket(ctx, ticket)
	}
	return k.forward(ctx, ticket.VM)
}

// handleOwnTicket runs the request of a ticket of this process unless an earlier
// submission has done so. The outcome of an expired ticket is unknown once it is
// older than claim.Retention, since the process may have forgotten its run.
func (k *keyedRequest) handleOwnTicket(ctx context.Context, ticket claim.Ticket) *answer.Answer {
	e := k.entry
	if !e.issuer.Verify(k.Key) {
		return k.refuse(refusal{code: answer.CodeTicketUnknown, message: "this node did not issue the ticket"})
	}
	age := e.issuer.Age(time.Now(), ticket)
	_, started := e.runs.Lookup(k.Key)
	if !started && k.refusedByShutdown() {
		return k.refuse(leavingRefusal)
	}
	if !started && k.hasNoTime() {
		return k.refuse(refusal{code: answer.CodeDeadline, message: "no time was left to run the request", retry: true})
	}
	if !started && age > claim.TicketLifetime {
		if age < claim.Retention {
			return k.refuse(refusal{code: answer.CodeTicketUnknown, message: "the ticket expired before it was used"})
		}
		return k.unknownAnswer(answer.CodeTicketUnknown, "the ticket has expired and the outcome of its request is no longer stored", false)
	}
	run, created := e.runs.Start(time.Now(), k.Key, requestHash(k.Request))
	switch {
	case run == nil:
		return k.refuse(k.noRoom())
	case !created:
		return k.awaitRun(ctx, run)
	default:
		return k.startRun(run, nil)
	}
}

// startRun runs the request on a goroutine that outlives the connection of the
// caller, and waits for the answer, or until the node has to answer what it knows.
// storedClaim is nil for a ticket.
func (k *keyedRequest) startRun(run *claim.Run, storedClaim *claim.Claim) *answer.Answer {
	// The table may drop the answer at once.
	answered := make(chan *answer.Answer, 1)
	go k.loop(run, storedClaim, answered)
	select {
	case a := <-answered:
		return a
	case <-k.entry.shutdown.ending.Done():
	}
	// Both may be over.
	select {
	case a := <-answered:
		return a
	default:
		return k.unknownAnswer(answer.CodeLeaving, "this node shut down while the request was in progress", true)
	}
}

// loop runs the request and stores its outcome. It does not stop when the caller
// disconnects, since the outcome of a request that may have started would then
// stay unknown.
func (k *keyedRequest) loop(run *claim.Run, storedClaim *claim.Claim, answered chan<- *answer.Answer) {
	k.entry.inProgress.Add(1)
	defer k.entry.inProgress.Add(-1)
	a := k.entry.run(context.Background(), k.view, k.kind, k.submission)
	a.Node = k.entry.config.VM
	k.entry.runs.Complete(run, a)
	copied := *a
	answered <- &copied
	if storedClaim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimEndTimeout)
	defer cancel()
	if err := k.entry.config.Claims.Complete(ctx, *storedClaim, a); err != nil {
		k.entry.record(timeline.StoreLost, k.id, err.Error())
	}
}

// awaitRun waits for the answer of a run that another submission started.
func (k *keyedRequest) awaitRun(ctx context.Context, run *claim.Run) *answer.Answer {
	if run.Request != requestHash(k.Request) {
		return k.refuse(refusal{code: answer.CodeKeyReused, message: "the key was used for another request; this one did not run"})
	}
	a, ended := run.Wait(ctx)
	if !ended {
		return k.unknownAnswer(answer.CodeInProgress, "an earlier request with this key is still in progress", true)
	}
	return k.answerOf(run, a)
}

// answerOf returns the answer of a run that has ended; a is nil if it is not kept any more.
func (k *keyedRequest) answerOf(run *claim.Run, a *answer.Answer) *answer.Answer {
	if a != nil {
		copied := *a
		return &copied
	}
	gone := k.entry.newAnswer(k.view, k.submission)
	gone.Status = run.Status()
	gone.Error = &answer.Error{Code: answer.CodeAnswerGone, Message: "the request ended with this status under its key; its answer is no longer kept"}
	return gone
}

// noRoom returns why a request is refused while the outcomes of others take the memory.
func (k *keyedRequest) noRoom() refusal {
	return refusal{answer.CodeNoMemory, "the memory for outcomes of requests that must not be repeated is in use", true, k.entry.runs.UntilRoom(time.Now())}
}

// handleCallerKey claims the caller's own key in the platform and runs the request
// if the claim succeeds.
func (k *keyedRequest) handleCallerKey(ctx context.Context) *answer.Answer {
	e := k.entry
	if _, started := e.runs.Lookup(k.Key); !started && k.refusedByShutdown() {
		return k.unknownAnswer(answer.CodeLeaving, "this node is shutting down; this submission did not run the request", true)
	}
	run, created := e.runs.Start(time.Now(), k.Key, requestHash(k.Request))
	switch {
	case run == nil && k.FirstUse:
		return k.refuse(k.noRoom())
	case run == nil:
		return k.unknownAnswer(answer.CodeNoMemory, "the memory for outcomes of requests is in use; this submission did not run the request", true)
	case !created:
		return k.awaitRun(ctx, run)
	}
	storedClaim, err := e.config.Claims.Acquire(ctx, k.Key, requestHash(k.Request))
	if err == nil && storedClaim.Acquired {
		return k.startRun(run, &storedClaim)
	}
	a := k.answerUnclaimed(ctx, storedClaim, err)
	// This submission ran nothing, so the next one with the key must ask the
	// platform again.
	e.runs.Cancel(run, a)
	return a
}

// answerUnclaimed answers a request whose key could not be claimed: from the
// stored claim of an earlier submission, or with an error if the platform failed.
func (k *keyedRequest) answerUnclaimed(ctx context.Context, storedClaim claim.Claim, err error) *answer.Answer {
	switch {
	case err != nil && k.FirstUse:
		return k.refuse(refusal{answer.CodeStoreDown, "the platform can't be reached to claim the key; a ticket from a node works without the platform", true, time.Second})
	case err != nil:
		return k.unknownAnswer(answer.CodeStoreDown, "the platform can't be reached to check whether the request has run before; this submission did not run it", true)
	case storedClaim.Request != requestHash(k.Request):
		return k.refuse(refusal{code: answer.CodeKeyReused, message: "the key was used for another request; this one did not run"})
	case storedClaim.Answer != nil:
		return storedClaim.Answer
	default:
		return k.forward(ctx, storedClaim.Holder.VM)
	}
}

// forward sends the request to the VM of the only process that may run it. If another
// process runs there now, it answers that the outcome is unknown. A request for another
// process of this VM, or for a run that this process no longer knows, would come back
// here. What the member table knows of the VM may be about a process before or after
// the one that may run the request, so a dead member is asked as well.
func (k *keyedRequest) forward(ctx context.Context, vm string) *answer.Answer {
	if vm == k.entry.config.VM {
		return k.unknownAnswer(answer.CodeIssuerGone, "this node has no record of the request; it may have run and will not run again", false)
	}
	m, found := k.view.Members[vm]
	if !found {
		return k.issuerGoneAnswer()
	}
	k.entry.record(timeline.RequestForwarded, k.id, vm)
	a, err := k.callForward(ctx, m)
	if err != nil && m.State == member.Dead {
		return k.issuerGoneAnswer()
	}
	if err != nil && ctx.Err() != nil {
		// The process may be at work; a link that has gone silent ends the call itself.
		return k.unknownAnswer(answer.CodeDeadline, "the process that may run the request has not answered in time; the request may be sent again with the same key", true)
	}
	if err != nil {
		k.entry.config.ReportFailure(vm)
		return k.unknownAnswer(answer.CodeGateLost, "the process that may run the request can't be reached; the request may be sent again with the same key", true)
	}
	return a
}

func (k *keyedRequest) issuerGoneAnswer() *answer.Answer {
	return k.unknownAnswer(answer.CodeIssuerGone, "the process that may run the request has ended; the request may have run and will not run again", false)
}

// callForward calls the member with the request and returns its answer.
func (k *keyedRequest) callForward(ctx context.Context, m member.Member) (a *answer.Answer, err error) {
	body, err := json.Marshal(k.Request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	deadline, _ := ctx.Deadline()
	call := &wire.Call{Body: &wire.Call_Forward{Forward: &wire.Forward{
		Request:         body,
		RemainingMicros: (time.Until(deadline) - replyMargin).Microseconds(),
	}}}
	reply, err := k.entry.config.Network.CallUnary(ctx, m.VM, m.PeerAddress, call)
	if err != nil {
		return nil, err
	}
	a = &answer.Answer{}
	if err := json.Unmarshal(reply.GetForwarded().GetAnswer(), a); err != nil {
		return nil, errors.WithStack(err)
	}
	return a, nil
}

// Forwarded handles a request that another node forwarded, in the same way as one
// from a caller, within the time that is left of that node's. The request may be
// forwarded again: if its ticket names another process, or if this process has no run
// under its key and can't take over its claim, which has no answer yet. The returned
// message is empty if the request can't be decoded or its answer can't be encoded.
func (e *Entry) Forwarded(ctx context.Context, forward *wire.Forward) *wire.Forwarded {
	var request query.Request
	if err := json.Unmarshal(forward.GetRequest(), &request); err != nil {
		return &wire.Forwarded{}
	}
	a := e.Answer(ctx, withinMicros(request, forward.GetRemainingMicros()))
	body, err := json.Marshal(a)
	if err != nil {
		return &wire.Forwarded{}
	}
	return &wire.Forwarded{HttpStatus: uint32(httpStatus(a)), Answer: body}
}

// withinMicros returns the request with a deadline no later than the remaining time.
func withinMicros(request query.Request, remaining int64) query.Request {
	millis := max(1, remaining/1000)
	if request.DeadlineMillis <= 0 || request.DeadlineMillis > millis {
		request.DeadlineMillis = millis
	}
	return request
}
