package upstream

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// readLoad reads a load whose retryAfterMillis is the given JSON.
func readLoad(t *rapid.T, value string) Load {
	var load Load
	text := fmt.Sprintf(`{"inFlight":3,"retryAfterMillis":%s,"queued":4,"leaving":true}`, value)
	if err := json.Unmarshal([]byte(text), &load); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	if load.InFlight != 3 || load.Queued != 4 || !load.Leaving {
		t.Errorf("%s was read as %+v", text, load)
	}
	return load
}

// drawJSON draws a JSON value that is no number.
func drawJSON(t *rapid.T) string {
	value := rapid.OneOf(
		rapid.Just[any](nil), rapid.Bool().AsAny(), rapid.String().AsAny(), rapid.SliceOf(rapid.Int()).AsAny(),
		rapid.MapOf(rapid.String(), rapid.Float64Range(-1e9, 1e9)).AsAny(),
		rapid.Map(rapid.Int(), strconv.Itoa).AsAny(),
	).Draw(t, "value")
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestRetryAfterMillis: a number is that many milliseconds within its bounds; any other
// value is no wait, and the rest of the load is read all the same.
func TestRetryAfterMillis(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := rapid.OneOf(rapid.Float64Range(-1e18, 1e18), rapid.Float64Range(0, 90_000_000)).Draw(t, "millis")
		format := rapid.SampledFrom([]byte{'f', 'e'}).Draw(t, "format")
		want := time.Duration(min(max(millis, 0), float64(MaxRetryAfter.Milliseconds())) * float64(time.Millisecond))
		got := readLoad(t, strconv.FormatFloat(millis, format, -1, 64)).RetryAfter
		if (time.Duration(got) - want).Abs() > time.Microsecond {
			t.Errorf("%v ms were read as %v", millis, time.Duration(got))
		}
		if got := readLoad(t, drawJSON(t)).RetryAfter; got != 0 {
			t.Errorf("no number was read as %v", time.Duration(got))
		}
	})
}

// TestRetryAfterNumbersOutOfRange: numbers too large for a float64 are the bounds.
func TestRetryAfterNumbersOutOfRange(t *testing.T) {
	for text, want := range map[string]time.Duration{"1e999": MaxRetryAfter, "-1e999": 0, "1e-999": 0} {
		var got RetryAfter
		if err := json.Unmarshal([]byte(text), &got); err != nil || time.Duration(got) != want {
			t.Errorf("%s was read as %v, want %v: %v", text, time.Duration(got), want, err)
		}
	}
}

// TestRetryAfterIsNotShortened: what is written is read as at least the same time, and no
// wait is not written, as to nodes and upstreams that don't know the field.
func TestRetryAfterIsNotShortened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := RetryAfter(rapid.Int64Range(0, int64(MaxRetryAfter)).Draw(t, "wait"))
		text, err := json.Marshal(Load{RetryAfter: want})
		if err != nil {
			t.Fatal(err)
		}
		var got Load
		if err := json.Unmarshal(text, &got); err != nil || got.RetryAfter < want || got.RetryAfter > want+RetryAfter(time.Millisecond) {
			t.Errorf("%v was read as %v: %v", time.Duration(want), time.Duration(got.RetryAfter), err)
		}
	})
	text, err := json.Marshal(Load{})
	if err != nil || string(text) != `{"inFlight":0,"queued":0}` {
		t.Errorf("%s %v", text, err)
	}
}
