package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// settleTime is how long after its start, that is its first exchange with another
	// member, a node lends nothing although others confirm that it is the lender: it may
	// not know all members yet.
	settleTime = time.Second
	// settleShare is the share of a quota that a node lends, without its burst, which began
	// within fullTakeoverWait of its start. The nodes of a part of the cluster that have
	// all started anew can't know of another part that does the same: two such parts exceed
	// the quota by at most 30% for that time.
	settleShare = 0.65
	// yieldTime is how long a former lender lends on unless it has confirmed another one,
	// so that there is one while the new one asks.
	yieldTime = 500 * time.Millisecond
	// askInterval is the time between two questions about the same team.
	askInterval = 100 * time.Millisecond
	// roundInterval is the shortest time between two rounds of questions. Teams that get
	// requests meanwhile share the next one.
	roundInterval = 10 * time.Millisecond
	// confirmationTime is how long after its question a confirmation counts.
	confirmationTime = time.Second
	// maxTeams is the number of teams in one question.
	maxTeams = 64
)

// Question asks a member whether it takes this node for the lender of teams.
type Question struct {
	Member string
	Teams  []string
}

// Answer answers a Question.
type Answer struct {
	// Confirmed holds for each team whether the asker is confirmed as its lender.
	Confirmed []bool
	// Settled is true if the member has known the others for fullTakeoverWait.
	Settled bool
}

// Rule tells why a new lender began to lend.
type Rule uint8

// The rules.
const (
	// Unchanged means that the lender has not just begun to lend.
	Unchanged Rule = iota
	// Confirmed means that all other candidates have confirmed the lender.
	Confirmed
	// Waited means that the time is over in which another node may have lent.
	Waited
)

// String returns the rule's name.
func (r Rule) String() string {
	return [...]string{"unchanged", "confirmed", "waited"}[r]
}

// confirmations are those that a new lender has for a team.
type confirmations struct {
	// earliest is the time from which on confirmations suffice to lend.
	earliest time.Duration
	// settlesAt is until when the node has just started and nobody who has settled has
	// confirmed it; 0 if that is not so.
	settlesAt time.Duration
	// asked is when members were asked last, and askedLenders true if those were the ones
	// that may be lending the team.
	asked        time.Duration
	askedLenders bool
	// given holds, by member, when the question was asked that it answered.
	given map[string]time.Duration
}

// Questions returns the questions to be asked now. There are none but about teams that
// the node would lend tokens of if others confirmed it.
func (l *Lender) Questions(now time.Duration) (questions []Question) {
	if l.share <= 0 || now-l.updated >= maxSilence || now-l.asked < roundInterval {
		return nil
	}
	l.asked = now
	teams := map[string][]string{}
	for team, a := range l.accounts {
		c := &a.confirmations
		if now >= a.lendsFrom || now < c.earliest || now-c.asked < askInterval {
			continue
		}
		c.asked = now
		members, lenders := l.toAsk(now, team, a)
		c.askedLenders = lenders
		for _, member := range members {
			teams[member] = append(teams[member], team)
		}
	}
	for member, asked := range teams {
		slices.Sort(asked)
		for part := range slices.Chunk(asked, maxTeams) {
			questions = append(questions, Question{Member: member, Teams: part})
		}
	}
	slices.SortStableFunc(questions, func(a, b Question) int { return cmp.Compare(a.Member, b.Member) })
	return questions
}

// Answer returns for each team whether this node confirms that the asker is the lender. It
// does so only by current members of which it takes the asker for the lender. It then lends
// nothing itself, and no other node gets its confirmation while its members stay.
func (l *Lender) Answer(now time.Duration, asker string, teams []string) Answer {
	confirmed := make([]bool, len(teams))
	if l.share <= 0 || now-l.updated >= maxSilence {
		return Answer{Confirmed: confirmed}
	}
	for i, team := range teams {
		confirmed[i] = Choose(team, l.history[len(l.history)-1].candidates) == asker
		if confirmed[i] {
			delete(l.accounts, team)
		}
	}
	return Answer{Confirmed: confirmed, Settled: now-l.history[0].since >= fullTakeoverWait}
}

