package relay

import (
	"time"

	"github.com/bronzereach/bronzereach/pkg/replica"
)

// hedgeDelays estimates for each route how long a reply may take before its
// attempt counts as a straggler.
type hedgeDelays struct {
	*perRoute[replica.HedgeDelayEstimator]
}

func newHedgeDelays() hedgeDelays {
	return hedgeDelays{newPerRoute(replica.NewHedgeDelayEstimator)}
}

// get returns the hedge delay of a route; 0 if it is not known yet.
func (d hedgeDelays) get(name string) (delay time.Duration) {
	d.update(name, func(estimator *replica.HedgeDelayEstimator) {
		estimator.Tick(time.Now())
		delay, _ = estimator.Delay()
	})
	return delay
}

// add records how long a successful reply took.
func (d hedgeDelays) add(name string, elapsed time.Duration) {
	d.update(name, func(estimator *replica.HedgeDelayEstimator) { estimator.Record(elapsed) })
}
