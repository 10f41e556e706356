package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of FairShares.
const (
	// updateInterval is the minimum time between two updates of the rates.
	updateInterval = 250 * time.Millisecond
	// oldRateWeight is the weight of the old rate in the moving average.
	oldRateWeight = 0.5
	// minimumRate is the rate below which a claimant is removed, in requests per
	// second.
	minimumRate = 0.05
	// maximumClaimants bounds the number of claimants with separate rates; any
	// others are counted together.
	maximumClaimants = 1024
)

// Claimant is a kind of request of one caller. The claimants of a rank share its
// admitted load.
type Claimant struct {
	Kind   string
	Caller string
}

// claimantLoad is the measured load of a claimant.
type claimantLoad struct {
	// count is the number of requests since the last update.
	count float64
	// rate is the moving average in requests per second.
	rate   float64
	weight float64
}

// FairShares divides the admitted load of a rank among its claimants by weighted
// max-min fairness: a claimant that requests less than its fair share is fully
// admitted, and the others share the rest by weight. It is not safe for
// concurrent use.
type FairShares struct {
	claimants map[Claimant]*claimantLoad
	// ratePerWeight is the admitted rate of a claimant with weight 1; infinite
	// while all requests are admitted.
	ratePerWeight float64
	updated       time.Time
}

// NewFairShares returns fair shares without claimants.
func NewFairShares() *FairShares {
	return &FairShares{claimants: map[Claimant]*claimantLoad{}, ratePerWeight: math.Inf(1)}
}

// Fraction counts a request of the claimant and returns the admitted fraction of
// its requests, given the admitted fraction of its rank.
func (s *FairShares) Fraction(now time.Time, claimant Claimant, weight float64, rankFraction float32) float32 {
	load, found := s.claimants[claimant]
	if !found {
		if len(s.claimants) >= maximumClaimants {
			claimant = Claimant{}
			load = s.claimants[claimant]
		}
		if load == nil {
			load = &claimantLoad{weight: weight}
			s.claimants[claimant] = load
		}
	}
	load.count++
	if elapsed := now.Sub(s.updated); elapsed >= updateInterval {
		s.updated = now
		s.update(elapsed, rankFraction)
	}
	if rankFraction >= 1 || math.IsInf(s.ratePerWeight, 1) || load.rate == 0 {
		return rankFraction
	}
	return float32(min(1, s.ratePerWeight*load.weight/load.rate))
}

// update recomputes the rates and ratePerWeight.
func (s *FairShares) update(elapsed time.Duration, rankFraction float32) {
	total := 0.0
	for claimant, load := range s.claimants {
		load.rate = oldRateWeight*load.rate + (1-oldRateWeight)*load.count/elapsed.Seconds()
		load.count = 0
		if load.rate < minimumRate {
			delete(s.claimants, claimant)
			continue
		}
		total += load.rate
	}
	s.ratePerWeight = ratePerWeight(s.claimants, total*float64(rankFraction))
}

// ratePerWeight returns the rate of a claimant with weight 1 at which all
// claimants together use up the budget, none of them above its own rate. It is
// infinite if the budget is enough for all.
func ratePerWeight(claimants map[Claimant]*claimantLoad, budget float64) float64 {
	sorted := make([]*claimantLoad, 0, len(claimants))
	weights := 0.0
	for _, load := range claimants {
		sorted = append(sorted, load)
		weights += load.weight
	}
	slices.SortFunc(sorted, func(a, b *claimantLoad) int { return cmp.Compare(a.rate/a.weight, b.rate/b.weight) })
	for _, load := range sorted {
		fair := budget / weights
		if load.rate/load.weight > fair {
			return fair
		}
		budget -= load.rate
		weights -= load.weight
	}
	return math.Inf(1)
}
