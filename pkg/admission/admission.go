// Package admission is the admission control of a service. It determines the
// fraction of the offered load of each rank that is admitted.
//
// A request is admitted or refused as a whole and early: the decision depends
// only on the hash of the request and the fraction, so all shards agree without
// communicating about the request.
package admission

import (
	"math"
	"time"
)

// MaximumRanks is the maximum number of ranks in a configuration document.
const MaximumRanks = 8

// Parameters of the admission controller.
const (
	// averagingTime is the time constant of the moving averages.
	averagingTime = 250 * time.Millisecond
	// drainTime is the time in which an excessive backlog is to be worked off.
	drainTime = 500 * time.Millisecond
	// targetLoad is the admitted load as a fraction of the capacity. It is above
	// 1 because an index admits the smallest fraction that any of its services
	// admits: as each fraction is an estimate with errors, the smallest of them
	// tends to be too low. If too much is admitted, requests queue up and
	// reduceForBacklog reduces the fraction.
	targetLoad = 1.1
	// minimumFraction is the fraction of each rank that is always admitted, so
	// that its offered load can still be measured.
	minimumFraction = 0.002
)

// Load is the load of one service by rank, in requests per second.
type Load [MaximumRanks]float64

// Fractions is the admitted fraction of the requests of each rank, 0 to 1.
type Fractions [MaximumRanks]float32

// AdmitAll returns fractions that admit all requests of all ranks.
func AdmitAll() Fractions {
	var f Fractions
	for i := range f {
		f[i] = 1
	}
	return f
}

// DivideCapacity divides the capacity, in requests per second, among the ranks
// and returns the admitted fractions. Each rank receives its offered load up to
// its floor, a fraction of the capacity. The remaining capacity is assigned to
// the ranks in order of urgency.
func DivideCapacity(capacity float64, offered Load, floors []float64) (fractions Fractions) {
	var granted Load
	remaining := capacity
	for rank, floor := range floors {
		granted[rank] = min(offered[rank], floor*capacity)
		remaining -= granted[rank]
	}
	for rank := range floors {
		extra := min(offered[rank]-granted[rank], max(0, remaining))
		granted[rank] += extra
		remaining -= extra
	}
	fractions = AdmitAll()
	for rank := range floors {
		if offered[rank] > 0 {
			fractions[rank] = float32(max(minimumFraction, min(1, granted[rank]/offered[rank])))
		}
	}
	return fractions
}

// Meter measures the offered load of one service. It is not safe for concurrent
// use.
type Meter struct {
	// arrived is the sum of the request weights since the last tick, by rank.
	arrived Load
	offered Load
	last    time.Time
}

// RecordRequest counts a request of the rank. weight is the number of requests of
// the offered load that it represents.
func (m *Meter) RecordRequest(rank int, weight float64) {
	m.arrived[rank] += weight
}

// Tick updates the offered load with the requests since the last tick and returns
// the fractions to admit. capacity is in requests per second, 0 if it is unknown;
// waiting is the number of waiting requests by rank.
func (m *Meter) Tick(now time.Time, capacity float64, waiting Load, floors []float64) Fractions {
	elapsed := now.Sub(m.last)
	first := m.last.IsZero()
	m.last = now
	if first || elapsed <= 0 {
		return AdmitAll()
	}
	decay := math.Exp(-elapsed.Seconds() / averagingTime.Seconds())
	for rank := range m.offered {
		rate := m.arrived[rank] / elapsed.Seconds()
		m.offered[rank] = decay*m.offered[rank] + (1-decay)*rate
		m.arrived[rank] = 0
	}
	if capacity == 0 {
		return AdmitAll()
	}
	return m.reduceForBacklog(DivideCapacity(targetLoad*capacity, m.offered, floors), capacity, waiting)
}

// reduceForBacklog reduces the fractions of the ranks that have more waiting
// requests than are needed to keep the slots busy.
func (m *Meter) reduceForBacklog(fractions Fractions, capacity float64, waiting Load) Fractions {
	allowed := allowedBacklog.Seconds() * capacity
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

// allowedBacklog is the backlog of one rank that does not reduce its fraction, as
// the time that the whole capacity needs to work it off.
const allowedBacklog = 60 * time.Millisecond

// Offered returns the moving average of the offered load.
func (m *Meter) Offered() Load {
	return m.offered
}

// Admitted reports whether a request is admitted. The result depends only on the
// hash of the request and the fraction, so all nodes agree on it.
func Admitted(requestHash uint64, fraction float32) bool {
	return float64(requestHash)/float64(math.MaxUint64) < float64(fraction)
}
