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

// endTimeout bounds how long the outcome of a claim is being written.
const endTimeout = 20 * time.Second

// onceRequest is one request that is not to be repeated, on its way.
type onceRequest struct {
	entry    *Entry
	view     *View
	kind     document.Kind
	request  query.Request
	id       string
	received time.Time
}

// once answers a request that is not to be repeated.
func (e *Entry) once(ctx context.Context, view *View, kind document.Kind, request query.Request, id string, received time.Time) *answer.Answer {
	o := &onceRequest{entry: e, view: view, kind: kind, request: request, id: id, received: received}
	ctx, cancel := context.WithDeadline(ctx, received.Add(kind.Deadline))
	defer cancel()
	switch {
	case request.Key == "" || len(request.Key) > query.MaximumKey || strings.ContainsAny(request.Key, "\r\n\x00"):
		return o.refuse(refusal{code: answer.CodeKeyMissing, message: "this kind of work needs a request key of 1 to 200 bytes"})
	case claim.IsTicket(request.Key):
		return o.byTicket(ctx)
	default:
		return o.byClaim(ctx)
	}
}

func (o *onceRequest) refuse(why refusal) *answer.Answer {
	return o.entry.refuse(o.view, o.request, o.id, o.received, why)
}

// unknown builds the answer to a request that may or may not have run.
func (o *onceRequest) unknown(code answer.Code, message string, retry bool) *answer.Answer {
	o.entry.record(timeline.RequestAnswered, o.id, string(code))
	a := o.entry.blank(o.view, o.request, o.id, o.received)
	a.Status = answer.Unknown
	a.Error = &answer.Error{Code: code, Message: message, Retry: retry}
	return a
}

// byTicket runs the request here if this process issued its ticket, and else
// hands it to the one that did.
func (o *onceRequest) byTicket(ctx context.Context) *answer.Answer {
	ticket, err := claim.ParseTicket(o.request.Key)
	if err != nil {
		return o.refuse(refusal{code: answer.CodeTicketUnknown, message: "the key is not a ticket"})
	}
	config := o.entry.config
	if ticket.VM == config.VM && ticket.Incarnation == config.Incarnation {
		return o.byOwnTicket(ctx, ticket)
	}
	return o.forward(ctx, ticket.VM, ticket.Incarnation)
}

func (o *onceRequest) byOwnTicket(ctx context.Context, ticket claim.Ticket) *answer.Answer {
	e := o.entry
	if !e.issuer.Genuine(o.request.Key) {
		return o.refuse(refusal{code: answer.CodeTicketUnknown, message: "this node did not issue the ticket"})
	}
	age := time.Since(ticket.Issued)
	if _, begun := e.runs.Find(o.request.Key); !begun && age > claim.TicketLife {
		if age < claim.Retention {
			return o.refuse(refusal{code: answer.CodeTicketUnknown, message: "the ticket has expired unused"})
		}
		return o.unknown(answer.CodeTicketUnknown, "the ticket has expired and its outcome is forgotten", false)
	}
	run, mine := e.runs.Begin(time.Now(), o.request.Key, hashOf(o.request))
	if !mine {
		return o.await(ctx, run)
	}
	return o.start(run, nil)
}

// start runs the request on a goroutine that outlives the caller's connection,
// and waits for it.
func (o *onceRequest) start(run *claim.Run, held *claim.Claim) *answer.Answer {
	go o.loop(run, held)
	return run.Wait(context.Background())
}

// loop runs the request and keeps its outcome. Its caller may hang up: work
// that may have begun is not cut off, so that its outcome becomes known.
func (o *onceRequest) loop(run *claim.Run, held *claim.Claim) {
	o.entry.inProgress.Add(1)
	defer o.entry.inProgress.Add(-1)
	a := o.entry.run(context.Background(), o.view, o.kind, o.request, o.id, o.received)
	a.Node = o.entry.config.VM
	o.entry.runs.End(o.request.Key, run, a)
	if held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := o.entry.config.Claims.End(ctx, *held, a); err != nil {
		o.entry.record(timeline.StoreLost, o.id, err.Error())
	}
}