// NotLending returns the answer that stands for a process that lends nothing because it has
// ended or doesn't keep quotas.
func NotLending(teams int) Answer {
	return Answer{Confirmed: slices.Repeat([]bool{true}, teams)}
}

// Confirm takes over the answer of a member to a question that was asked at the time asked,
// and begins to lend the teams that all have confirmed.
func (l *Lender) Confirm(now, asked time.Duration, q Question, answer Answer) {
	if now-asked >= confirmationTime || now-l.updated >= maxSilence {
		return
	}
	for i, team := range q.Teams {
		a := l.accounts[team]
		if a == nil || a.yieldsAt > 0 || now >= a.lendsFrom {
			continue
		}
		if i >= len(answer.Confirmed) || !answer.Confirmed[i] {
			delete(a.confirmations.given, q.Member)
			continue
		}
		a.confirmations.note(q.Member, asked, answer)
		l.proceed(now, team, a)
	}
}

// note notes that a member has confirmed the lender.
func (c *confirmations) note(member string, asked time.Duration, answer Answer) {
	c.given[member] = max(asked, c.given[member])
	if answer.Settled {
		c.settlesAt = 0
	}
}

// proceed begins to lend a team if all have confirmed, or makes those due that are to be
// asked last. If all who have confirmed have just started, and know of missing members,
// these may have a lender that none of them knows.
func (l *Lender) proceed(now time.Duration, team string, a *account) {
	c := &a.confirmations
	members, lenders := l.toAsk(now, team, a)
	switch {
	case len(l.others(now, team)) > 0 && len(members) == 0 && now >= c.earliest && (c.settlesAt == 0 || l.share >= 1):
		l.begin(now, team, a)
	case lenders && !c.askedLenders:
		c.asked = now - askInterval
	}
}

// begin starts to lend a team that all have confirmed, from an empty bucket.
func (l *Lender) begin(now time.Duration, team string, a *account) {
	a.settlesAt, a.lendsFrom, a.rule = a.confirmations.settlesAt, now, Confirmed
	a.bucket = l.newBucket(now, team, a.quota)
	l.setLimit(now, a)
}

// missing returns the members that have not confirmed that the node is the lender of a
// team.
func (l *Lender) missing(now time.Duration, team string, a *account) (members []string) {
	for _, member := range l.others(now, team) {
		if asked, given := a.confirmations.given[member]; !given || now-asked >= confirmationTime {
			members = append(members, member)
		}
	}
	return members
}

// toAsk returns the members to ask about a team now. Those that may be lending it, its
// lenders by earlier candidates and the one that would be without this node, are asked only
// once all others have confirmed, because they stop lending when they confirm. lenders is
// true if these are the ones returned.
func (l *Lender) toAsk(now time.Duration, team string, a *account) (members []string, lenders bool) {
	missing, last := l.missing(now, team, a), l.formers(now, team)
	candidates := slices.Clone(l.history[len(l.history)-1].candidates)
	last = append(last, Choose(team, slices.DeleteFunc(candidates, func(c string) bool { return c == l.self })))
	first := slices.DeleteFunc(slices.Clone(missing), func(member string) bool { return slices.Contains(last, member) })
	if len(first) > 0 {
		return first, false
	}
	return missing, true
}

// others returns the members that may lend a team: the other candidates, and the lenders
// by the sets of candidates of the time in which another node may not know a change.
func (l *Lender) others(now time.Duration, team string) (members []string) {
	last := len(l.history) - 1
	for _, candidate := range l.history[last].candidates {
		if candidate != l.self {
			members = append(members, candidate)
		}
	}
	for _, former := range l.formers(now, team) {
		if !slices.Contains(members, former) {
			members = append(members, former)
		}
	}
	return members
}

// formers returns the other lenders of a team by the sets of candidates of the time in
// which another node may not know a change.
func (l *Lender) formers(now time.Duration, team string) (members []string) {
	for i := len(l.history) - 1; i > 0 && now-l.history[i].since < fullTakeoverWait; i-- {
		former := Choose(team, l.history[i-1].candidates)
		if former != l.self && former != "" && !slices.Contains(members, former) {
			members = append(members, former)
		}
	}
	return members
}
