package upstream

import (
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// MaxRetryAfter is the longest time that an upstream is believed to want no requests.
const MaxRetryAfter = 24 * time.Hour

// RetryAfter is how long an upstream wants no requests, from 0 to MaxRetryAfter. In JSON
// it is a number of milliseconds. Anything else is read as 0, so that an odd value does
// not spoil the reply that holds it.
type RetryAfter time.Duration

// MarshalJSON returns the milliseconds, rounded up.
func (r RetryAfter) MarshalJSON() ([]byte, error) {
	milliseconds := (time.Duration(r) + time.Millisecond - 1).Milliseconds()
	return strconv.AppendInt(nil, milliseconds, 10), nil
}

// UnmarshalJSON reverses MarshalJSON. It never returns an error.
func (r *RetryAfter) UnmarshalJSON(text []byte) error {
	wait, _ := ParseRetryAfter(string(text), time.Millisecond)
	*r = RetryAfter(wait)
	return nil
}

// ParseRetryAfter reads a decimal number of units; ok is false if the text is none.
// Negative numbers are no wait, and times beyond MaxRetryAfter are that time.
func ParseRetryAfter(text string, unit time.Duration) (wait time.Duration, ok bool) {
	number, err := strconv.ParseFloat(text, 64)
	if errors.Is(err, strconv.ErrRange) {
		// The number is valid, but too large for a float64.
		return ClampRetryAfter(number), true
	}
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return 0, false
	}
	return ClampRetryAfter(number * unit.Seconds()), true
}

// ClampRetryAfter returns the seconds as a duration from 0 to MaxRetryAfter.
func ClampRetryAfter(seconds float64) time.Duration {
	seconds = min(max(seconds, 0), MaxRetryAfter.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
