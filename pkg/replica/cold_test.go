package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// The tolerance of the limit of cold replicas that the users' settings usually have.
const (
	testColdOverage = 1.5
	testColdSlack   = 5
)

// coldFleet is a fleet of nodes that each have the same cold replica. The first ones serve
// callers and share nine tenths of the limit.
type coldFleet struct {
	*limitedFleet
	perSecond float64
	serving   int
}

// newColdFleet returns a fleet in which the replica is cold for the given time.
func newColdFleet(perSecond float64, serving, others int, coldFor time.Duration, random *rand.Rand) *coldFleet {
	f := &coldFleet{limitedFleet: &limitedFleet{random: random, now: time.Unix(100, 0)}, perSecond: perSecond, serving: serving}
	for i := range serving + others {
		share := 0.9 / float64(serving)
		if i >= serving {
			share = 0.1 / float64(others)
		}
		group := NewGroup(GroupConfig[int]{Service: "s", NewData: func(upstream.Registration) int { return 0 }})
		group.SetLimits(Limits{Connections: 1000, Nodes: 1, RateShare: share, Cold: ColdLimit{
			PerSecond: perSecond, BurstTime: ColdBurstTime(perSecond, testColdOverage, testColdSlack), FirstToken: random.Float64(),
		}})
		group.Sync(f.now, []upstream.Registration{{ID: "a", Address: "a", Slots: 1000, ColdRemaining: coldFor}})
		f.nodes = append(f.nodes, group)
	}
	return f
}

// mostInSecond returns the greatest number of attempts within a second.
func (f *coldFleet) mostInSecond() int {
	most, first := 0, 0
	for i, at := range f.starts {
		for at.Sub(f.starts[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *coldFleet) allowed() float64 {
	return testColdOverage*f.perSecond + testColdSlack
}

// askEach lets each node start as many attempts as it may at this moment, up to a thousand.
func (f *coldFleet) askEach() {
	for _, group := range f.nodes {
		for range 1000 {
			chosen := group.Choose(f.now, nil, f.random)
			if chosen == nil {
				break
			}
			group.Start(chosen, f.now)
			group.Finish(chosen, f.now, Succeeded, time.Millisecond)
			f.starts = append(f.starts, f.now)
		}
	}
}

// TestFleetKeepsLimitOfColdReplicas guards against nodes that together start more than a cold
// replica may get in a second: evenly, from a few nodes, and from all at once after pauses.
// The nodes that serve callers get most of the limit.
func TestFleetKeepsLimitOfColdReplicas(t *testing.T) {
	const length = 20 * time.Second
	for _, perSecond := range []float64{0.5, 1, 2, 3, 5, 8, 10, 20, 50, 200} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			f := newColdFleet(perSecond, 6, 53, time.Hour, rand.New(rand.NewPCG(5, 6)))
			f.ask(6, 40*perSecond, length)
			if got := float64(len(f.starts)); got < 0.7*0.9*perSecond*length.Seconds() {
				t.Errorf("%.0f attempts in %v, the limit is %.1f a second", got, length, perSecond)
			}
			f.ask(len(f.nodes), 40*perSecond, length)
			for range 200 {
				f.now = f.now.Add(time.Duration(f.random.Float64() * float64(2*time.Second)))
				f.askEach()
			}
			if most := f.mostInSecond(); float64(most) > f.allowed() {
				t.Errorf("%d attempts in a second, allowed are %.1f", most, f.allowed())
			}
		})
	}
}

// TestColdLimitHoldsForAnyFleet guards against sizes of a fleet, limits and demand for which
// the shares add up to too much.
func TestColdLimitHoldsForAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 100).Draw(t, "perSecond")
		// With more serving nodes than this, rounding alone may exceed a small slack.
		serving := rapid.IntRange(1, 6).Draw(t, "serving")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f := newColdFleet(perSecond, serving, rapid.IntRange(1, 300).Draw(t, "others"), time.Hour, random)
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			switch rapid.SampledFrom([]string{"serving", "all", "together"}).Draw(t, "phase") {
			case "serving":
				f.ask(serving, 10*perSecond, 3*time.Second)
			case "all":
				f.ask(len(f.nodes), 10*perSecond, 3*time.Second)
			case "together":
				f.now = f.now.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "pause")))
				f.askEach()
			}
		}
		if most := f.mostInSecond(); float64(most) > f.allowed() {
			t.Errorf("%d attempts in a second, allowed are %.1f", most, f.allowed())
		}
	})
}

