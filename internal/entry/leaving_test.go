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
	"github.com/bronzereach/bronzereach/pkg/query"
)

// newLeavingEntry returns an entry whose batches are in progress until the test ends;
// served is closed once one is.
func newLeavingEntry(t *testing.T) (e *Entry, served chan struct{}) {
	const vm, process = "vm-1", 7
	recorder := timeline.NewRecorder(vm, logr.Discard())
	self := member.Member{VM: vm, Incarnation: 1, State: member.Ready, PeerAddress: "127.0.0.1:1"}
	view := &View{Document: parseOrders(t, 20*time.Second), Self: self, Members: map[string]member.Member{vm: self}}
	served = make(chan struct{})
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	e = New(Config{
		VM: vm, Process: process, Recorder: recorder,
		Network: peer.NewNetwork(peer.Config{VM: vm, Process: process, Clock: recorder.Clock}),
		View:    func() *View { return view },
		Serve: func(context.Context, *wire.Batch, func(*wire.SubReply)) {
			close(served)
			<-ended
		},
		ReportFailure: func(string) {},
		Direct:        true,
	})
	return e, served
}

// TestInterruptedRunIsNotRefused checks that a request whose run is in progress as the
// node ends is not answered 503, which callers take for "not run".
func TestInterruptedRunIsNotRefused(t *testing.T) {
	e, served := newLeavingEntry(t)
	go func() {
		<-served
		e.AnswerNow(time.Now())
	}()
	a := e.Answer(context.Background(), query.Request{Kind: "order", Key: e.issuer.Issue(time.Now(), 1)[0]})
	if status := httpStatus(a); status == http.StatusServiceUnavailable {
		t.Errorf("HTTP status %d, status %v, error %+v of a request that has been handed to its gate", status, a.Status, a.Error)
	}
}

// TestLeavingEntryTakesOnlyWhatItCanAnswer checks that a request that can't be answered
// before the process may be killed is refused, not run and interrupted.
func TestLeavingEntryTakesOnlyWhatItCanAnswer(t *testing.T) {
	e, _ := newLeavingEntry(t)
	e.Leave(time.Now().Add(200 * time.Millisecond))
	time.AfterFunc(200*time.Millisecond, func() { e.AnswerNow(time.Now()) })
	a := e.Answer(context.Background(), query.Request{Kind: "order", Key: e.issuer.Issue(time.Now(), 1)[0]})
	if a.Status != answer.NotRun {
		t.Errorf("a request with a deadline of 20 s, received 200 ms before the end, has status %v, error %+v", a.Status, a.Error)
	}
}
