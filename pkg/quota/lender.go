package quota

import (
	"slices"
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
)

const (
	// fullTakeoverWait is how long a new lender of a large quota lends nothing unless the
	// others confirm it. Within less time both sides notice a split, and all know a new
	// member.
	fullTakeoverWait = 3 * time.Second
	// maxSilence is the time without Update after which the process counts as suspended:
	// others may have found another lender.
	maxSilence = time.Second
	// majority is the share above which no other part of the cluster has more.
	majority = 0.5
	// historyTime and maxHistory bound the sets of candidates that are kept.
	historyTime = time.Minute
	maxHistory  = 16
	// maxNodeSpread bounds how much later than the next token a denied node asks again. It
	// refuses its callers until then, although tokens may be left if others need fewer.
	maxNodeSpread = 500 * time.Millisecond
	// idleTime is how long a bucket that is full is kept without requests.
	idleTime = time.Minute
)

// Demand asks for tokens of a team.
type Demand struct {
	Team string
	Want int
	// Quota is that of a version of the configuration.
	Quota   route.Quota
	Version uint64
}

// Loan answers a Demand.
type Loan struct {
	Granted int
	// Wait is how long the asker is to wait before it asks again; 0 if tokens were granted or
	// the node is not the lender. If Lender is false it is the rest of the takeover.
	Wait time.Duration
	// Lender is false if the node is not the lender of the team, or not yet.
	Lender bool
	// Settles is, during a takeover, the time until the node may lend if others confirm it.
	Settles time.Duration
	// Began tells, in the first answer after the node has begun to lend, by which rule.
	Began Rule
}

// candidateSet is the candidates from a time on.
type candidateSet struct {
	since      time.Duration
	candidates []string
}

// account is the bucket of a team.
type account struct {
	bucket  *Bucket
	quota   route.Quota
	version uint64
	// lendsFrom is when the node may lend the first token.
	lendsFrom time.Duration
	// settlesAt is until when only a part of the quota is lent, see settleShare; 0 if all
	// is lent.
	settlesAt time.Duration
	// yieldsAt is until when the node lends although it is not the lender any more, unless
	// it has confirmed another one; 0 if it is the lender.
	yieldsAt  time.Duration
	lastAsked time.Duration
	promises  promises
	// confirmations are those of other members that lendsFrom need not be awaited.
	confirmations confirmations
	// rule is by which the node began to lend if the next Loan is to tell it.
	rule Rule
}

// Lender lends the tokens of the teams that its node is the lender of.
type Lender struct {
	self      string
	tolerance Tolerance
	// updated is the time of the last Update; share and alone are its arguments.
	updated time.Duration
	share   float64
	alone   bool
	// asked is the time of the last Questions.
	asked time.Duration
	// history holds the candidates, the current ones last. The first entry begins when the
	// node started, was suspended last, or got contact with more members while it was in
	// contact with a minority: another node may have lent the same quota until then.
	history  []candidateSet
	accounts map[string]*account
}

// NewLender returns a lender that lends nothing before its first Update.
func NewLender(self string, tolerance Tolerance) *Lender {
	return &Lender{self: self, tolerance: tolerance, accounts: map[string]*account{}}
}

// Update takes over the candidates, the share of the quotas that may be lent, and whether
// the node is alone, see Reach. It is to be called several times a second.
func (l *Lender) Update(now time.Duration, candidates []string, share float64, alone bool) {
	candidates = slices.Sorted(slices.Values(candidates))
	restarted := len(l.history) == 0 || now-l.updated >= maxSilence || l.share <= majority && share > l.share
	changed := restarted || !slices.Equal(l.history[len(l.history)-1].candidates, candidates)
	l.updated, l.alone = now, alone
	if restarted {
		l.history, l.accounts = nil, map[string]*account{}
	}
	if changed {
		l.history = append(l.history, candidateSet{since: now, candidates: candidates})
	}
	for len(l.history) > maxHistory || len(l.history) > 1 && now-l.history[1].since >= historyTime {
		l.history = l.history[1:]
	}
	l.yieldOthers(now)
	if share != l.share {
		l.share = share
		for _, a := range l.accounts {
			l.setLimit(now, a)
		}
	}
}

// yieldOthers drops the buckets of teams that the node is not the lender of, or has not been
// meanwhile. From one that it lends of it does so for a little longer.
func (l *Lender) yieldOthers(now time.Duration) {
	for team, a := range l.accounts {
		leads := l.Leads(team)
		switch {
		case a.yieldsAt == 0 && leads:
		case a.yieldsAt == 0 && now >= a.lendsFrom:
			a.yieldsAt = now + yieldTime
		case leads || now >= a.yieldsAt:
			delete(l.accounts, team)
		}
	}
}

