package replica

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the pacing of attempts at replicas that have named a rate limit.
const (
	// rateBurstTime is the time for which an unused share of a limit is kept. In any
	// span all nodes together thus start at most what the limit allows in the span and
	// this time.
	rateBurstTime = time.Second
	// minimumRateLimit is the least number of attempts a second that all nodes make at
	// a replica, whatever it names: only a reply tells that the limit has ended.
	minimumRateLimit = 1.0
	// rateWaitMargin is added to the time until an attempt is allowed, so that
	// rounding can't make it end too soon.
	rateWaitMargin = time.Millisecond
)

// RateLimit is the number of requests a second that an upstream accepts from all
// nodes together. The zero value is no limit.
type RateLimit struct {
	perSecond float64
	limited   bool
}

// NewRateLimit returns a limit; perSecond is at least 0 and finite.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit{perSecond: perSecond, limited: true}
}

// PerSecond returns the limit; limited is false if there is none.
func (l RateLimit) PerSecond() (perSecond float64, limited bool) {
	return l.perSecond, l.limited
}

// pacer spaces this node's attempts at a replica by its share of the replica's rate
// limit, or of that of cold replicas if it is lower. It is a token bucket; the zero value
// has no limit.
type pacer struct {
	// limit is the one that the upstream named last.
	limit RateLimit
	cold  coldPace
	// coldPaced is true if the limit of cold replicas applied at the last update.
	coldPaced bool
	// tokens is the number of attempts that were allowed at the time refilled.
	tokens   float64
	refilled time.Time
}

// setLimit replaces the limit and reports whether it is another one than before. A
// first limit starts with a random part of a token: many nodes hear of it at the same
// time, and each of a large fleet is allowed an attempt only once in a while.
func (p *pacer) setLimit(limit RateLimit, now time.Time, random *rand.Rand) (changed bool) {
	if p.limit == limit {
		return false
	}
	if !p.limit.limited {
		p.tokens, p.refilled = random.Float64(), now
	}
	p.limit = limit
	return true
}

// rate returns the attempts a second that a node with the given share of the limit may
// make, and how many it may keep. limited is false if there is no limit.
func (p *pacer) rate(share float64, now time.Time) (rate, burst float64, limited bool) {
	rate = max(p.limit.perSecond, minimumRateLimit) * share
	if !p.cold.applies(now) {
		return rate, rate * rateBurstTime.Seconds(), p.limit.limited
	}
	if cold := p.cold.limit.PerSecond * share; cold < rate || !p.limit.limited {
		rate = cold
	}
	return rate, rate * p.cold.limit.BurstTime.Seconds(), true
}

// update takes note of whether the replica is cold and, if there is a limit, adds the
// tokens of the time since the last update and removes those that were not used within
// the time that they are kept. It reports whether there is a limit.
func (p *pacer) update(share float64, now time.Time) (limited bool) {
	rate, burst, limited := p.rate(share, now)
	cold := p.cold.applies(now)
	if cold && !p.coldPaced && !p.limit.limited {
		p.tokens, p.refilled = p.cold.limit.FirstToken, now
	}
	p.coldPaced = cold
	if limited {
		p.refill(rate, burst, now)
	}
	return limited
}

// refill adds the tokens of the time since the last refill and removes those beyond what
// may be kept.
func (p *pacer) refill(rate, burst float64, now time.Time) {
	p.tokens += rate * now.Sub(p.refilled).Seconds()
	p.refilled = now
	if burst >= 1 {
		p.tokens = min(p.tokens, burst)
		return
	}
	if p.tokens < 1 {
		return
	}
	// Tokens are rarer than the time that they are kept, so only the newest can be left.
	_, p.tokens = math.Modf(p.tokens)
	if p.tokens <= burst {
		p.tokens++
	}
}

// allows reports whether one more attempt may start.
func (p *pacer) allows(share float64, now time.Time) bool {
	return !p.update(share, now) || p.tokens >= 1
}

// start counts an attempt.
func (p *pacer) start() {
	p.tokens--
}

// SetRateLimit records the limit that a replica named and reports whether it is
// another one than before.
func (g *Group[C]) SetRateLimit(replica *Replica[C], limit RateLimit, now time.Time, random *rand.Rand) (changed bool) {
	return replica.pacer.setLimit(limit, now, random)
}

// RateLimit returns the limit that the upstream named last.
func (r *Replica[C]) RateLimit() RateLimit {
	return r.pacer.limit
}

// limitEnd returns the time until the replica has no limit any more because it is no longer
// cold; ok is false if that doesn't end the limit.
func (p *pacer) limitEnd(now time.Time) (wait time.Duration, ok bool) {
	return p.cold.until.Sub(now), p.cold.applies(now) && !p.limit.limited
}

// RateWait returns how long the rate limits of the usable replicas keep a request
// waiting if the given number of others go first; 0 if one of them has no limit.
func (g *Group[C]) RateWait(now time.Time, ahead int) time.Duration {
	tokens, total, longest := 0.0, 0.0, math.Inf(1)
	for _, replica := range g.replicas {
		if !replica.state.usable(now) {
			continue
		}
		if !replica.pacer.update(g.rateShare, now) {
			return 0
		}
		rate, _, _ := replica.pacer.rate(g.rateShare, now)
		tokens += replica.pacer.tokens
		total += rate
		if end, ok := replica.pacer.limitEnd(now); ok {
			longest = min(longest, end.Seconds())
		}
	}
	missing := float64(ahead+1) - tokens
	if missing <= 0 || total == 0 {
		return 0
	}
	return time.Duration(min(missing/total, longest) * float64(time.Second))
}

// NextRateAllowed returns the time until a replica that has a free slot is allowed its
// next attempt by its rate limit; ok is false if no replica waits for that.
func (g *Group[C]) NextRateAllowed(now time.Time) (wait time.Duration, ok bool) {
	for _, replica := range g.replicas {
		if !g.hasFreeSlot(replica, now) || replica.pacer.allows(g.rateShare, now) {
			continue
		}
		rate, _, _ := replica.pacer.rate(g.rateShare, now)
		seconds := (1 - replica.pacer.tokens) / rate
		if end, ok := replica.pacer.limitEnd(now); ok {
			seconds = min(seconds, end.Seconds())
		}
		next := time.Duration(seconds*float64(time.Second)) + rateWaitMargin
		if !ok || next < wait {
			wait, ok = next, true
		}
	}
	return wait, ok
}
