package quota

import (
	"context"
	"slices"
	"time"

	"github.com/bronzereach/bronzereach/pkg/quota"
	"github.com/bronzereach/bronzereach/pkg/route"
)

// account is what this node knows of the quota of one team.
type account struct {
	team     string
	quota    route.Quota
	version  uint64
	borrower *quota.Borrower
	// waiters are the requests that wait for the borrow in progress, in order of arrival.
	waiters []*waiter
	// borrowing is true while a borrow is in progress.
	borrowing bool
	// lender is the node that was asked last.
	lender string
	// rejected counts the requests that were not granted.
	rejected int
	// loggedExceeded and loggedUnreachable are when the team's last lines were logged.
	loggedExceeded, loggedUnreachable time.Duration
}

// waiter is a request that waits for a verdict.
type waiter struct {
	account *account
	// result receives exactly one value, unless the waiter has left the account.
	result chan result
}

// result is the verdict on a request, with its token if it was granted.
type result struct {
	token   quota.Token
	verdict quota.Verdict
}

// granted returns the result of a request that got a token.
func granted(token quota.Token) result {
	return result{token: token, verdict: quota.Verdict{Outcome: quota.Granted}}
}

// Take asks for a token of a team's quota. It blocks until there is a verdict, until ctx
// ends or until the given time; the verdict is Unknown in the last two cases. A ticket that
// was granted is to be given to Return if the request does not run.
func (m *Manager) Take(ctx context.Context, team *route.Team, until time.Time) (quota.Ticket, quota.Verdict) {
	if m == nil || team == nil {
		return quota.Ticket{}, quota.Verdict{Outcome: quota.Granted}
	}
	q, version := m.quotaOf(team.Name, team.Quota)
	if !q.Limited() {
		return quota.Ticket{}, quota.Verdict{Outcome: quota.Granted}
	}
	r, w := m.request(team.Name, q, version)
	if w != nil {
		r = m.await(ctx, w, until)
	}
	m.metrics.countVerdict(r.verdict.Outcome)
	if r.verdict.Outcome != quota.Granted {
		return quota.Ticket{}, r.verdict
	}
	return quota.Ticket{Team: team.Name, Token: r.token}, r.verdict
}

// request returns the verdict if there is one at once, and otherwise a waiter.
func (m *Manager) request(team string, q route.Quota, version uint64) (result, *waiter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a, now := m.account(team, q, version), m.config.Now()
	a.borrower.AddDemand(now)
	if r, ok := m.decide(now, a); ok {
		return r, nil
	}
	w := &waiter{account: a, result: make(chan result, 1)}
	a.waiters = append(a.waiters, w)
	if !a.borrowing {
		a.borrowing = true
		go (&borrow{manager: m, account: a}).run()
	}
	return result{}, w
}

// account returns the account of a team with its current quota.
func (m *Manager) account(team string, q route.Quota, version uint64) *account {
	a := m.accounts[team]
	if a == nil {
		a = &account{team: team, borrower: quota.NewBorrower(m.config.Tolerance, m.started)}
		m.accounts[team] = a
	}
	if version >= a.version {
		a.quota, a.version = q, version
		a.borrower.SetQuota(q)
	}
	return a
}

// decide returns the verdict on a request if the lender need not be asked.
func (m *Manager) decide(now time.Duration, a *account) (r result, ok bool) {
	if token, held := a.borrower.Take(now); held {
		return granted(token), true
	}
	if denied, known := a.borrower.Denied(now); denied && known {
		return m.exceeded(now, a), true
	} else if denied {
		return m.unknown(now, a), true
	}
	if !m.lender.Lends(now, a.team) {
		return result{}, false
	}
	m.noteLender(a, m.config.VM)
	m.settle(now, now, a, m.lend(now, a, 1))
	if token, held := a.borrower.Take(now); held {
		return granted(token), true
	}
	if _, known := a.borrower.Denied(now); known {
		return m.exceeded(now, a), true
	}
	return m.unknown(now, a), true
}

// lend lends tokens of this node's own lender.
func (m *Manager) lend(now time.Duration, a *account, want int) quota.Loan {
	return m.lendTo(now, quota.Demand{Team: a.team, Want: want, Quota: a.quota, Version: a.version})
}

// settle passes a loan to the borrower.
func (m *Manager) settle(now, asked time.Duration, a *account, loan quota.Loan) {
	switch {
	case !loan.Lender:
		a.borrower.Lose(now, loan.Settles)
	case loan.Granted > 0:
		a.borrower.Add(now, asked, loan.Granted)
	default:
		a.borrower.Deny(now, loan.Wait)
	}
}

// exceeded returns the verdict on a request beyond the quota.
func (m *Manager) exceeded(now time.Duration, a *account) result {
	a.rejected++
	m.logExceeded(now, a)
	wait := a.borrower.RetryAfter(now, max(1, len(m.candidates)))
	return result{verdict: quota.Verdict{Outcome: quota.Exceeded, Wait: wait}}
}

// unknown returns the verdict if the lender could not be asked: granted if the node has
// some of its reserve left.
func (m *Manager) unknown(now time.Duration, a *account) result {
	if token, ok := a.borrower.Reserve(now, m.reserveNodes); ok {
		return granted(token)
	}
	a.rejected++
	return result{verdict: a.borrower.UnknownVerdict(now, max(1, len(m.candidates)))}
}

// await waits for the verdict on a request. A token that it gets too late is returned.
func (m *Manager) await(ctx context.Context, w *waiter, until time.Time) result {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case r := <-w.result:
		return r
	case <-ctx.Done():
	case <-timer.C:
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	a := w.account
	select {
	case r := <-w.result:
		if r.verdict.Outcome == quota.Granted {
			a.borrower.Return(m.config.Now(), r.token)
		}
	default:
		a.waiters = slices.DeleteFunc(a.waiters, func(other *waiter) bool { return other == w })
	}
	return result{verdict: quota.UnknownVerdict()}
}

// Return gives back the token of a request that did not run.
func (m *Manager) Return(ticket quota.Ticket) {
	if m == nil || ticket.Team == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if a := m.accounts[ticket.Team]; a != nil {
		a.borrower.Return(m.config.Now(), ticket.Token)
	}
}
