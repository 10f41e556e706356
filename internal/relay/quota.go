package relay

import (
	"context"
	"time"

	"github.com/bronzereach/bronzereach/pkg/quota"
	"github.com/bronzereach/bronzereach/pkg/route"
)

// Quotas keeps the quotas of teams over all nodes.
type Quotas interface {
	// Take asks for a token of a team's quota. It blocks until there is a verdict, ctx
	// ends or the time has come.
	Take(ctx context.Context, team *route.Team, until time.Time) (quota.Ticket, quota.Verdict)
	// Return gives back the token of a request that did not run.
	Return(ticket quota.Ticket)
}

// takeQuota takes a token of the quota of the request's team, if it has one. The answer is
// nil if the request may be sent.
func (r *Relay) takeQuota(ctx context.Context, request *Request) (quota.Ticket, *Answer) {
	if r.config.Quotas == nil || request.Team == nil {
		return quota.Ticket{}, nil
	}
	ticket, verdict := r.config.Quotas.Take(ctx, request.Team, request.answerDeadline())
	switch verdict.Outcome {
	case quota.Granted:
		return ticket, nil
	case quota.Exceeded:
		return quota.Ticket{}, &Answer{Outcome: OverQuota, Reason: ReasonOverQuota, Run: NotRun, RetryAfter: verdict.Wait}
	default:
		return quota.Ticket{}, refusal(ReasonQuotaUnknown, verdict.Wait)
	}
}

// returnQuota gives back the token of a request that did not run, if it took one.
func (r *Relay) returnQuota(ticket quota.Ticket, answer *Answer) {
	if ticket != (quota.Ticket{}) && answer.Run == NotRun {
		r.config.Quotas.Return(ticket)
	}
}
