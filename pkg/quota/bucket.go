package quota

import (
	"math"
	"time"
)

// maxWait is the wait for a token if none is to come.
const maxWait = 5 * time.Second

// Bucket is a token bucket. The zero value never has a token.
type Bucket struct {
	perSecond float64
	depth     float64
	// tokens is the number of tokens at the time refilled. It is negative if the first
	// token comes later than one interval after the start.
	tokens   float64
	refilled time.Duration
}

// NewBucket returns a bucket that begins to fill at the given time. missing is the number
// of tokens, from 0 to 1, that it lacks then.
func NewBucket(start time.Duration, missing float64) *Bucket {
	return &Bucket{tokens: -missing, refilled: start}
}

// SetLimit changes the rate and the depth. Tokens beyond a lower depth are dropped.
func (b *Bucket) SetLimit(now time.Duration, perSecond, depth float64) {
	b.refill(now)
	b.perSecond, b.depth = perSecond, depth
	b.refill(now)
}

// refill adds the tokens since the last refill, as far as there is room.
func (b *Bucket) refill(now time.Duration) {
	if elapsed := now - b.refilled; elapsed > 0 {
		b.tokens += b.perSecond * elapsed.Seconds()
		b.refilled = now
	}
	if b.depth >= 1 {
		b.tokens = min(b.tokens, b.depth)
		return
	}
	if b.tokens < 1 {
		return
	}
	// The bucket has less than one token's share of the depth of all lenders. It keeps
	// each token only for that part of the interval until the next one, so that the
	// buckets of all lenders hold the whole depth on average.
	_, b.tokens = math.Modf(b.tokens)
	if b.tokens < b.depth {
		b.tokens++
	}
}

// Take takes up to want tokens and returns how many.
func (b *Bucket) Take(now time.Duration, want int) int {
	b.refill(now)
	taken := max(0, min(want, int(b.tokens)))
	b.tokens -= float64(taken)
	return taken
}

// Wait returns the time until the bucket has a token.
func (b *Bucket) Wait(now time.Duration) time.Duration {
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	if b.perSecond <= 0 {
		return maxWait
	}
	// Rounding must not make the wait too short.
	return seconds((1-b.tokens)/b.perSecond) + time.Microsecond
}

// isFull reports whether the bucket holds all that it can.
func (b *Bucket) isFull(now time.Duration) bool {
	b.refill(now)
	return b.tokens >= b.depth
}
