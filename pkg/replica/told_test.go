package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSetKeepsWhatProcessesTold: an upstream gets no attempt while its process is leaving
// or backing off, whatever else happens, also in a set that takes over; what a former
// process told changes nothing, and one that ended backing off is used soon after.
func TestSetKeepsWhatProcessesTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		processes := []string{"a", "b"}
		s, now, process := NewSet(addresses(1), 2), epoch, 0
		s.UpdateState(0, processes[process], nil)
		leaving, latest := false, time.Time{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "passed")) * time.Millisecond)
			about := rapid.IntRange(0, 1).Draw(t, "about")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				until := now.Add(time.Duration(rapid.IntRange(-10, 2000).Draw(t, "named")) * time.Millisecond)
				news := s.BackOff(0, processes[about], now, until, random)
				if about == process {
					latest = laterOf(latest, until)
				} else if news {
					t.Fatal("a former process's delay is news")
				}
			case 1:
				news := s.MarkLeaving(0, processes[about], time.Time{})
				if news != (about == process && !leaving) {
					t.Fatalf("news: %t", news)
				}
				leaving = leaving || about == process
			case 2:
				if about != process {
					process, leaving, latest = about, false, time.Time{}
				}
				s.UpdateState(0, processes[process], nil)
			case 3:
				next := NewSet(addresses(2), 3)
				next.TakeOver(s)
				s = NewSet(addresses(1), 2)
				s.TakeOver(next)
			case 4:
				s.Start(0, now)
				s.Finish(0, now, Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")), time.Millisecond)
			case 5:
				s.Tick(now)
			}
			if s.Choose(now, 0, 0, random) >= 0 && (leaving || now.Before(latest)) {
				t.Fatalf("chosen, leaving: %t, %s too soon", leaving, latest.Sub(now))
			}
			if now.Before(latest) && !s.Unwanted(0, latest.Add(-time.Nanosecond)) {
				t.Fatal("wanted before the end")
			}
			if s.Unwanted(0, laterOf(now, latest).Add(maxBackoffSpread)) != leaving {
				t.Fatalf("leaving: %t, unwanted after the end: %t", leaving, !leaving)
			}
		}
		// The longest pauses after failures and sheds end within maxBackoff.
		now = laterOf(now.Add(maxBackoff), latest.Add(maxBackoffSpread+time.Millisecond))
		if chosen := s.Choose(now, 0, 0, random) >= 0; chosen == leaving {
			t.Errorf("afterwards chosen: %t, leaving: %t", chosen, leaving)
		}
	})
}

// TestSetReturnsSlowly: after a backoff the attempts grow from one to their usual number.
func TestSetReturnsSlowly(t *testing.T) {
	s := newWarmSet(4, 10*time.Millisecond)
	random := rand.New(rand.NewPCG(1, 1))
	s.BackOff(0, "", epoch, epoch.Add(10*time.Second), random)
	count := func(now time.Time) (started int) {
		for s.Choose(now, 0, 0, random) >= 0 {
			s.Start(0, now)
			started++
		}
		for range started {
			s.Finish(0, now, Declined, 0)
		}
		return started
	}
	previous := 0
	for now := s.BacksOffUntil(0); now.Before(s.BacksOffUntil(0).Add(slowStartTime + 50*time.Millisecond)); now = now.Add(50 * time.Millisecond) {
		started := count(now)
		if started < previous || previous == 0 && started != 1 {
			t.Fatalf("%d attempts after %d", started, previous)
		}
		previous = started
	}
	if previous != 4 {
		t.Errorf("%d attempts in the end, want 4", previous)
	}
}

// TestLeavingMarkIsTakenOver checks that a set keeps what others knew of a leaving
// incarnation, and uses the upstream's next one.
func TestLeavingMarkIsTakenOver(t *testing.T) {
	now := time.Now()
	before, silent := NewSet([]string{"a", "b"}, 1), NewSet([]string{"a", "b"}, 1)
	before.UpdateState(0, "first", nil)
	before.MarkLeaving(0, "", time.Time{})
	silent.UpdateState(0, "first", nil)
	after := NewSet([]string{"b", "a"}, 1)
	after.TakeOver(before)
	after.TakeOver(silent)
	after.UpdateState(1, "first", nil)
	if leaving, _ := after.CountUnused(now); leaving != 1 || !after.Unwanted(1, now) || after.Incarnation(1) != "first" {
		t.Errorf("%d are leaving, unwanted: %t, as of %q", leaving, after.Unwanted(1, now), after.Incarnation(1))
	}
	after.UpdateState(1, "second", nil)
	if leaving, _ := after.CountUnused(now); leaving != 0 {
		t.Errorf("%d of the next incarnation are leaving", leaving)
	}
}

// TestMarkOfAnUnknownProcessEndsWithIt: a mark that named no process, told before any was seen,
// holds for one that was running then, and not for one that started later.
func TestMarkOfAnUnknownProcessEndsWithIt(t *testing.T) {
	told := time.Now()
	for name, c := range map[string]struct {
		started time.Time
		leaving bool
	}{"before": {told.Add(-time.Second), true}, "then": {told, true}, "later": {told.Add(time.Second), false}} {
		s := NewSet([]string{"a"}, 1)
		s.MarkLeaving(0, "", told)
		s.NoteStart(0, c.started)
		s.UpdateState(0, "first", nil)
		if got := s.Unwanted(0, told.Add(time.Minute)); got != c.leaving {
			t.Errorf("started %s: leaving %v", name, got)
		}
		// Once a process was seen, a mark is about it.
		s.MarkLeaving(0, "", told)
		s.NoteStart(0, told.Add(time.Hour))
		if !s.Unwanted(0, told.Add(time.Minute)) {
			t.Errorf("started %s: a mark of the known process ended", name)
		}
	}
}
