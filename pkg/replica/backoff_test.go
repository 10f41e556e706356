package replica

import (
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/upstream"
	"pgregory.net/rapid"
)

// TestBackoffIsKept: whatever happens to a replica that backs off, it gets no attempt
// before the latest end that was named, and gets some soon after.
func TestBackoffIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newGroupSimulation(1)
		registration := s.group.Replicas()[0].Registration
		latest, known := s.now, s.group.Replicas()[:1:1]
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "passed")) * time.Millisecond)
			replica := s.group.Replicas()[0]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				until := s.now.Add(time.Duration(rapid.IntRange(-10, 2000).Draw(t, "named")) * time.Millisecond)
				// The reply may be to a request sent before the upstream registered again.
				s.group.BackOff(rapid.SampledFrom(known).Draw(t, "replica"), s.now, until, s.random)
				latest = laterOf(latest, until)
			case 1:
				registration.Revision++
				s.group.Sync(s.now, []upstream.Registration{registration})
			case 2:
				s.group.Sync(s.now, nil)
				if rapid.Bool().Draw(t, "whileGone") {
					s.group.BackOff(replica, s.now, s.now.Add(time.Second), s.random)
					latest = laterOf(latest, s.now.Add(time.Second))
				}
				s.group.Sync(s.now, []upstream.Registration{registration})
				known = append(known, s.group.Replicas()[0])
			case 3:
				s.group.Start(replica, s.now)
				s.group.Finish(replica, s.now, Succeeded, time.Millisecond)
			}
			chosen := s.group.Choose(s.now, nil, s.random)
			if chosen != nil && s.now.Before(latest) {
				t.Fatalf("chosen %s too soon", latest.Sub(s.now))
			}
			if _, wait := s.group.CountUsable(s.now); chosen == nil && wait < latest.Sub(s.now) {
				t.Fatalf("may be used after %s, want %s at least", wait, latest.Sub(s.now))
			}
		}
		s.now = latest.Add(maxBackoffSpread + time.Millisecond)
		if s.group.Choose(s.now, nil, s.random) == nil {
			t.Error("not chosen after the end")
		}
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestBackoffEndsWithTheInstance: the next instance at the address is chosen at once.
func TestBackoffEndsWithTheInstance(t *testing.T) {
	s := newGroupSimulation(1)
	replica := s.group.Replicas()[0]
	s.group.BackOff(replica, s.now, s.now.Add(time.Hour), s.random)
	next := replica.Registration
	next.Born++
	s.group.Sync(s.now, []upstream.Registration{next})
	if s.group.Choose(s.now, nil, s.random) == nil {
		t.Error("the next instance is not chosen")
	}
}

// TestLoadReturnsSpread: after a backoff the attempts at a replica grow from one to their
// usual number, and many nodes don't begin at the same moment.
func TestLoadReturnsSpread(t *testing.T) {
	const nodes, named = 50, 10 * time.Second
	starts := map[time.Duration]bool{}
	var first, last time.Duration
	for i := range nodes {
		s := newGroupSimulation(1)
		for range i {
			s.random.Uint64()
		}
		replica := s.group.Replicas()[0]
		s.group.BackOff(replica, s.now, s.now.Add(named), s.random)
		_, wait := s.group.CountUsable(s.now)
		starts[wait] = true
		if first == 0 || wait < first {
			first = wait
		}
		last = max(last, wait)
		s.now = s.now.Add(wait)
		previous := 0
		for range 41 {
			limit := s.group.attemptLimit(replica, s.now)
			if limit < previous {
				t.Fatalf("the limit falls from %d to %d", previous, limit)
			}
			if previous == 0 && limit != 1 {
				t.Errorf("the first limit is %d", limit)
			}
			previous = limit
			s.now = s.now.Add(slowStartTime / 40)
		}
		if previous != 8 {
			t.Errorf("the limit after the slow start is %d, want 8", previous)
		}
	}
	if len(starts) < nodes/2 || last-first < maxBackoffSpread/2 {
		t.Errorf("%d nodes start at %d times from %s to %s", nodes, len(starts), first, last)
	}
}

// TestToldLeavingOutlivesRegistrations: a replica that told that it leaves is not chosen
// again, and the next instance is.
func TestToldLeavingOutlivesRegistrations(t *testing.T) {
	s := newGroupSimulation(1)
	replica := s.group.Replicas()[0]
	if !s.group.MarkLeaving(replica) || s.group.MarkLeaving(replica) {
		t.Error("only the first reply is news")
	}
	registration := replica.Registration
	registration.Revision++
	s.group.Sync(s.now, []upstream.Registration{registration})
	if s.group.Choose(s.now, nil, s.random) != nil || !s.group.Stranded(s.now) {
		t.Error("the replica is used again")
	}
	registration.Born++
	s.group.Sync(s.now, []upstream.Registration{registration})
	if s.group.Choose(s.now, nil, s.random) == nil {
		t.Error("the next instance is not used")
	}
}
