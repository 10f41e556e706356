package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Constants of fair shares.
const (
	// shareWindow is the time between two looks at the rates.
	shareWindow = 250 * time.Millisecond
	// shareKeep is the weight of the old rate in the average.
	shareKeep = 0.5
	// shareForget is the rate below which a claimant is forgotten, in requests a
	// second.
	shareForget = 0.05
	// maximumClaimants bounds the claimants told apart; others share one row.
	maximumClaimants = 1024
)

// Claimant is who shares a rank: a kind of work and a caller.
type Claimant struct {
	Kind   string
	Caller string
}

// claim is one row of Shares.
type claim struct {
	count  float64
	rate   float64
	weight float64
}

// Shares divides what a rank is granted among its claimants: who asks for less
// than a fair share gets all of it, and what is left goes to the others by
// weight. It is not safe for concurrent use.
type FairShares struct {
	rows map[Claimant]*claim
	// level is the rate granted for a weight of 1; infinite while all is granted.
	level float64
	since time.Time
}

// NewShares returns shares without claimants.
func NewFairShares() *FairShares {
	return &FairShares{rows: map[Claimant]*claim{}, level: math.Inf(1)}
}

// Fraction notes a request of the claimant and returns how much of what it
// asks for is admitted, given that of its whole rank.
func (s *FairShares) Fraction(now time.Time, who Claimant, weight float64, rank float32) float32 {
	row, found := s.rows[who]
	if !found {
		if len(s.rows) >= maximumClaimants {
			who = Claimant{}
			row = s.rows[who]
		}
		if row == nil {
			row = &claim{weight: weight}
			s.rows[who] = row
		}
	}
	row.count++
	if elapsed := now.Sub(s.since); elapsed >= shareWindow {
		s.since = now
		s.learn(elapsed, rank)
	}
	if rank >= 1 || math.IsInf(s.level, 1) || row.rate == 0 {
		return rank
	}
	return float32(min(1, s.level*row.weight/row.rate))
}

// learn brings the rates and the level up to date.
func (s *FairShares) learn(elapsed time.Duration, rank float32) {
	total := 0.0
	for who, row := range s.rows {
		row.rate = shareKeep*row.rate + (1-shareKeep)*row.count/elapsed.Seconds()
		row.count = 0
		if row.rate < shareForget {
			delete(s.rows, who)
			continue
		}
		total += row.rate
	}
	s.level = level(s.rows, total*float64(rank))
}

// level is the rate for a weight of 1 at which the claimants, each limited to
// what it asks for, use up the budget.
func level(rows map[Claimant]*claim, budget float64) float64 {
	sorted := make([]*claim, 0, len(rows))
	weights := 0.0
	for _, row := range rows {
		sorted = append(sorted, row)
		weights += row.weight
	}
	slices.SortFunc(sorted, func(a, b *claim) int { return cmp.Compare(a.rate/a.weight, b.rate/b.weight) })
	for _, row := range sorted {
		fair := budget / weights
		if row.rate/row.weight > fair {
			return fair
		}
		budget -= row.rate
		weights -= row.weight
	}
	return math.Inf(1)
}
