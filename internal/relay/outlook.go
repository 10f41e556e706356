package relay

import (
	"slices"
	"time"
)

// outlook tells whether enough services can take a request before it would be given up.
type outlook struct {
	servable bool
	// reason is why not, and retryAfter when enough of them might.
	reason     Reason
	retryAfter time.Duration
}

// newOutlook returns the outlook of a request that needs the given number of services.
// left is the time until the request is given up, usual the delay for callers if nothing
// tells a better one.
func newOutlook(services []availability, required int, left, usual time.Duration) outlook {
	o := outlook{reason: ReasonNoUpstream, retryAfter: usual}
	var waits []time.Duration
	for _, a := range services {
		switch {
		case a.usable > 0 && a.rateWait < left:
			required--
		case a.usable > 0:
			// A caller who returns then still has to wait, but not for too long.
			if o.reason != ReasonBackingOff {
				o.reason = ReasonRateLimited
			}
			waits = append(waits, max(usual, a.rateWait-left))
		case a.backsOff:
			o.reason = ReasonBackingOff
			waits = append(waits, a.untilUsable)
		case a.untilUsable > 0:
			waits = append(waits, min(usual, a.untilUsable))
		}
	}
	o.servable = required <= 0
	if o.servable || len(waits) < required {
		return o
	}
	slices.Sort(waits)
	o.retryAfter = waits[required-1]
	return o
}

// outlook returns the outlook of the request.
func (f *forwarder) outlook(now time.Time) outlook {
	services := make([]availability, 0, len(f.shards))
	for i := range f.shards {
		if s := f.shards[i].service; s != nil {
			services = append(services, s.availability(now, f.request.Rank()))
		}
	}
	return newOutlook(services, f.plan.requiredShards, f.plan.grantBy().Sub(now), f.plan.retryAfter)
}

// refuseUnservable returns a refusal if too few of the services can take the request
// before it would be given up, and nil otherwise.
func (f *forwarder) refuseUnservable() *Answer {
	o := f.outlook(time.Now())
	if o.servable {
		return nil
	}
	return refusal(o.reason, max(o.retryAfter, minRetryAfter))
}

// retryDelay returns the retry delay told to a caller whose request was refused.
func (f *forwarder) retryDelay(now time.Time) time.Duration {
	if o := f.outlook(now); !o.servable && o.reason == ReasonBackingOff {
		return max(o.retryAfter, minRetryAfter)
	}
	return max(f.retryAfter, minRetryAfter)
}