// TestColdLimitEnds guards against a limit that outlasts the cold time, also for waiting
// requests, and against a named limit that is forgotten meanwhile.
func TestColdLimitEnds(t *testing.T) {
	for _, named := range []bool{false, true} {
		f := newColdFleet(2, 1, 0, 10*time.Second, rand.New(rand.NewPCG(5, 6)))
		group := f.nodes[0]
		if named {
			group.SetRateLimit(group.Replicas()[0], NewRateLimit(20), f.now, f.random)
		}
		f.ask(1, 200, 9500*time.Millisecond)
		if cold := len(f.starts); cold < 12 || cold > 20 {
			t.Errorf("%d attempts in 9.5 s with a limit of 1.8 a second, named limit %t", cold, named)
		}
		if wait := group.RateWait(f.now, 50); !named && wait > 500*time.Millisecond {
			t.Errorf("the 50th request waits for %s although the limit ends sooner", wait)
		}
		if wait, ok := group.NextRateAllowed(f.now); !named && ok && wait > 500*time.Millisecond+rateWaitMargin {
			t.Errorf("waiting requests are woken after %s although the limit ends sooner", wait)
		}
		f.now, f.starts = f.now.Add(time.Second), nil
		f.ask(1, 200, 10*time.Second)
		free := len(f.starts)
		if named && (free < 140 || free > 200) || !named && free < 1800 {
			t.Errorf("%d attempts in 10 s after the cold time, named limit %t", free, named)
		}
	}
}

// TestWaitersAreWokenWhenTheColdTimeEnds guards against requests that wait for the next attempt
// of a low limit that ends before.
func TestWaitersAreWokenWhenTheColdTimeEnds(t *testing.T) {
	f := newColdFleet(0.01, 1, 0, time.Second, rand.New(rand.NewPCG(5, 6)))
	if wait, ok := f.nodes[0].NextRateAllowed(f.now); !ok || wait > time.Second+rateWaitMargin {
		t.Errorf("woken after %s, %t", wait, ok)
	}
}

// TestLowerNamedLimitHoldsWhileCold guards against a cold limit that lifts a lower one.
func TestLowerNamedLimitHoldsWhileCold(t *testing.T) {
	f := newColdFleet(50, 1, 0, time.Hour, rand.New(rand.NewPCG(5, 6)))
	group := f.nodes[0]
	group.SetRateLimit(group.Replicas()[0], NewRateLimit(2), f.now, f.random)
	f.ask(1, 200, 10*time.Second)
	if got := len(f.starts); got > 20 {
		t.Errorf("%d attempts in 10 s, the upstream named 2 a second", got)
	}
}

// TestWarmReplicaStaysWarm guards against registrations that are passed on or read again and
// make a replica cold for longer, and against a replica that is taken for warm although a
// later registration says that it is cold again.
func TestWarmReplicaStaysWarm(t *testing.T) {
	start := time.Unix(100, 0)
	for _, c := range []struct {
		what      string
		revision  upstream.Revision
		remaining time.Duration
		after     time.Duration
		// until is the end of the cold time from the start.
		until time.Duration
	}{
		{"passed on again", 5, 30 * time.Second, 20 * time.Second, 30 * time.Second},
		{"listed again unchanged", 9, 30 * time.Second, 40 * time.Second, 30 * time.Second},
		{"an older one that names more", 4, 60 * time.Second, 10 * time.Second, 30 * time.Second},
		{"an older one that names less", 4, 0, 10 * time.Second, 30 * time.Second},
		{"a later one that was read late", 6, 25 * time.Second, 10 * time.Second, 30 * time.Second},
		{"a later one that names less", 6, 5 * time.Second, 10 * time.Second, 15 * time.Second},
		{"a later one that names more", 6, 40 * time.Second, 50 * time.Second, 90 * time.Second},
	} {
		group := NewGroup(GroupConfig[int]{Service: "s", NewData: func(upstream.Registration) int { return 0 }})
		registration := upstream.Registration{ID: "a", Address: "a", Slots: 1, Born: 1, Revision: 5, ColdRemaining: 30 * time.Second}
		group.Sync(start, []upstream.Registration{registration})
		registration.Revision, registration.ColdRemaining = c.revision, c.remaining
		group.Sync(start.Add(c.after), []upstream.Registration{registration})
		if got := group.Replicas()[0].coldUntil.Sub(start); got != c.until {
			t.Errorf("%s: cold for %s, want %s", c.what, got, c.until)
		}
		registration.Born = 2
		group.Sync(start.Add(time.Minute), []upstream.Registration{registration})
		if got := group.Replicas()[0].coldUntil.Sub(start); got != time.Minute+c.remaining {
			t.Errorf("%s: the next process is cold until %s", c.what, got)
		}
	}
}
