package standin

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// TestNoticeForbidsWhatWasTold: requests are unwanted from noticeTime after the first of
// the replies that told so, to the latest end that one of them named.
func TestNoticeForbidsWhatWasTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		now, first, until := start, time.Time{}, time.Time{}
		leaving := false
		var n notice
		for range rapid.IntRange(1, 10).Draw(t, "replies") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "passed")) * time.Millisecond)
			load := upstream.Load{Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0}
			load.RetryAfter = upstream.RetryAfter(rapid.SampledFrom([]time.Duration{0, 0, time.Millisecond, time.Second, time.Hour}).Draw(t, "named"))
			if load.Leaving || load.RetryAfter > 0 {
				if !leaving && !until.After(now) {
					first = now
				}
				leaving = leaving || load.Leaving
				if end := now.Add(time.Duration(load.RetryAfter)); end.After(until) {
					until = end
				}
			}
			n = n.With(now, load)
			at := now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "later")) * time.Millisecond)
			want := !first.IsZero() && at.After(first.Add(noticeTime)) && (leaving || at.Before(until))
			if got := n.forbids(at); got != want {
				t.Fatalf("%s after the first notice: %t, want %t", at.Sub(first), got, want)
			}
		}
	})
}
