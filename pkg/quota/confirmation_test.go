package quota

import (
	"testing"
	"time"
)

// TestAllMustConfirm guards against a new lender that lends without the confirmation of a
// candidate or of the former lender, or by an answer that is late or from before its start.
func TestAllMustConfirm(t *testing.T) {
	others := []string{"b", "c", "d"}
	team := testTeam
	for Choose(team, append([]string{"a"}, others...)) != "a" {
		team += "x"
	}
	start := func() (*Lender, Demand) {
		l, d := NewLender("a", testTolerance), large
		d.Team = team
		l.Update(0, append([]string{"a"}, others...), 1, false)
		l.Update(settleTime/2, append([]string{"a"}, others...), 1, false)
		l.Update(settleTime, append([]string{"a"}, others...), 1, false)
		l.Lend(settleTime, d)
		return l, d
	}
	yes, at := Answer{Confirmed: []bool{true}, Settled: true}, settleTime+10*time.Millisecond
	for _, test := range []struct {
		name  string
		last  Answer
		asked time.Duration
		lends bool
	}{
		{"all", yes, settleTime, true},
		{"one refuses", Answer{Confirmed: []bool{false}}, settleTime, false},
		{"one without answer", Answer{}, settleTime, false},
		{"late answer", yes, at - confirmationTime, false},
	} {
		l, d := start()
		asked := map[string]bool{}
		for _, q := range l.Questions(settleTime) {
			asked[q.Member] = true
		}
		if len(asked) != 2 {
			t.Errorf("%v are asked first, want all but the lender without this node", asked)
		}
		for i, member := range others {
			answer, when := yes, settleTime
			if i == len(others)-1 {
				answer, when = test.last, test.asked
			}
			l.Confirm(at, when, Question{Member: member, Teams: []string{team}}, answer)
		}
		loan := l.Lend(at+100*time.Millisecond, d)
		if loan.Lender != test.lends || test.lends && (loan.Began != Confirmed || loan.Granted != 1) {
			t.Errorf("%s: %+v", test.name, loan)
		}
	}
}
