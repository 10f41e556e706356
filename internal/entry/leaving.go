package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bronzereach/bronzereach/pkg/answer"
)

// leavingRefusal refuses a request because the node leaves: other nodes can serve it.
var leavingRefusal = refusal{answer.CodeLeaving, "this node is shutting down; others serve", true, 10 * time.Millisecond}

// shutdown is how far an entry has shut down.
type shutdown struct {
	// answerBy is when every request must be answered; nil if there is no such time.
	answerBy atomic.Pointer[time.Time]
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

// refuses reports whether a request that needs the given time is refused.
func (s *shutdown) refuses(needed time.Duration) bool {
	if s.closed.Load() {
		return true
	}
	answerBy := s.answerBy.Load()
	return answerBy != nil && time.Now().Add(needed).After(*answerBy)
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

// Leave refuses requests that must not be repeated and might not be answered until
// answerBy; zero if there is no such time. Others are taken, as they can be repeated at
// another node.
func (e *Entry) Leave(answerBy time.Time) {
	if !answerBy.IsZero() {
		e.shutdown.answerBy.Store(&answerBy)
	}
}

// CloseAdmission refuses all further requests.
func (e *Entry) CloseAdmission() {
	e.shutdown.closed.Store(true)
}

// AnswerNow answers all requests in progress with what is known of them.
func (e *Entry) AnswerNow(time.Time) {
	e.CloseAdmission()
	e.shutdown.end()
}
