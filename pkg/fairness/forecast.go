package fairness

import "time"

const (
	// forecastMargin is the fraction of the forecast wait that must exceed the time left
	// before a request is refused. The durations of attempts vary, and waiters ahead may
	// leave.
	forecastMargin = 0.8
	// standingShare is the share of the time until a request is late that a standing
	// backlog may take. With more, the shards of a query get their replicas so late that
	// some of them miss it, and the work of the others is lost.
	standingShare = 0.5
)

// Forecast tells when a new waiter's turn comes.
type Forecast struct {
	// Ahead is the number of waiters that go before it.
	Ahead int
	// SlotTime is the mean time for which a request occupies a slot, and Slots the number
	// of slots that this node may use; 0 if they are not known.
	SlotTime time.Duration
	Slots    int
	// Left is the time until the request is given up, and InTime that until it is late:
	// from then on it goes behind those that are not.
	Left, InTime time.Duration
	// Backlog is how long somebody has been waiting without a break.
	Backlog time.Duration
}

// Wait returns the time until the waiters ahead have got their slots; 0 if it is not known.
func (f Forecast) Wait() time.Duration {
	if f.Slots <= 0 || f.Ahead <= 0 {
		return 0
	}
	return time.Duration(float64(f.Ahead) * float64(f.SlotTime) / float64(f.Slots))
}

// limit returns the longest wait with which the request is expected to be served. A backlog
// that has lasted as long as the request has time is no passing one: as long as more arrive
// than are served, a request that is late has no turn any more.
func (f Forecast) limit() time.Duration {
	if f.InTime > 0 && f.Backlog > f.InTime {
		return min(f.Left, time.Duration(standingShare*float64(f.InTime)))
	}
	return f.Left
}

// TooLate reports whether the turn can't come in time, with a margin: a wrong refusal costs
// a caller its answer. The first in line is never too late.
func (f Forecast) TooLate() bool {
	wait := f.Wait()
	return wait > 0 && time.Duration(forecastMargin*float64(wait)) > f.limit()
}
