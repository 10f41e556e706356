package relay

import (
	"testing"
	"time"
)

// TestLaterRetriesAreBounded guards against a query that goes on asking overloaded upstreams:
// a shard gets a bounded number of retries, further and further apart, and none that would
// come after the request is given up.
func TestLaterRetriesAreBounded(t *testing.T) {
	start := time.Now()
	for _, test := range []struct {
		left time.Duration
		want int
	}{{time.Second, maxLaterRetries}, {firstRetryDelay * 4, 2}, {firstRetryDelay / 2, 0}} {
		r, now, count := laterRetry{}, start, 0
		last := time.Duration(0)
		for r.planNext(now, start.Add(test.left)) {
			delay := r.at.Sub(now)
			if delay <= last || !r.at.Before(start.Add(test.left)) {
				t.Errorf("retry %d of %v left comes after %v, the one before after %v", count, test.left, delay, last)
			}
			if r.takeDue(r.at.Add(-1)) || !r.takeDue(r.at) || r.takeDue(r.at) {
				t.Errorf("retry %d is not taken once, when it is due", count)
			}
			now, last = now.Add(delay), delay
			count++
		}
		if count != test.want {
			t.Errorf("%d retries with %v left, want %d", count, test.left, test.want)
		}
	}
}
