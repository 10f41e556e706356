package node

import (
	"context"

	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/member"
)

// Handle serves a call from another node.
func (n *Node) Handle(ctx context.Context, call *wire.Call, send func(*wire.Reply) error) {
	switch body := call.GetBody().(type) {
	case *wire.Call_Batch:
		n.handleBatch(ctx, body.Batch, send)
	case *wire.Call_Describe:
		reports := n.gates.Describe(ctx, body.Describe.GetServices())
		reply(send, &wire.Reply{Body: &wire.Reply_Described{Described: &wire.Described{Reports: reports}}})
	case *wire.Call_Exchange:
		n.handleExchange(ctx, body.Exchange, send)
	case *wire.Call_Probe:
		n.handleProbe(ctx, body.Probe, send)
	case *wire.Call_Fetch:
		n.handleFetch(ctx, body.Fetch, send)
	case *wire.Call_FetchUpstreams:
		n.handleFetchUpstreams(body.FetchUpstreams, send)
	case *wire.Call_Forward:
		forwarded := n.entry.Forwarded(ctx, body.Forward)
		reply(send, &wire.Reply{Body: &wire.Reply_Forwarded{Forwarded: forwarded}})
	case *wire.Call_Release:
		reply(send, &wire.Reply{Body: &wire.Reply_Released{Released: n.release(body.Release)}})
	case *wire.Call_Borrow:
		reply(send, &wire.Reply{Body: &wire.Reply_Lent{Lent: n.quotas.Handle(body.Borrow)}})
	case *wire.Call_Leads:
		reply(send, &wire.Reply{Body: &wire.Reply_Leads{Leads: n.quotas.HandleLeads(body.Leads)}})
	}
}

// reply sends a single reply. An error is ignored: the calling node sees its
// stream end.
func reply(send func(*wire.Reply) error, message *wire.Reply) {
	_ = send(message)
}

// release releases a service to its next gate, or only reports the requests in flight.
func (n *Node) release(message *wire.Release) *wire.Released {
	if message.GetOnlyReport() {
		return &wire.Released{InFlight: n.gates.InFlight(message.GetService())}
	}
	return &wire.Released{InFlight: n.gates.Release(message.GetService(), message.GetTo())}
}

// handleBatch serves a batch from another node. If the batch names a lost gate that
// this node can reach, this node relays the batch to that gate rather than serve it
// as the standby.
func (n *Node) handleBatch(ctx context.Context, batch *wire.Batch, send func(*wire.Reply) error) {
	n.recorder.Record(timeline.Event{
		Name:      timeline.BatchReceived,
		RequestID: batch.GetRequestId(),
	})
	if lostGate := batch.GetLostGate(); lostGate != "" && !n.isUnreachable(ctx, lostGate) {
		n.relayBatch(ctx, batch, lostGate, send)
		return
	}
	n.serveBatch(ctx, batch, func(sub *wire.SubReply) {
		reply(send, &wire.Reply{Body: &wire.Reply_SubReply{SubReply: sub}})
	})
}

// relayBatch forwards a batch to a gate that the entry node can't reach but this
// node can, and returns the replies. If the call fails or the gate's stream ends
// early, the stream to the entry node ends too.
func (n *Node) relayBatch(ctx context.Context, batch *wire.Batch, gate string, send func(*wire.Reply) error) {
	batch.LostGate = ""
	m := n.View().Members[gate]
	stream, err := n.network.Call(ctx, gate, m.PeerAddress, &wire.Call{Body: &wire.Call_Batch{Batch: batch}})
	if err != nil {
		n.control.reportFailedCall(gate)
		return
	}
	defer stream.Close()
	for range batch.GetSubRequests() {
		message, err := stream.Receive()
		if err != nil || send(message) != nil {
			return
		}
	}
}

// serveBatch serves a batch from the entry of this node, or from another node by
// way of handleBatch. If the batch names a lost gate, this node acts as the standby
// only if it finds the gate unreachable too; handleBatch has checked that before,
// the entry of this node has not. If the gate can be reached, the sub-requests are
// refused with CodeNotGate unless this node is the gate by now, and the entry sends
// them to the gate again.
func (n *Node) serveBatch(ctx context.Context, batch *wire.Batch, send func(*wire.SubReply)) {
	standby := batch.GetLostGate() != ""
	if standby && !n.isUnreachable(ctx, batch.GetLostGate()) {
		standby, batch.LostGate = false, ""
	}
	n.gates.Serve(ctx, batch, standby, send)
}

// isUnreachable reports whether a member is unknown, suspect or dead, or can't
// be reached from this node.
func (n *Node) isUnreachable(ctx context.Context, vm string) bool {
	m, found := n.View().Members[vm]
	if !found || m.State == member.Dead || m.State == member.Suspect {
		return true
	}
	return !n.network.Reachable(ctx, m.PeerAddress)
}

func (n *Node) handleExchange(ctx context.Context, message *wire.Exchange, send func(*wire.Reply) error) {
	e := exchangeReceived{message: message, reply: make(chan *wire.Exchange, 1)}
	n.control.post(e)
	select {
	case answer := <-e.reply:
		reply(send, &wire.Reply{Body: &wire.Reply_Exchange{Exchange: answer}})
	case <-ctx.Done():
	}
}

// handleProbe tries to reach a member on behalf of a node that could not
// (indirect probe).
func (n *Node) handleProbe(ctx context.Context, probe *wire.Probe, send func(*wire.Reply) error) {
	result := &wire.ProbeResult{}
	if m, found := n.View().Members[probe.GetVm()]; found {
		x := &exchange{control: n.control, partner: m, timeout: exchangeTimeout}
		_, err := x.sendExchange(ctx, &wire.Exchange{From: n.options.VM, ConfigVersion: n.control.version.Load()})
		result.Reached = err == nil
	}
	reply(send, &wire.Reply{Body: &wire.Reply_ProbeResult{ProbeResult: result}})
}

func (n *Node) handleFetch(ctx context.Context, fetch *wire.Fetch, send func(*wire.Reply) error) {
	e := configRequested{known: fetch.GetKnownVersion(), reply: make(chan *wire.Document, 1)}
	n.control.post(e)
	select {
	case document := <-e.reply:
		reply(send, &wire.Reply{Body: &wire.Reply_Document{Document: document}})
	case <-ctx.Done():
	}
}
