// Package replica selects the upstream for each attempt of a service, based on
// the latencies and failures that this node observed itself. It also limits the
// attempts in progress per upstream and determines when to hedge.
//
// A Set has a fixed list of upstreams with index versions; a Group has upstreams
// that join and leave. The package reads no clock and opens no socket. A Set is
// not safe for concurrent use.
package replica

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the concurrency limits and of the selection.
const (
	// latencyWeight is the weight of the newest latency in the moving average.
	latencyWeight = 0.15
	// latencyClip is the largest latency that enters the moving average, as a
	// multiple of that average, so that a single slow reply does not mark its
	// upstream as slow.
	latencyClip = 3.0
	// abandonedFactor multiplies the duration of an abandoned attempt to estimate
	// the unknown time that it would have taken.
	abandonedFactor = 2
	// slotTimeWeight is the least weight of the newest duration in the mean slot time. All
	// durations have the same weight until there are enough for it.
	slotTimeWeight = 0.01
	// latencyDecayTime is the time in which the excess latency of an unused
	// upstream over the median decays to 1/e.
	latencyDecayTime = 15 * time.Second
	// slowFactor is the multiple of the median latency above which an upstream
	// gets only probes.
	slowFactor = 4.0
	// probeInterval is the time between probes of a slow upstream.
	probeInterval = time.Second
	// limitDecrease multiplies the limit of an upstream that sheds.
	limitDecrease = 0.7
	// shedInterval is the minimum time between two such decreases.
	shedInterval = 100 * time.Millisecond
	// firstShedPause and maxShedPause bound the exponential pause after a shed
	// request. Without it the low latency of refusals would attract more requests.
	firstShedPause = 20 * time.Millisecond
	maxShedPause   = time.Second
	// limitIncrease is the fraction of the maximum that a success adds to a limit.
	limitIncrease = 0.05
	// failuresToDown is the number of consecutive failures after which an upstream
	// gets no attempts for a backoff time.
	failuresToDown = 2
	// firstBackoff and maxBackoff bound that backoff.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// Outcome is how an attempt ended as observed by the node that made it.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Succeeded means that a complete reply was received.
	Succeeded Outcome = iota
	// Refused means that the upstream reported that it shed the request.
	Refused
	// Failed means that the connection failed or the reply was not valid.
	Failed
	// Abandoned means that the attempt was cancelled before a reply.
	Abandoned
	// Declined means that the upstream did not run the request for a reason other
	// than load.
	Declined
)

// state holds the statistics and the limit of one upstream.
type state struct {
	address string
	// limit is the concurrency limit, at least 1; attempts start while inFlight is
	// below it.
	limit    float64
	inFlight int
	// reserved is the number of requests that another gate has in progress at
	// this upstream.
	reserved int
	// latency is the moving average of attempt durations in seconds; 0 if unknown.
	latency float64
	// slotTime is the mean time that a request occupies a slot, in seconds. Unlike
	// latency it is not clipped, so it includes the long tail.
	slotTime float64
	// samples is the number of durations in slotTime.
	samples float64
	// expected is latency after the decay of its excess over the median, as of
	// the last tick or reply. slow is true if it exceeds slowFactor medians.
	expected float64
	slow     bool
	lastUsed time.Time
	lastShed time.Time
	failures int
	// sheds is the number of shed requests since the last success.
	sheds int
	// downUntil is the time until which the upstream gets no attempts.
	downUntil time.Time
	backoff   backoff
	// leaving stays true until another incarnation of the upstream is seen.
	leaving bool
	// evacuated is true while the availability zone of the upstream is evacuated.
	evacuated bool
	// markedAt is when leaving was set although no process was known; zero otherwise.
	markedAt    time.Time
	incarnation string
	// versions is sorted.
	versions []uint64
}

// Set selects among the fixed upstreams of one service.
type Set struct {
	slots  int
	states []state
	// median is the median latency of the upstreams in seconds, as of the last
	// tick.
	median float64
}

