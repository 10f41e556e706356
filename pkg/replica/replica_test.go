package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes the cases reproducible. rapid defines the flag, so Set
	// can't fail.
	_ = flag.Set("rapid.seed", "1")
}

var epoch = time.Unix(1_700_000_000, 0)

func addresses(count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("10.0.0.%d:80", i)
	}
	return list
}

// newWarmSet returns a set whose upstreams have replied 50 times with the given
// latencies.
func newWarmSet(slots int, latencies ...time.Duration) *Set {
	s := NewSet(addresses(len(latencies)), slots)
	for position, latency := range latencies {
		for range 50 {
			s.Start(position, epoch)
			s.Finish(position, epoch, Succeeded, latency)
		}
	}
	s.Tick(epoch)
	return s
}

// TestSlotsAreNeverExceeded checks the limit of each upstream under random
// attempts and outcomes.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		s := NewSet(addresses(3), slots)
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		inFlight := make([]int, 3)
		now := epoch
		for range 300 {
			now = now.Add(time.Millisecond)
			if position := s.Choose(now, 0, 0, random); position >= 0 && random.IntN(3) > 0 {
				s.Start(position, now)
				inFlight[position]++
			} else if position := random.IntN(3); inFlight[position] > 0 {
				s.Finish(position, now, Outcome(random.IntN(5)), 5*time.Millisecond)
				inFlight[position]--
			}
			for position, count := range inFlight {
				if count > slots || count != s.InFlight(position) {
					t.Fatalf("%d in flight at position %d, InFlight returns %d, slots %d", count, position, s.InFlight(position), slots)
				}
			}
		}
	})
}

func TestSlowUpstreamIsPassedOver(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s := newWarmSet(2, 10*time.Millisecond, 100*time.Millisecond, 10*time.Millisecond)
	now := epoch
	slow := 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		if position := s.Choose(now, 0, 0, random); position == 1 {
			slow++
			s.Start(1, now)
			s.Finish(1, now, Succeeded, 100*time.Millisecond)
		}
	}
	if slow > 2 {
		t.Errorf("the slow upstream was chosen %d times in a second", slow)
	}
}

// TestHedgedUpstreamIsSeenSlow checks that an upstream is detected as slow even
// if a hedge always replies first, so that its own latency is never measured.
func TestHedgedUpstreamIsSeenSlow(t *testing.T) {
	s := newWarmSet(2, 10*time.Millisecond, 10*time.Millisecond, 10*time.Millisecond)
	for range 20 {
		s.Start(1, epoch)
		s.Finish(1, epoch, Abandoned, 38*time.Millisecond)
		s.Start(0, epoch)
		s.Finish(0, epoch, Succeeded, 10*time.Millisecond)
	}
	s.Tick(epoch)
	if !s.states[1].slow || s.states[0].slow {
		t.Errorf("slow: upstream 0 %t, want false; upstream 1 %t, want true", s.states[0].slow, s.states[1].slow)
	}
}

// TestSingleSlowReplyIsIgnored checks that a single slow reply does not mark an upstream
// as slow.
func TestSingleSlowReplyIsIgnored(t *testing.T) {
	s := newWarmSet(2, 10*time.Millisecond, 10*time.Millisecond)
	s.Start(0, epoch)
	s.Finish(0, epoch, Succeeded, 200*time.Millisecond)
	s.Tick(epoch)
	if s.states[0].slow {
		t.Error("one slow reply marked the upstream as slow")
	}
}

func TestLeavingIsSticky(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s := newWarmSet(2, 10*time.Millisecond)
	s.UpdateState(0, "a", []uint64{4})
	if !s.MarkLeaving(0, "a", time.Time{}) || s.MarkLeaving(0, "a", time.Time{}) {
		t.Error("MarkLeaving did not return true the first time and false the second")
	}
	s.UpdateState(0, "a", []uint64{4})
	if s.Choose(epoch, 4, 0, random) >= 0 {
		t.Error("a leaving upstream was chosen")
	}
	s.UpdateState(0, "b", []uint64{4})
	if s.Choose(epoch, 4, 0, random) != 0 || s.Choose(epoch, 5, 0, random) >= 0 {
		t.Error("the new incarnation was not chosen for version 4, or was chosen for version 5")
	}
	if s.MarkLeaving(0, "a", time.Time{}) {
		t.Error("MarkLeaving accepted a previous incarnation")
	}
}

func TestFailuresAndSheds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s := newWarmSet(4, 10*time.Millisecond)
	s.Start(0, epoch)
	s.Finish(0, epoch, Refused, time.Millisecond)
	if s.Choose(epoch, 0, 0, random) >= 0 || s.Choose(epoch.Add(firstShedPause), 0, 0, random) != 0 {
		t.Error("no pause after a shed request, or a pause longer than firstShedPause")
	}
	for range failuresToDown {
		s.Start(0, epoch)
		s.Finish(0, epoch, Failed, time.Millisecond)
	}
	if s.Choose(epoch.Add(firstBackoff/2), 0, 0, random) >= 0 || s.Choose(epoch.Add(firstBackoff), 0, 0, random) != 0 {
		t.Error("no backoff after failures, or a backoff longer than firstBackoff")
	}
}

func TestBudget(t *testing.T) {
	var b Budget
	spent := 0
	for range 1000 {
		b.Earn(0.05)
		if b.Spend() {
			spent++
		}
	}
	if spent < 49 || spent > 50 {
		t.Errorf("%d extra attempts for 1000 requests at 5%%, want 49 or 50", spent)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{3, 40} {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			latencies := make([]time.Duration, size)
			for i := range latencies {
				latencies[i] = time.Duration(10+i%3) * time.Millisecond
			}
			s := newWarmSet(2, latencies...)
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				position := s.Choose(epoch, 0, 0, random)
				s.Start(position, epoch)
				s.Finish(position, epoch, Succeeded, 10*time.Millisecond)
			}
		})
	}
}
