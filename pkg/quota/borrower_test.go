package quota

import (
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/route"
)

func newTestBorrower(perSecond float64) *Borrower {
	b := NewBorrower(testTolerance, 0)
	b.SetQuota(route.Quota{PerSecond: perSecond})
	return b
}

// TestLifetimeFitsTheTolerance guards against tokens that are held so long that a window
// holds more than the tolerance allows of the tokens lent before it.
func TestLifetimeFitsTheTolerance(t *testing.T) {
	for _, perSecond := range []float64{0.1, 1, 5, 30, 1000} {
		q := route.Quota{PerSecond: perSecond}
		lifetime := testTolerance.Lifetime(q)
		if held := perSecond * lifetime.Seconds(); lifetime <= 0 || lifetime > time.Second || held > testTolerance.part(q, holdingEighths)+1e-6 {
			t.Errorf("%v a second: %v, in which %v are lent", perSecond, lifetime, held)
		}
	}
	if (Tolerance{Window: DefaultWindow}).Lifetime(route.Quota{PerSecond: 1}) != 0 {
		t.Error("tokens are held although the settings allow nothing beyond the quota")
	}
}

// TestTokensExpire guards against the use of tokens that were lent long ago, also if they
// were given back. One that arrives late can be used at once.
func TestTokensExpire(t *testing.T) {
	b := newTestBorrower(1)
	b.Add(10*time.Millisecond, 0, 2)
	token, ok := b.Take(time.Second)
	if !ok {
		t.Error("a token can't be used within its lifetime")
	}
	b.Return(time.Second+1, token)
	if _, ok := b.Take(time.Second + 1); ok {
		t.Error("a token is used after its lifetime")
	}
	b.Add(5*time.Second, 3*time.Second, 1)
	if _, ok := b.Take(5 * time.Second); !ok {
		t.Error("a token that came late can't be used")
	}
}

// TestReserve guards against a reserve that is used again within a window, by a new process
// of the node too.
func TestReserve(t *testing.T) {
	b := newTestBorrower(2)
	// (20 + 0.1 x 2 x 5) / 2 / 4 = 2.6
	for _, step := range []struct {
		at   time.Duration
		want bool
	}{
		{DefaultWindow - 1, false},
		{DefaultWindow, true},
		{2*DefaultWindow - 1, true},
		{2 * DefaultWindow, false},
		{3*DefaultWindow - 2, false},
		{3*DefaultWindow - 1, true},
	} {
		if _, ok := b.Reserve(step.at, 4); ok != step.want {
			t.Errorf("at %v: %v, want %v", step.at, ok, step.want)
		}
	}
	if _, ok := newTestBorrower(2).Reserve(time.Hour, 0); ok {
		t.Error("a node that has no reserve uses it")
	}
}

// TestWantFollowsDemand guards against a call per request of a large team, and against
// tokens that a small team's node holds but does not need.
func TestWantFollowsDemand(t *testing.T) {
	for perSecond, want := range map[int]int{1: 1, 1000: 60} {
		b := newTestBorrower(float64(perSecond))
		for i := range 5 * perSecond {
			b.AddDemand(time.Duration(i) * time.Second / time.Duration(perSecond))
		}
		if got := b.Want(5*time.Second, 1); got < want || got > want+10 {
			t.Errorf("at %d a second a node asks for %d tokens, want about %d", perSecond, got, want)
		}
	}
}
