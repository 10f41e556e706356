package relay

import (
	"sync"
	"time"
)

// Weights of the newest delay in the estimates of a wakeupDelay.
const (
	wakeupMeanWeight      = 1.0 / 8
	wakeupDeviationWeight = 1.0 / 4
	// wakeupDeviations is how many mean deviations the estimate lies above the mean.
	wakeupDeviations = 2
	// firstDeviation is the deviation that is expected of a node that has seen no
	// wakeup. It loses its weight with each wakeup seen.
	firstDeviation = 10 * time.Millisecond
)

// wakeupDelay estimates how late a forwarder runs after the time it asked to be
// woken at. On a node without spare processor time that is many milliseconds. It
// is safe for concurrent use.
type wakeupDelay struct {
	mu              sync.Mutex
	mean, deviation time.Duration
}

func newWakeupDelay() wakeupDelay {
	return wakeupDelay{deviation: firstDeviation}
}

// record adds one delay; early wakeups count as 0.
func (d *wakeupDelay) record(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delay = max(delay, 0)
	difference := delay - d.mean
	d.mean += time.Duration(wakeupMeanWeight * float64(difference))
	d.deviation += time.Duration(wakeupDeviationWeight * float64(difference.Abs()-d.deviation))
}

// estimate returns a delay that few wakeups exceed.
func (d *wakeupDelay) estimate() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mean + wakeupDeviations*d.deviation
}
