package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bronzereach/bronzereach/pkg/answer"
	"github.com/bronzereach/bronzereach/pkg/document"
	"github.com/bronzereach/bronzereach/pkg/query"
)

// leavingRetryAfter is the retry delay told to callers that are refused because the
// node leaves: other nodes can serve them at once.
const leavingRetryAfter = 10 * time.Millisecond

// shutdown is how far an entry has shut down.
type shutdown struct {
	// closed is true once no request is taken any more.
	closed atomic.Bool
	// ending ends when all requests in progress must be answered; end ends it.
	ending context.Context
	end    context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// Leave has nothing to prepare: callers' deadlines are short compared with the time
// that a node has to shut down.
func (e *Entry) Leave(time.Time) {}

// CloseAdmission refuses all further requests.
func (e *Entry) CloseAdmission() {
	e.shutdown.closed.Store(true)
}

// AnswerNow answers all requests in progress with what is known of them.
func (e *Entry) AnswerNow() {
	e.CloseAdmission()
	e.shutdown.end()
}

// withEnding returns a context that also ends when requests must be answered.
func (s *shutdown) withEnding(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(s.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// refuseLeaving refuses a request because the node no longer takes any. Whether one with
// a key has run before is not looked up.
func (e *Entry) refuseLeaving(view *View, kind document.Kind, request query.Request, id string, received time.Time) *answer.Answer {
	a := e.refuse(view, request, id, received, refusal{answer.CodeLeaving, "this node is shutting down; others serve", true, leavingRetryAfter})
	if !kind.Repeatable {
		a.Status = answer.Unknown
	}
	return a
}
