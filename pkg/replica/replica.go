// Package replica keeps what a gate knows first-hand of the upstreams of one
// service and decides which of them takes the next request, how many requests
// each may have in progress, and when a second attempt is worth its load.
//
// It reads no clock and opens no socket. A Set is not safe for concurrent use.
package replica

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Constants of the limits and of the choice.
const (
	// latencyWeight is the weight of the newest latency in the average.
	latencyWeight = 0.15
	// clip bounds how far one reply can move the average, as a multiple of it:
	// a reply from the long tail doesn't make its upstream a slow one.
	clip = 3.0
	// abandonedFactor is what the time of an attempt that was given up is
	// multiplied by, in place of the time that it would have taken.
	abandonedFactor = 2
	// holdWeight is the weight of the newest time in the mean slot time.
	holdWeight = 0.01
	// latencyMemory is the time after which an unused upstream's excess latency
	// is forgotten to 1/e.
	latencyMemory = 15 * time.Second
	// slowFactor is how many times slower than the median an upstream is when
	// it gets no more than probes.
	slowFactor = 4.0
	// probeInterval is the time between probes of a slow upstream.
	probeInterval = time.Second
	// shedFactor is what a limit is multiplied by when the upstream sheds.
	shedFactor = 0.7
	// shedInterval is the shortest time between two such cuts.
	shedInterval = 100 * time.Millisecond
	// firstShedPause and longestShedPause bound the time that an upstream which
	// sheds gets no new attempts, so that its quick refusals don't attract work.
	firstShedPause   = 20 * time.Millisecond
	longestShedPause = time.Second
	// recovery is what a success adds to a limit below its slots.
	recovery = 0.05
	// failuresToDown is the number of failures in a row that take an upstream out.
	failuresToDown = 2
	// firstBackoff and longestBackoff bound the time an upstream stays out.
	firstBackoff   = 200 * time.Millisecond
	longestBackoff = 5 * time.Second
)

// Outcome is how an attempt ended, as the gate saw it.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Succeeded means a whole reply.
	Succeeded Outcome = iota
	// Refused means that the upstream said it shed the request.
	Refused
	// Failed means that the connection failed or the reply was not valid.
	Failed
	// Abandoned means that the gate gave up on the attempt.
	Abandoned
	// Declined means that the upstream did not run it for a reason other than load.
	Declined
)

// row is what is known first-hand of one upstream.
type row struct {
	address string
	// limit is between 1 and slots; attempts start while inFlight is below it.
	limit    float64
	inFlight int
	// reserved counts requests that another gate still has in progress there.
	reserved int
	// latency is the average time of an attempt in seconds; 0 when unknown.
	latency float64
	// hold is the mean time that a request holds a slot, in seconds; unlike
	// latency it counts the long tail whole.
	hold float64
	// expected is latency with its excess over the median faded, as of the last
	// tick or reply; slow says that it is far above the median.
	expected float64
	slow     bool
	lastUsed time.Time
	lastShed time.Time
	failures int
	// sheds counts refusals since the last success.
	sheds int
	// downUntil is when a failed upstream is tried again.
	downUntil time.Time
	// leaving is sticky for the incarnation that leaves.
	leaving     bool
	incarnation string
	// versions is sorted.
	versions []uint64
}

// Set is the upstreams of one service.
type Set struct {
	slots int
	rows  []row
	// median is the middle latency of the rows in seconds, as of the last tick.
	median float64
}

// NewSet returns a set of upstreams that accept the given slots each. Each
// starts slowly: with one request in progress.
func NewSet(addresses []string, slots int) *Set {
	s := &Set{slots: slots, rows: make([]row, len(addresses))}
	for i, address := range addresses {
		s.rows[i] = row{address: address, limit: 1}
	}
	return s
}

// Len returns the number of upstreams.
func (s *Set) Len() int {
	return len(s.rows)
}

// Address returns the address of the upstream at the position.
func (s *Set) Address(position int) string {
	return s.rows[position].address
}

// Position finds an upstream by its address; -1 if it is not in the set.
func (s *Set) Position(address string) int {
	return slices.IndexFunc(s.rows, func(u row) bool { return u.address == address })
}

// Exclusion is a set of positions that a choice must not return.
type Exclusion uint64

// With returns the exclusion with a position added. Positions above 63 share
// bits, so they may be excluded needlessly but never chosen twice.
func (e Exclusion) With(position int) Exclusion {
	return e | 1<<(uint(position)%64)
}

// Has reports whether the position is excluded.
func (e Exclusion) Has(position int) bool {
	return e&(1<<(uint(position)%64)) != 0
}

