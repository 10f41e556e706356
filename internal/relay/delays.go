package relay

import (
	"time"

	"github.com/bronzereach/bronzereach/pkg/replica"
)

// delays learns for each route after what time a reply counts as a straggler.
type delays struct {
	*perRoute[replica.HedgeDelayEstimator]
}

func newDelays() delays {
	return delays{newPerRoute(replica.NewHedgeDelayEstimator)}
}

// get returns the delay of a route; 0 if it is not known yet.
func (d delays) get(name string) (delay time.Duration) {
	d.use(name, func(learner *replica.HedgeDelayEstimator) {
		learner.Tick(time.Now())
		delay, _ = learner.Delay()
	})
	return delay
}

// add notes the time of a reply.
func (d delays) add(name string, took time.Duration) {
	d.use(name, func(learner *replica.HedgeDelayEstimator) { learner.Record(took) })
}
