package quota

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/quota"
)

const (
	// borrowTimeout is how long the lender may take to answer. Requests wait for it.
	borrowTimeout = 50 * time.Millisecond
	// maxWait bounds the time that a lender tells to wait for a token.
	maxWait = 5 * time.Second
)

// ErrUnsupported is returned by Peers if the node ended the call without an answer, as builds
// do that don't know it.
var ErrUnsupported = errors.New("the node ended the call without an answer")

// borrow asks the lender of a team for tokens until no request waits any more.
type borrow struct {
	manager *Manager
	account *account
}

// run performs the borrow.
func (b *borrow) run() {
	for b.round() {
	}
}

// round asks the lender once and reports whether requests still wait.
func (b *borrow) round() bool {
	m, a := b.manager, b.account
	m.mu.Lock()
	asked := m.config.Now()
	want := a.borrower.Want(asked, len(a.waiters))
	lender := quota.Choose(a.team, m.candidates)
	if len(a.waiters) == 0 {
		a.borrowing = false
		m.mu.Unlock()
		return false
	}
	m.noteLender(a, lender)
	message := &wire.Borrow{Team: a.team, Want: uint32(min(want, maxWant)), PerSecond: a.quota.PerSecond, Burst: a.quota.Burst, ConfigVersion: a.version}
	m.mu.Unlock()

	var lent *wire.Lent
	err := errNoLender
	if lender != "" && lender != m.config.VM {
		lent, err = b.ask(lender, message)
	}

	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Now()
	m.outdated.note(now, lender, err)
	if lender == m.config.VM {
		m.settle(now, asked, a, m.lend(now, a, len(a.waiters)))
	} else {
		m.settle(now, asked, a, m.loanOf(now, a, message.GetWant(), lent, err))
	}
	b.answerWaiters(now)
	a.borrowing = len(a.waiters) > 0
	return a.borrowing
}

// errNoLender is the error if no member can be the lender.
var errNoLender = errors.New("no member is known that lends tokens")

// ask sends the message to the lender.
func (b *borrow) ask(lender string, message *wire.Borrow) (*wire.Lent, error) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	return b.manager.config.Peers.Borrow(ctx, lender, message)
}

// loanOf converts the lender's answer, and counts it.
func (m *Manager) loanOf(now time.Duration, a *account, want uint32, lent *wire.Lent, err error) quota.Loan {
	switch {
	case err != nil:
		m.metrics.countBorrow(borrowFailed)
		m.logUnreachable(now, a, err)
		return quota.Loan{}
	case !lent.GetLender():
		m.metrics.countBorrow(borrowNotLender)
		return quota.Loan{Settles: boundedWait(lent)}
	case lent.GetGranted() > 0:
		m.metrics.countBorrow(borrowGranted)
	default:
		m.metrics.countBorrow(borrowDenied)
	}
	return quota.Loan{
		Granted: int(min(lent.GetGranted(), want)),
		Wait:    boundedWait(lent),
		Lender:  true,
	}
}

// boundedWait returns the wait that an answer names, as far as it can be true.
func boundedWait(lent *wire.Lent) time.Duration {
	return time.Duration(min(max(0, lent.GetWaitMicros()), maxWait.Microseconds())) * time.Microsecond
}

// answerWaiters gives tokens to the waiters in order of arrival. If the lender denied
// tokens or could not be asked, the others are refused.
func (b *borrow) answerWaiters(now time.Duration) {
	m, a := b.manager, b.account
	for len(a.waiters) > 0 {
		r := result{}
		token, ok := a.borrower.Take(now)
		denied, known := a.borrower.Denied(now)
		switch {
		case ok:
			r = granted(token)
		case denied && known:
			r = m.exceeded(now, a)
		case denied:
			r = m.unknown(now, a)
		default:
			return
		}
		a.waiters[0].result <- r
		a.waiters = a.waiters[1:]
	}
}
