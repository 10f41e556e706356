package timeline

import (
	"math"
	"testing"
	"time"
)

// TestOddPeerDoesNotDriveTheClock checks that one peer's impossible stamp doesn't move
// the clock, and that stamps go on rising.
func TestOddPeerDoesNotDriveTheClock(t *testing.T) {
	for _, odd := range []Stamp{math.MaxUint64, math.MaxUint64 - 1, 1 << 63, wallStamp(time.Now().AddDate(1, 0, 0))} {
		clock := &Clock{}
		before := clock.Now()
		observed := clock.Observe(odd)
		after := clock.Now()
		if observed <= before || after <= observed {
			t.Errorf("stamps fall after the stamp %d: %d, %d, %d", odd, before, observed, after)
		}
		if ahead := time.Until(after.Time()); ahead.Abs() > time.Minute {
			t.Errorf("after the stamp %d the clock is %v from the time of day", odd, ahead)
		}
	}
}

// TestObserveFollowsPeersAhead checks that the clock still passes the stamps of a peer
// whose wall clock is ahead.
func TestObserveFollowsPeersAhead(t *testing.T) {
	clock := &Clock{}
	ahead := wallStamp(time.Now().Add(time.Hour))
	if observed := clock.Observe(ahead); observed <= ahead {
		t.Errorf("Observe returns %d, want above %d", observed, ahead)
	}
}

// TestImpossibleTimeOfDay checks that a clock before 1970 or far after gives stamps that
// others can pass.
func TestImpossibleTimeOfDay(t *testing.T) {
	for year, want := range map[int]Stamp{1960: 0, 9000: maximumStamp} {
		if stamp := wallStamp(time.Date(year, 1, 1, 0, 0, 0, 0, time.UTC)); stamp != want {
			t.Errorf("the first stamp of %d is %d, want %d", year, stamp, want)
		}
	}
}