// await waits for a run that another submission began.
func (o *onceRequest) await(ctx context.Context, run *claim.Run) *answer.Answer {
	if run.Request != hashOf(o.request) {
		return o.refuse(refusal{code: answer.CodeKeyReused, message: "the key was used for another request; this one did not run"})
	}
	a := run.Wait(ctx)
	if a == nil {
		return o.unknown(answer.CodeInProgress, "the request is still in progress under its key", true)
	}
	copied := *a
	return &copied
}

// byClaim claims the caller's own key in the platform and runs the request if
// the claim is won.
func (o *onceRequest) byClaim(ctx context.Context) *answer.Answer {
	e := o.entry
	run, mine := e.runs.Begin(time.Now(), o.request.Key, hashOf(o.request))
	if !mine {
		return o.await(ctx, run)
	}
	held, err := e.config.Claims.Take(ctx, o.request.Key, hashOf(o.request))
	if err == nil && held.Mine {
		return o.start(run, &held)
	}
	a := o.lost(ctx, held, err)
	// This submission ran nothing: the next one under the key asks anew.
	e.runs.Cancel(o.request.Key, run, a)
	return a
}

// lost answers a request whose claim was not won.
func (o *onceRequest) lost(ctx context.Context, held claim.Claim, err error) *answer.Answer {
	switch {
	case err != nil && o.request.First:
		return o.refuse(refusal{answer.CodeStoreDown, "the platform can't be asked for the claim; a ticket from a node works without it", true, time.Second})
	case err != nil:
		return o.unknown(answer.CodeStoreDown, "the platform can't be asked whether the request has run before; it did not run now", true)
	case held.Request != hashOf(o.request):
		return o.refuse(refusal{code: answer.CodeKeyReused, message: "the key was used for another request; this one did not run"})
	case held.Answer != nil:
		return held.Answer
	default:
		return o.forward(ctx, held.Holder.VM, held.Holder.Incarnation)
	}
}

// forward hands the request to the only process that may run it.
func (o *onceRequest) forward(ctx context.Context, vm string, incarnation uint64) *answer.Answer {
	m, found := o.view.Members[vm]
	gone := found && (m.Incarnation > incarnation || m.Incarnation == incarnation && m.State == member.Dead)
	if !found || gone {
		return o.unknown(answer.CodeIssuerGone, "the process that may run the request is gone; it may have run and will not run again", false)
	}
	o.entry.record(timeline.RequestForwarded, o.id, vm)
	a, err := o.ask(ctx, m)
	if err != nil {
		o.entry.config.ReportFailure(vm)
		return o.unknown(answer.CodeGateLost, "the process that may run the request can't be reached; the same key may be sent again", true)
	}
	return a
}

func (o *onceRequest) ask(ctx context.Context, m member.Member) (a *answer.Answer, err error) {
	body, err := json.Marshal(o.request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	deadline, _ := ctx.Deadline()
	call := &wire.Call{Body: &wire.Call_Forward{Forward: &wire.Forward{
		Request:         body,
		RemainingMicros: time.Until(deadline).Microseconds(),
	}}}
	reply, err := o.entry.config.Network.Ask(ctx, m.VM, m.PeerAddress, call)
	if err != nil {
		return nil, err
	}
	a = &answer.Answer{}
	if err := json.Unmarshal(reply.GetForwarded().GetAnswer(), a); err != nil {
		return nil, errors.WithStack(err)
	}
	return a, nil
}

// Forwarded answers a request that another node handed over. It is not handed
// on again.
func (e *Entry) Forwarded(ctx context.Context, forward *wire.Forward) *wire.Forwarded {
	var request query.Request
	if err := json.Unmarshal(forward.GetRequest(), &request); err != nil {
		return &wire.Forwarded{}
	}
	a := e.Answer(ctx, request)
	body, err := json.Marshal(a)
	if err != nil {
		return &wire.Forwarded{}
	}
	return &wire.Forwarded{HttpStatus: uint32(statusOf(a)), Answer: body}
}
