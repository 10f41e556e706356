package quota

import (
	"math"
	"testing"
	"time"
)

// TestBucket guards against tokens beyond the rate and the depth, and against a wait after
// which there is no token.
func TestBucket(t *testing.T) {
	b := NewBucket(0, 0)
	b.SetLimit(0, 10, 5)
	if got := b.Take(350*time.Millisecond, 10); got != 3 {
		t.Errorf("%d tokens after 0.35 s at 10 a second, want 3", got)
	}
	wait := b.Wait(350 * time.Millisecond)
	if got := b.Take(350*time.Millisecond+wait, 1); got != 1 || wait > 51*time.Millisecond {
		t.Errorf("%d tokens after the wait of %v", got, wait)
	}
	if got := b.Take(time.Minute, 100); got != 5 {
		t.Errorf("%d tokens from a full bucket, want 5", got)
	}
	b.SetLimit(2*time.Minute, 1, 2)
	if got := b.Take(2*time.Minute, 100); got != 2 {
		t.Errorf("%d tokens after the depth was lowered to 2", got)
	}
}

// TestShallowBuckets guards against many lenders, each with a small part of a quota, that
// hold a token each: together they must hold about the depth of the whole quota.
func TestShallowBuckets(t *testing.T) {
	const nodes, depth, perSecond = 59, 4.0, 3.0
	held := 0
	for i := range nodes {
		b := NewBucket(0, phase(testTeam, string(rune('a'+i))))
		b.SetLimit(0, perSecond/nodes, depth/nodes)
		for at := time.Duration(0); at < time.Minute; at += 250 * time.Millisecond {
			b.Wait(at)
		}
		held += b.Take(time.Minute, 10)
	}
	if float64(held) > depth+3*math.Sqrt(depth) {
		t.Errorf("%d tokens in the buckets of %d nodes, want about %v", held, nodes, depth)
	}
}
