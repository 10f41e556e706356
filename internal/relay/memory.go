package relay

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/pkg/memory"
)

const (
	// attemptBytes is what each service of a request takes, with the first smallReplyBytes
	// of a reply's body and the first smallHeadBytes of its head.
	attemptBytes    = 8 * memory.Kilobyte
	smallReplyBytes = 4 * memory.Kilobyte
	smallHeadBytes  = 2 << 10
	// headFactor is what a head takes when it has been parsed, by its length.
	headFactor = 4
)

// ReplyBytes returns what a reply takes with a head and a body of the given lengths.
func ReplyBytes(head, body int) memory.Bytes {
	return headFactor*memory.Bytes(max(head-smallHeadBytes, 0)) + max(memory.Bytes(body)-smallReplyBytes, 0)
}

// Admit takes the memory that a request of the caller, an IP address, needs besides its body.
// It returns a refusal if there is none, and the answer if the table has teams and the caller
// no valid key. In any case the request must be released once its answer has been written.
func (r *Relay) Admit(request *Request, caller string) *Answer {
	request.match(r.Table())
	if answer := request.refuseUnread(); answer != nil {
		request.setDefaultDeadline()
		r.recordAnswer(request, answer)
		return answer
	}
	request.caller = caller
	if r.config.Memory == nil {
		return nil
	}
	needed, urgent := memory.RequestBytes+attemptBytes, false
	if matched := request.Route; matched != nil {
		needed = memory.RequestBytes + attemptBytes*memory.Bytes(max(len(matched.Shards), 1))
		urgent = request.Rank() == 0
	}
	request.scope = memory.NewScope()
	request.lease = r.config.Memory.Open(memory.Holder{
		Kind:   memory.Requests,
		Groups: []memory.Group{memory.RequestsOf(caller)},
		Urgent: urgent,
	})
	err := request.lease.Reserve(needed, request.Received.Add(memory.AdmissionTimeout))
	request.scope.Add(request.lease)
	if err != nil {
		return r.refuseMemory(request, err)
	}
	return nil
}

// ReadBody reads the body of an admitted request. It returns a refusal if there is no memory
// for it, or an error if the body can't be read.
func (r *Relay) ReadBody(request *Request, body memory.Body) (refused *Answer, err error) {
	request.Body, err = request.lease.ReadBody(body)
	if memory.IsDenied(err) {
		return r.refuseMemory(request, err), nil
	}
	return nil, err
}

// refuseMemory refuses a request that has been sent to no upstream.
func (r *Relay) refuseMemory(request *Request, cause error) *Answer {
	answer := refusal(ReasonNoMemory, memory.RetryAfter)
	r.recordAnswer(request, answer)
	r.logMemory("requestDeniedMemory", request, request.lease, cause)
	return answer
}

// logMemory logs that a lease of a request was denied memory or had to give it back.
func (r *Relay) logMemory(message string, request *Request, lease *memory.Lease, cause error, values ...any) {
	skipped, ok := r.logLimiter.allow(time.Now(), false)
	if !ok {
		return
	}
	values = append(values, "requestID", request.ID, "cause", cause.Error(), "heldBytes", int64(lease.Held()),
		"kindBytes", int64(r.config.Memory.Held(lease.Kind())), "sizeBytes", int64(r.config.Memory.Size()), "linesSkipped", skipped)
	r.config.Log.Info(message, values...)
}

// Deliver tells that the answer is being written: its caller answers for the memory of the
// replies from now on, not the upstreams. end makes writing fail if others need the memory.
func (r *Request) Deliver(end func()) {
	r.scope.Deliver(memory.AnswersTo(r.caller), end)
}

// Progressed tells that the caller has read a part of the answer.
func (r *Request) Progressed() {
	r.scope.Progressed()
}

// Delivered tells that the answer has been written, or given up.
func (r *Request) Delivered() {
	r.scope.Delivered()
}

// Release gives back what the request holds once nobody uses it any more.
func (r *Request) Release() {
	r.scope.Release()
}

// openLease opens the lease of an attempt's reply. The reply to a request that must not be
// repeated can't be had again.
func (a *attempt) openLease() {
	a.lease = *a.service.relay.config.Memory.Open(memory.Holder{
		Kind:      memory.Replies,
		Groups:    a.upstreamReplica.Data.groups,
		Urgent:    a.request.Rank() == 0,
		Essential: !a.request.Route.Idempotent,
	})
}

// giveUpReply returns how an attempt ended whose reply could not be read for the reason err.
func (a *attempt) giveUpReply(err error) forwarderEvent {
	e := forwarderEvent{run: MayHaveRun, reason: ReasonBrokenReply}
	if a.lease.Revoked() {
		err = memory.ErrRevoked
	}
	switch {
	case errors.Is(err, memory.ErrExhausted):
		e.reason = ReasonNoMemory
	case memory.IsDenied(err):
		e.reason = ReasonOversized
	default:
		return e
	}
	a.service.relay.logMemory("replyDeniedMemory", a.request, &a.lease, err,
		"service", a.service.name, "upstream", a.upstreamReplica.Data.registration.ID, "ageMs", time.Since(a.started).Milliseconds())
	return e
}

// settleLease closes the lease of an attempt without a reply. That of a reply is closed with
// its request.
func (a *attempt) settleLease(reply *Reply) {
	if reply == nil {
		a.lease.Close()
		return
	}
	a.lease.OnRevoke(nil)
	a.request.scope.Add(&a.lease)
}

// endConnection closes the connection, as the reply takes memory that others need.
func (a *attempt) endConnection() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.connection != nil {
		a.connection.close()
	}
}
