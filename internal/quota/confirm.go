package quota

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/quota"
)

const (
	// confirmTimeout is how long a member may take to confirm a lender. It may have to be
	// dialled first.
	confirmTimeout = 200 * time.Millisecond
	// maxAnsweredTeams bounds the teams of a question that are answered. Nodes ask about
	// fewer at once.
	maxAnsweredTeams = 1024
)

// lendTo lends tokens, and asks the other members if that needs their confirmation. The
// lock must be held.
func (m *Manager) lendTo(now time.Duration, d quota.Demand) quota.Loan {
	loan := m.lender.Lend(now, d)
	m.logBegan(d.Team, loan.Began)
	if !loan.Lender && loan.Wait > 0 {
		m.askMembers(now)
	}
	return loan
}

// askMembers sends the questions that are due. The lock must be held.
func (m *Manager) askMembers(now time.Duration) {
	for _, q := range m.lender.Questions(now) {
		go (&question{manager: m, question: q, asked: now}).run()
	}
}

// question asks one member whether this node is the lender of teams.
type question struct {
	manager  *Manager
	question quota.Question
	asked    time.Duration
}

// run sends the question and takes over the answer.
func (q *question) run() {
	m := q.manager
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	reply, err := m.config.Peers.Leads(ctx, q.question.Member, &wire.Leads{Teams: q.question.Teams, From: m.config.VM})
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.config.Now()
	m.outdated.note(now, q.question.Member, err)
	m.lender.Confirm(now, q.asked, q.question, m.answerOf(q.question, reply, err))
	m.askMembers(now)
}

// answerOf converts the answer to a question. A process that has ended lends nothing, nor
// does one of a build that doesn't know quotas. A single call that ends without an answer
// may have been cut off, and tells nothing.
func (m *Manager) answerOf(q quota.Question, reply *wire.LeadsReply, err error) quota.Answer {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), m.outdated.has(q.Member):
		return quota.NotLending(len(q.Teams))
	case err != nil:
		return quota.Answer{}
	}
	return quota.Answer{Confirmed: reply.GetConfirmed(), Settled: reply.GetSettled()}
}

// HandleLeads answers another node that asks whether it is the lender of teams.
func (m *Manager) HandleLeads(message *wire.Leads) *wire.LeadsReply {
	teams := message.GetTeams()
	teams = teams[:min(len(teams), maxAnsweredTeams)]
	answer := quota.NotLending(len(teams))
	if m != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		answer = m.lender.Answer(m.config.Now(), message.GetFrom(), teams)
	}
	return &wire.LeadsReply{Confirmed: answer.Confirmed, Settled: answer.Settled}
}
