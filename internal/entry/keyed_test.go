package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/internal/peer"
	"github.com/bronzereach/bronzereach/internal/timeline"
	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/member"
	"github.com/bronzereach/bronzereach/pkg/memory"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// TestNoForwardToItself: a ticket that names another process of this VM, as any caller
// may forge one, is answered at once. The node used to forward such a request to
// itself until its deadline.
func TestNoForwardToItself(t *testing.T) {
	const vm, process = "vm-1", 7
	recorder := timeline.NewRecorder(vm, logr.Discard())
	network := peer.NewNetwork(peer.Config{VM: vm, Process: process, Clock: recorder.Clock})
	self := member.Member{VM: vm, Incarnation: 1, State: member.Ready, PeerAddress: "127.0.0.1:1"}
	view := &View{Document: parseOrders(t, 500*time.Millisecond), Self: self, Members: map[string]member.Member{vm: self}}
	e := New(Config{
		VM: vm, Process: process, Recorder: recorder, Network: network,
		View:          func() *View { return view },
		ReportFailure: func(string) {},
	})
	for _, ticket := range []string{"ticket.vm-1.6.1.1.x", "ticket.vm-1.8.1.1.x"} {
		start := time.Now()
		a := e.Answer(context.Background(), query.Request{Kind: "order", Key: ticket, FirstUse: true})
		if a.Status != answer.Unknown || a.Error == nil || a.Error.Code != answer.CodeIssuerGone {
			t.Errorf("%s: status %v, error %+v", ticket, a.Status, a.Error)
		}
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Errorf("%s: the answer took %s", ticket, took)
		}
	}
	if _, _, calls := network.Traffic.Totals(); calls != 0 {
		t.Errorf("%d calls to peers, want none", calls)
	}
}

// TestDroppedAnswerIsTold: whoever submits a request that must not be repeated gets its answer,
// also where none can be kept; a later submission is told that it ran, and does not run it.
func TestDroppedAnswerIsTold(t *testing.T) {
	const vm, process = "vm-1", 7
	recorder := timeline.NewRecorder(vm, logr.Discard())
	self := member.Member{VM: vm, Incarnation: 1, State: member.Ready, PeerAddress: "127.0.0.1:1"}
	view := &View{Document: parseOrders(t, time.Second), Self: self, Members: map[string]member.Member{vm: self}}
	runs := 0
	e := New(Config{
		VM: vm, Process: process, Recorder: recorder, Network: peer.NewNetwork(peer.Config{VM: vm, Process: process, Clock: recorder.Clock}),
		View: func() *View { return view }, ReportFailure: func(string) {}, Direct: true, OutcomeMemory: 4 * memory.Kilobyte,
		Serve: func(ctx context.Context, batch *wire.Batch, send func(*wire.SubReply)) {
			runs++
			serveLong(ctx, batch, send)
		},
	})
	request := query.Request{Kind: "order", Query: query.Text("long"), Key: e.issuer.Issue(time.Now(), 1)[0]}
	first, second := e.Answer(t.Context(), request), e.Answer(t.Context(), request)
	if first.Status != answer.RanOnce || len(first.Records) != longRecords {
		t.Errorf("the first submission got %s with %d records, %+v", first.Status, len(first.Records), first.Error)
	}
	if second.Status != answer.RanOnce || second.Error == nil || second.Error.Code != answer.CodeAnswerGone || httpStatus(second) != http.StatusGone {
		t.Errorf("the second submission got %s, %+v", second.Status, second.Error)
	}
	if runs != 1 {
		t.Errorf("it ran %d times", runs)
	}
}
