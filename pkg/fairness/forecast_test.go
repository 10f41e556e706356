package fairness

import (
	"testing"
	"time"
)

// TestForecastRefusesOnlyWhatItKnows: a request is refused only if its turn comes too late by
// a margin. Load: a queue of any length, at replicas that have or have not replied yet.
func TestForecastRefusesOnlyWhatItKnows(t *testing.T) {
	known := Forecast{SlotTime: 10 * time.Millisecond, Slots: 2, Left: 100 * time.Millisecond, InTime: 50 * time.Millisecond}
	for name, check := range map[string]struct {
		change func(f *Forecast)
		late   bool
	}{
		"first in line":            {func(f *Forecast) { f.Left = time.Millisecond }, false},
		"in time":                  {func(f *Forecast) { f.Ahead = 19 }, false},
		"within the margin":        {func(f *Forecast) { f.Ahead = 24 }, false},
		"too late":                 {func(f *Forecast) { f.Ahead = 27 }, true},
		"unknown slots":            {func(f *Forecast) { f.Ahead, f.Slots = 1000, 0 }, false},
		"unknown slot time":        {func(f *Forecast) { f.Ahead, f.SlotTime = 1000, 0 }, false},
		"a passing backlog":        {func(f *Forecast) { f.Ahead, f.Backlog = 15, 40*time.Millisecond }, false},
		"a standing backlog":       {func(f *Forecast) { f.Ahead, f.Backlog = 15, 60*time.Millisecond }, true},
		"a short standing backlog": {func(f *Forecast) { f.Ahead, f.Backlog = 4, time.Minute }, false},
		"late anyway":              {func(f *Forecast) { f.Ahead, f.InTime, f.Backlog = 15, -time.Millisecond, time.Minute }, false},
	} {
		f := known
		check.change(&f)
		if f.TooLate() != check.late {
			t.Errorf("%s: too late is %t, the wait is %s", name, f.TooLate(), f.Wait())
		}
	}
}