// NewSet returns a set of upstreams with the given number of slots each. The
// concurrency limit of each upstream starts at 1.
func NewSet(addresses []string, slots int) *Set {
	s := &Set{slots: slots, states: make([]state, len(addresses))}
	for i, address := range addresses {
		s.states[i] = state{address: address, limit: 1}
	}
	return s
}

// Len returns the number of upstreams.
func (s *Set) Len() int {
	return len(s.states)
}

// Address returns the address of the upstream at the position.
func (s *Set) Address(position int) string {
	return s.states[position].address
}

// Position returns the position of the upstream with the address, or -1.
func (s *Set) Position(address string) int {
	return slices.IndexFunc(s.states, func(u state) bool { return u.address == address })
}

// Exclusion is a set of positions that Choose must not return.
type Exclusion uint64

// With returns the exclusion with a position added. Positions that are equal
// modulo 64 share a bit. In a set of more than 64 upstreams, a position that was
// not added may therefore be excluded too, but one that was added is never
// chosen.
func (e Exclusion) With(position int) Exclusion {
	return e | 1<<(uint(position)%64)
}

// Has reports whether the position is excluded.
func (e Exclusion) Has(position int) bool {
	return e&(1<<(uint(position)%64)) != 0
}

// Choose returns the position of the upstream with the lowest expected time
// that has a free slot, has the version (0 for any) and is not excluded, or -1
// if there is none. An upstream much slower than the median gets only one probe
// per probeInterval. Of equal upstreams the first after a random start is chosen.
func (s *Set) Choose(now time.Time, version uint64, excluded Exclusion, random *rand.Rand) int {
	best, bestCost := -1, math.Inf(1)
	start := random.IntN(len(s.states))
	for offset := range s.states {
		i := start + offset
		if i >= len(s.states) {
			i -= len(s.states)
		}
		state := &s.states[i]
		if excluded.Has(i) || !state.hasFreeSlot(now) || !state.usable(now) || !state.hasVersion(version) {
			continue
		}
		if state.slow && now.Sub(state.lastUsed) < probeInterval {
			continue
		}
		if cost := state.expected * float64(state.inFlight+1); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// updateExpected recomputes expected and slow from the latency.
func (u *state) updateExpected(median float64, now time.Time) {
	u.expected = u.latency
	if u.latency > median && median > 0 {
		idle := now.Sub(u.lastUsed).Seconds()
		u.expected = median + (u.latency-median)*math.Exp(-idle/latencyDecayTime.Seconds())
	}
	if u.latency == 0 {
		u.expected = max(median, 1e-6)
	}
	u.slow = median > 0 && u.expected > slowFactor*median
}

func (u *state) usable(now time.Time) bool {
	return !u.withdrawn() && !now.Before(u.downUntil) && !u.backoff.active(now)
}

// withdrawn reports whether the upstream gets no attempts for a time that isn't known.
func (u *state) withdrawn() bool {
	return u.leaving || u.evacuated
}

// usableAt returns when the upstream may get attempts unless it is withdrawn.
func (u *state) usableAt() time.Time {
	if u.backoff.until.After(u.downUntil) {
		return u.backoff.until
	}
	return u.downUntil
}

// hasFreeSlot reports whether one more attempt may be in progress. The limit grows slowly
// after a backoff.
func (u *state) hasFreeSlot(now time.Time) bool {
	return u.inFlight+u.reserved < int(u.backoff.limit(u.limit, now))
}

func (u *state) hasVersion(version uint64) bool {
	if version == 0 {
		return true
	}
	_, found := slices.BinarySearch(u.versions, version)
	return found
}

// Start records the start of an attempt at the position.
func (s *Set) Start(position int, now time.Time) {
	state := &s.states[position]
	state.inFlight++
	state.lastUsed = now
}

// Finish records the outcome and duration of an attempt at the position.
func (s *Set) Finish(position int, now time.Time, outcome Outcome, took time.Duration) {
	state := &s.states[position]
	state.inFlight--
	switch outcome {
	case Succeeded:
		state.failures, state.sheds = 0, 0
		state.recordLatency(took, 0)
		state.limit = min(float64(s.slots), state.limit+limitIncrease*float64(s.slots))
	case Abandoned:
		// The attempt would have taken longer, but it is unknown how much.
		if took.Seconds() > state.latency {
			state.recordLatency(abandonedFactor*took, 0)
		}
	case Refused:
		state.recordShed(now)
	case Failed:
		state.recordFailure(now)
	case Declined:
	}
	state.updateExpected(s.median, now)
}

// recordLatency adds a duration to the moving averages. The first one of an upstream
// counts as a change from usual, the latency of the others, if that is known: it may
// have met a pause, and an upstream that seems slow is hardly measured again.
func (u *state) recordLatency(took time.Duration, usual float64) {
	seconds := took.Seconds()
	if u.latency == 0 && usual > 0 {
		u.latency, u.slotTime, u.samples = usual, usual, 1
	}
	if u.latency == 0 {
		u.latency, u.slotTime, u.samples = seconds, seconds, 1
		return
	}
	u.samples++
	u.slotTime += max(slotTimeWeight, 1/u.samples) * (seconds - u.slotTime)
	u.latency += latencyWeight * (min(seconds, latencyClip*u.latency) - u.latency)
}

// recordShed decreases the limit and pauses new attempts after a shed request.
func (u *state) recordShed(now time.Time) {
	if now.Sub(u.lastShed) >= shedInterval {
		u.lastShed = now
		u.limit = max(1, u.limit*limitDecrease)
	}
	pause := min(firstShedPause<<min(u.sheds, 10), maxShedPause)
	u.sheds++
	if until := now.Add(pause); until.After(u.downUntil) {
		u.downUntil = until
	}
}

// recordFailure starts a backoff after failuresToDown consecutive failures.
func (u *state) recordFailure(now time.Time) {
	u.failures++
	if u.failures < failuresToDown {
		return
	}
	backoff := firstBackoff << min(u.failures-failuresToDown, 10)
	u.downUntil = now.Add(min(backoff, maxBackoff))
	u.limit = 1
}

// Reserve sets the number of requests that another gate has in progress at the
// upstream. They count against its concurrency limit.
func (s *Set) Reserve(position, count int) {
	s.states[position].reserved = count
}

// RemoveVersion records that the upstream does not have the version, contrary to
// its last report.
func (s *Set) RemoveVersion(position int, version uint64) {
	state := &s.states[position]
	state.versions = slices.DeleteFunc(state.versions, func(v uint64) bool { return v == version })
}

// Tick recomputes the median latency and the expected latency of each upstream.
func (s *Set) Tick(now time.Time) {
	s.updateMedian(now)
	for i := range s.states {
		s.states[i].updateExpected(s.median, now)
	}
}

func (s *Set) updateMedian(now time.Time) {
	latencies := make([]float64, 0, len(s.states))
	for i := range s.states {
		if s.states[i].latency > 0 && s.states[i].usable(now) {
			latencies = append(latencies, s.states[i].latency)
		}
	}
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	s.median = latencies[(len(latencies)-1)/2]
}

// Capacity returns the estimated throughput of the usable upstreams in requests
// per second; 0 if it is unknown.
func (s *Set) Capacity(now time.Time) float64 {
	rate := 0.0
	for i := range s.states {
		state := &s.states[i]
		if state.usable(now) && state.slotTime > 0 {
			rate += float64(int(state.backoff.limit(state.limit, now))) / state.slotTime
		}
	}
	return rate
}

// InFlight returns the number of attempts in progress at the position.
func (s *Set) InFlight(position int) int {
	return s.states[position].inFlight
}

// Usable reports whether the upstream at the position may get new attempts.
func (s *Set) Usable(position int, now time.Time) bool {
	return s.states[position].usable(now)
}

// CanServe reports whether the upstream at the position has the version and may
// get new attempts.
func (s *Set) CanServe(position int, version uint64, now time.Time) bool {
	state := &s.states[position]
	return state.usable(now) && state.hasVersion(version)
}
