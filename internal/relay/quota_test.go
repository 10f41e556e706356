package relay

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/bronzereach/bronzereach/pkg/quota"
	"github.com/bronzereach/bronzereach/pkg/route"
)

// fakeQuotas gives the same verdict on all requests.
type fakeQuotas struct {
	verdict         quota.Verdict
	taken, returned int
}

func (q *fakeQuotas) Take(context.Context, *route.Team, time.Time) (quota.Ticket, quota.Verdict) {
	q.taken++
	return quota.Ticket{Team: "team"}, q.verdict
}

func (q *fakeQuotas) Return(quota.Ticket) {
	q.returned++
}

// preparingProtocol counts the requests that it is asked to prepare.
type preparingProtocol struct {
	Protocol
	prepared int
}

func (p *preparingProtocol) Prepare(*Request) (PreparedRequest, error) {
	p.prepared++
	return PreparedRequest{}, nil
}

// TestQuotaOfATeam guards against work for requests beyond a quota, against tokens that
// requests keep that did not run, and against a quota of requests without a team.
func TestQuotaOfATeam(t *testing.T) {
	teams := []route.Team{{Name: "team", Keys: []string{"key"}, Quota: route.Quota{PerSecond: 1}}}
	for _, test := range []struct {
		teams                     []route.Team
		verdict                   quota.Verdict
		outcome                   Outcome
		reason                    Reason
		prepared, taken, returned int
	}{
		{nil, quota.Verdict{Outcome: quota.Exceeded}, Refused, ReasonNoUpstream, 1, 0, 0},
		{teams, quota.Verdict{Outcome: quota.Granted}, Refused, ReasonNoUpstream, 1, 1, 1},
		{teams, quota.Verdict{Outcome: quota.Exceeded, Wait: time.Second}, OverQuota, ReasonOverQuota, 0, 1, 0},
		{teams, quota.Verdict{Outcome: quota.Unknown, Wait: time.Second}, Refused, ReasonQuotaUnknown, 0, 1, 0},
	} {
		quotas, protocol := &fakeQuotas{verdict: test.verdict}, &preparingProtocol{}
		r := New(Config{Protocol: protocol, Quotas: quotas, Fleet: func() Fleet { return Fleet{Serving: 1, Serves: true} }, Log: logr.Discard()})
		r.SetTable(route.NewTable(route.Config{Version: 7, Routes: []route.Route{{Host: "h", Prefix: "/", Targets: []route.Target{{Service: "s", Weight: 1}}, Attempts: 1}}, Teams: test.teams}))
		answer := r.Do(context.Background(), &Request{Host: "h", Path: "/", Target: "/", Received: time.Now(), Key: "key"})
		if answer.Outcome != test.outcome || answer.Reason != test.reason || answer.Run != NotRun || answer.ConfigVersion != 7 {
			t.Errorf("%v: %+v", test.verdict, answer)
		}
		if test.verdict.Wait > 0 && answer.RetryAfter != test.verdict.Wait {
			t.Errorf("%v: the caller is told to wait %v", test.verdict, answer.RetryAfter)
		}
		if protocol.prepared != test.prepared || quotas.taken != test.taken || quotas.returned != test.returned {
			t.Errorf("%v: %d prepared, %d taken, %d returned", test.verdict, protocol.prepared, quotas.taken, quotas.returned)
		}
	}
}