// DropIdle drops the buckets of teams that have not been asked for. A new one would hold
// as much.
func (l *Lender) DropIdle(now time.Duration) {
	for team, a := range l.accounts {
		if now-a.lastAsked >= idleTime && (!a.quota.Limited() || a.bucket.isFull(now)) {
			delete(l.accounts, team)
		}
	}
}

// Leads reports whether the node is the lender of a team by the current candidates.
func (l *Lender) Leads(team string) bool {
	return len(l.history) > 0 && Choose(team, l.history[len(l.history)-1].candidates) == l.self
}

// Lends reports whether the node is the lender of a team, or still lends its tokens.
func (l *Lender) Lends(now time.Duration, team string) bool {
	a := l.accounts[team]
	return l.Leads(team) || a != nil && now < a.yieldsAt
}

// Lend lends tokens.
func (l *Lender) Lend(now time.Duration, d Demand) Loan {
	if now-l.updated >= maxSilence || l.share <= 0 || !l.Lends(now, d.Team) {
		return Loan{}
	}
	a := l.account(now, d)
	if now < a.lendsFrom {
		return Loan{Wait: a.lendsFrom - now, Settles: max(0, a.confirmations.earliest-now)}
	}
	began := a.rule
	a.rule = Unchanged
	if !a.quota.Limited() {
		return Loan{Granted: d.Want, Lender: true, Began: began}
	}
	if granted := a.bucket.Take(now, d.Want); granted > 0 || d.Want == 0 {
		return Loan{Granted: granted, Lender: true, Began: began}
	}
	gap := seconds(1 / (a.quota.PerSecond * l.share))
	return Loan{Wait: a.promises.wait(now, now+a.bucket.Wait(now), gap, maxNodeSpread), Lender: true, Began: began}
}

// account returns the bucket of a team with the quota of the highest version heard of.
func (l *Lender) account(now time.Duration, d Demand) *account {
	a := l.accounts[d.Team]
	if a == nil {
		lendsFrom, c := l.takeover(now, d)
		a = &account{bucket: l.newBucket(lendsFrom, d.Team, d.Quota), quota: d.Quota, version: d.Version, lendsFrom: lendsFrom, confirmations: c}
		if now < lendsFrom {
			a.rule = Waited
		}
		l.setLimit(lendsFrom, a)
		l.accounts[d.Team] = a
	}
	a.lastAsked = now
	if a.settlesAt > 0 && now >= a.settlesAt {
		a.settlesAt = 0
		l.setLimit(now, a)
	}
	if d.Version > a.version {
		a.quota, a.version = d.Quota, d.Version
		l.setLimit(now, a)
	}
	return a
}

// newBucket returns the empty bucket of a team.
func (l *Lender) newBucket(at time.Duration, team string, q route.Quota) *Bucket {
	missing := 0.0
	if l.tolerance.depth(q)*l.share < 1 {
		missing = phase(team, l.self)
	}
	return NewBucket(at, missing)
}

// setLimit sets the limits of a bucket to the share of its quota.
func (l *Lender) setLimit(now time.Duration, a *account) {
	q, share := a.quota, l.share
	if a.settlesAt > 0 {
		q.Burst, share = 0, share*settleShare
	}
	a.bucket.SetLimit(now, q.PerSecond*share, l.tolerance.depth(q)*share)
}

// takeover returns from when on the node may lend tokens of a team, and by which
// confirmations earlier: it must have been the lender for a while.
func (l *Lender) takeover(now time.Duration, d Demand) (lendsFrom time.Duration, c confirmations) {
	i := len(l.history) - 1
	for i > 0 && Choose(d.Team, l.history[i-1].candidates) == l.self {
		i--
	}
	since, started := l.history[i].since, l.history[0].since
	c = confirmations{earliest: max(since, started+settleTime), asked: now - askInterval, given: map[string]time.Duration{}}
	if now < started+fullTakeoverWait {
		c.settlesAt = started + fullTakeoverWait
	}
	switch {
	case l.alone || !d.Quota.Limited():
		lendsFrom = since
	case i == 0:
		lendsFrom = since + fullTakeoverWait
	default:
		lendsFrom = since + l.tolerance.takeoverWait(d.Quota)
	}
	return lendsFrom, c
}
