// Package admission decides how much of each rank's offered load is admitted,
// so that whole requests are refused early and all shards agree without
// talking about a single request.
package admission

import (
	"math"
	"time"
)

// MaximumRanks is the largest number of ranks of a document.
const MaximumRanks = 8

// Constants of the controller.
const (
	// window is the time constant of the averages.
	window = 250 * time.Millisecond
	// drainTime is the time in which work that already waits is to be done.
	drainTime = 500 * time.Millisecond
	// target is the admitted work as a fraction of the capacity. It is above 1,
	// since an index takes the least of what its services admit, each of which
	// errs; what waits takes the excess back.
	target = 1.1
	// minimumFraction keeps a trickle of each rank, so that its offered load
	// stays known.
	minimumFraction = 0.002
)

// Load is the demand on one service by rank, in requests a second.
type Load [MaximumRanks]float64

// Fractions is the share of each rank's requests that is admitted, 0 to 1.
type Fractions [MaximumRanks]float32

// Everything admits all requests of all ranks.
func AdmitAll() Fractions {
	var f Fractions
	for i := range f {
		f[i] = 1
	}
	return f
}

// Divide shares capacity (requests a second) out to the ranks: each receives
// its floor (a fraction of capacity) if it asks for that much, and what is
// left goes to the most urgent first.
func DivideCapacity(capacity float64, offered Load, floors []float64) (fractions Fractions) {
	var granted Load
	left := capacity
	for rank, floor := range floors {
		granted[rank] = min(offered[rank], floor*capacity)
		left -= granted[rank]
	}
	for rank := range floors {
		more := min(offered[rank]-granted[rank], max(0, left))
		granted[rank] += more
		left -= more
	}
	fractions = AdmitAll()
	for rank := range floors {
		if offered[rank] > 0 {
			fractions[rank] = float32(max(minimumFraction, min(1, granted[rank]/offered[rank])))
		}
	}
	return fractions
}

// Meter learns one service's offered load. It is not safe for concurrent use.
type Meter struct {
	// arrived holds the weights that came since the last tick, by rank.
	arrived Load
	offered Load
	last    time.Time
}

// Arrive notes a request of the rank that stands for weight requests of the
// offered load.
func (m *Meter) RecordRequest(rank int, weight float64) {
	m.arrived[rank] += weight
}

// Tick averages what came since the last tick and returns what is to be
// admitted, given the capacity in requests a second (0 if it is not known) and
// the requests that wait, by rank.
func (m *Meter) Tick(now time.Time, capacity float64, waiting Load, floors []float64) Fractions {
	elapsed := now.Sub(m.last)
	first := m.last.IsZero()
	m.last = now
	if first || elapsed <= 0 {
		return AdmitAll()
	}
	keep := math.Exp(-elapsed.Seconds() / window.Seconds())
	for rank := range m.offered {
		rate := m.arrived[rank] / elapsed.Seconds()
		m.offered[rank] = keep*m.offered[rank] + (1-keep)*rate
		m.arrived[rank] = 0
	}
	if capacity == 0 {
		return AdmitAll()
	}
	return m.drain(DivideCapacity(target*capacity, m.offered, floors), capacity, waiting)
}

// drain admits less of the ranks that already have more waiting than the
// slots need to stay busy.
func (m *Meter) drain(fractions Fractions, capacity float64, waiting Load) Fractions {
	allowed := allowedWait.Seconds() * capacity
	for rank := range fractions {
		if m.offered[rank] == 0 {
			continue
		}
		excess := max(0, waiting[rank]-allowed) / drainTime.Seconds()
		granted := float64(fractions[rank]) * m.offered[rank]
		fractions[rank] = float32(max(minimumFraction, (granted-excess)/m.offered[rank]))
	}
	return fractions
}

// allowedWait is the work that may wait in one rank, as time of the whole
// capacity.
const allowedWait = 60 * time.Millisecond

// Offered returns the averaged offered load.
func (m *Meter) Offered() Load {
	return m.offered
}

// Admitted decides one request: all who know its hash and the fraction come to
// the same result.
func Admitted(requestHash uint64, fraction float32) bool {
	return float64(requestHash)/float64(math.MaxUint64) < float64(fraction)
}
