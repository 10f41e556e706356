package relay

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOutlook: a request is servable if enough services can take it in time. Otherwise its
// caller is told when enough of the services that back off may be used.
func TestOutlook(t *testing.T) {
	const left, usual = time.Second, 300 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		var services []availability
		var waits []time.Duration
		usable, gone := 0, 0
		for range rapid.IntRange(1, 8).Draw(t, "services") {
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				usable++
				services = append(services, availability{usable: 1})
			case 1:
				wait := time.Duration(rapid.IntRange(1, 7200).Draw(t, "wait")) * time.Second
				waits = append(waits, wait)
				services = append(services, availability{backsOff: true, untilUsable: wait})
			case 2:
				gone++
				services = append(services, availability{})
			}
		}
		required := rapid.IntRange(1, len(services)).Draw(t, "required")
		got := newOutlook(services, required, left, usual)
		if got.servable != (usable >= required) {
			t.Fatalf("servable is %t with %d of %d", got.servable, usable, required)
		}
		if got.servable {
			return
		}
		want := usual
		if missing := required - usable; missing <= len(waits) {
			slices.Sort(waits)
			want = waits[missing-1]
		}
		if got.retryAfter != want {
			t.Errorf("the caller is told %s, want %s", got.retryAfter, want)
		}
	})
}
