package relay

import (
	"slices"
	"time"

	"github.com/bronzereach/bronzereach/pkg/fairness"
)

// outlook tells whether enough services can take a request before it would be given up.
type outlook struct {
	servable bool
	// reason is why not, and retryAfter when enough of them might.
	reason     Reason
	retryAfter time.Duration
	// forecast is the latest of the turns that would come too late, and cause whose
	// waiters are ahead there.
	forecast fairness.Forecast
	cause    aheadCause
}

// newOutlook returns the outlook of a request that needs the given number of services.
// left is the time until the request is given up, usual the delay for callers if nothing
// tells a better one.
func newOutlook(services []availability, required int, left, usual time.Duration) outlook {
	o := outlook{reason: ReasonNoUpstream, retryAfter: usual}
	var waits []time.Duration
	for _, a := range services {
		switch {
		case a.usable > 0 && a.rateWait >= left:
			// A caller who returns then still has to wait, but not for too long.
			o.reason = moreTelling(o.reason, ReasonRateLimited)
			waits = append(waits, max(usual, a.rateWait-left))
		case a.usable > 0 && a.forecast.TooLate():
			// By then those that are ahead have had their turns.
			o.reason = moreTelling(o.reason, ReasonOverloaded)
			waits = append(waits, a.forecast.Wait())
			if a.forecast.Wait() > o.forecast.Wait() {
				o.forecast, o.cause = a.forecast, a.cause
			}
		case a.usable > 0:
			required--
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

// moreTelling returns that of two reasons that tells a caller more of when it can be served.
func moreTelling(a, b Reason) Reason {
	for _, reason := range []Reason{ReasonBackingOff, ReasonRateLimited, ReasonOverloaded} {
		if a == reason || b == reason {
			return reason
		}
	}
	return a
}

// outlook returns the outlook of the request. With a forecast it takes into account those
// that wait already.
func (f *forwarder) outlook(now time.Time, withForecast bool) outlook {
	services := make([]availability, 0, len(f.shards))
	next := f.waiter(0)
	next.place = f.place()
	for i := range f.shards {
		s := f.shards[i].service
		if s == nil {
			continue
		}
		a := s.availability(now, next.place)
		if withForecast {
			a.forecast, a.cause = s.turn(now, next)
		}
		services = append(services, a)
	}
	return newOutlook(services, f.plan.requiredShards, next.grantBy.Sub(now), f.plan.retryAfter)
}

// refuseUnservable returns a refusal if too few of the services can take the request
// before it would be given up, and nil otherwise.
func (f *forwarder) refuseUnservable(now time.Time) *Answer {
	o := f.outlook(now, f.hasTeams)
	if o.servable {
		return nil
	}
	if o.reason == ReasonOverloaded {
		f.recordForecastRefusal(now, o)
	}
	return refusal(o.reason, max(o.retryAfter, minRetryAfter))
}

// recordForecastRefusal counts and logs a refusal by the forecast.
func (f *forwarder) recordForecastRefusal(now time.Time, o outlook) {
	f.relay.Metrics.forecastRefusals.WithLabelValues(string(o.cause)).Inc()
	skipped, ok := f.relay.logLimiter.allow(now, false)
	if !ok {
		return
	}
	p := f.place()
	f.relay.config.Log.Info("forecastRefused", "requestID", f.request.ID, "team", p.team, "rank", p.rank,
		"cause", string(o.cause), "ahead", o.forecast.Ahead, "slots", o.forecast.Slots,
		"slotMicros", o.forecast.SlotTime.Microseconds(), "waitMs", o.forecast.Wait().Milliseconds(),
		"leftMs", f.plan.grantBy().Sub(now).Milliseconds(), "retryAfterMs", o.retryAfter.Milliseconds(),
		"early", f.early, "linesSkipped", skipped)
}

// retryDelay returns the retry delay told to a caller whose request was refused.
func (f *forwarder) retryDelay(now time.Time) time.Duration {
	if o := f.outlook(now, false); !o.servable && o.reason == ReasonBackingOff {
		return max(o.retryAfter, minRetryAfter)
	}
	return max(f.retryAfter, minRetryAfter)
}