// Choose returns the position of the upstream with the lowest expected time
// that has a free slot, holds the version (0 for any) and isn't excluded; -1 if
// there is none. Upstreams much slower than the median are passed over but for
// a probe from time to time. Equal ones are taken in turn from a random start.
func (s *Set) Choose(now time.Time, version uint64, excluded Exclusion, random *rand.Rand) int {
	best, bestCost := -1, math.Inf(1)
	start := random.IntN(len(s.rows))
	for offset := range s.rows {
		i := start + offset
		if i >= len(s.rows) {
			i -= len(s.rows)
		}
		row := &s.rows[i]
		if excluded.Has(i) || !row.free() || !row.usable(now) || !row.holds(version) {
			continue
		}
		if row.slow && now.Sub(row.lastUsed) < probeInterval {
			continue
		}
		if cost := row.expected * float64(row.inFlight+1); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// assess brings what is derived from the latency up to date.
func (u *row) assess(median float64, now time.Time) {
	u.expected = u.latency
	if u.latency > median && median > 0 {
		idle := now.Sub(u.lastUsed).Seconds()
		u.expected = median + (u.latency-median)*math.Exp(-idle/latencyMemory.Seconds())
	}
	if u.latency == 0 {
		u.expected = max(median, 1e-6)
	}
	u.slow = median > 0 && u.expected > slowFactor*median
}

func (u *row) usable(now time.Time) bool {
	return !u.leaving && !now.Before(u.downUntil)
}

func (u *row) free() bool {
	return u.inFlight+u.reserved < int(u.limit)
}

func (u *row) holds(version uint64) bool {
	if version == 0 {
		return true
	}
	_, found := slices.BinarySearch(u.versions, version)
	return found
}

// Start notes that an attempt begins at the position.
func (s *Set) Start(position int, now time.Time) {
	row := &s.rows[position]
	row.inFlight++
	row.lastUsed = now
}

// Finish notes that an attempt ended after it took the time.
func (s *Set) Finish(position int, now time.Time, outcome Outcome, took time.Duration) {
	row := &s.rows[position]
	row.inFlight--
	switch outcome {
	case Succeeded:
		row.failures, row.sheds = 0, 0
		row.learn(took)
		row.limit = min(float64(s.slots), row.limit+recovery*float64(s.slots))
	case Abandoned:
		// The attempt took longer than this; how much longer is not known.
		if took.Seconds() > row.latency {
			row.learn(abandonedFactor * took)
		}
	case Refused:
		row.shed(now)
	case Failed:
		row.fail(now)
	case Declined:
	}
	row.assess(s.median, now)
}

func (u *row) learn(took time.Duration) {
	seconds := took.Seconds()
	if u.latency == 0 {
		u.latency, u.hold = seconds, seconds
		return
	}
	u.hold += holdWeight * (seconds - u.hold)
	u.latency += latencyWeight * (min(seconds, clip*u.latency) - u.latency)
}

func (u *row) shed(now time.Time) {
	if now.Sub(u.lastShed) >= shedInterval {
		u.lastShed = now
		u.limit = max(1, u.limit*shedFactor)
	}
	pause := min(firstShedPause<<min(u.sheds, 10), longestShedPause)
	u.sheds++
	if until := now.Add(pause); until.After(u.downUntil) {
		u.downUntil = until
	}
}

func (u *row) fail(now time.Time) {
	u.failures++
	if u.failures < failuresToDown {
		return
	}
	backoff := firstBackoff << min(u.failures-failuresToDown, 10)
	u.downUntil = now.Add(min(backoff, longestBackoff))
	u.limit = 1
}

// Reserve sets how many requests another gate still has in progress at the
// upstream; they count against its slots.
func (s *Set) Reserve(position, count int) {
	s.rows[position].reserved = count
}

// Leave notes that an incarnation of the upstream leaves; it gets no new
// attempts until another incarnation is seen. It reports whether that is news.
func (s *Set) MarkLeaving(position int, incarnation string) bool {
	row := &s.rows[position]
	if incarnation != "" && row.incarnation != "" && incarnation != row.incarnation {
		return false
	}
	news := !row.leaving
	row.leaving = true
	return news
}

// See notes what the upstream says of itself: its incarnation and the index
// versions it holds. A new incarnation starts slowly and is no longer leaving.
func (s *Set) UpdateState(position int, incarnation string, versions []uint64) {
	row := &s.rows[position]
	if row.incarnation != incarnation {
		if row.incarnation != "" {
			row.leaving = false
			row.limit = 1
			row.latency = 0
		}
		row.incarnation = incarnation
		row.failures = 0
		row.downUntil = time.Time{}
	}
	row.versions = slices.Clone(versions)
	slices.Sort(row.versions)
}

// Lose notes that the upstream does not hold the version after all.
func (s *Set) RemoveVersion(position int, version uint64) {
	row := &s.rows[position]
	row.versions = slices.DeleteFunc(row.versions, func(v uint64) bool { return v == version })
}

// Tick brings the median, and what is derived from it, up to date.
func (s *Set) Tick(now time.Time) {
	s.findMedian(now)
	for i := range s.rows {
		s.rows[i].assess(s.median, now)
	}
}

func (s *Set) findMedian(now time.Time) {
	latencies := make([]float64, 0, len(s.rows))
	for i := range s.rows {
		if s.rows[i].latency > 0 && s.rows[i].usable(now) {
			latencies = append(latencies, s.rows[i].latency)
		}
	}
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	s.median = latencies[(len(latencies)-1)/2]
}

// Capacity returns the rate that the usable upstreams can take, in requests a
// second; 0 while it is not known.
func (s *Set) Capacity(now time.Time) float64 {
	rate := 0.0
	for i := range s.rows {
		row := &s.rows[i]
		if row.usable(now) && row.hold > 0 {
			rate += float64(int(row.limit)) / row.hold
		}
	}
	return rate
}

// InFlight returns the attempts in progress at the position.
func (s *Set) InFlight(position int) int {
	return s.rows[position].inFlight
}

// Usable reports whether the upstream at the position may get new attempts.
func (s *Set) Usable(position int, now time.Time) bool {
	return s.rows[position].usable(now)
}

// Holds reports whether the upstream at the position holds the version and
// may get new attempts.
func (s *Set) CanServe(position int, version uint64, now time.Time) bool {
	row := &s.rows[position]
	return row.usable(now) && row.holds(version)
}
