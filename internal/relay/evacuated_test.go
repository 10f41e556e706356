package relay

import (
	"testing"
	"time"

	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// TestWaitersOfAnEvacuatedZoneGoElsewhere guards against waiters that get a replica of an
// evacuated zone, or that wait on when no other replica is left.
func TestWaitersOfAnEvacuatedZoneGoElsewhere(t *testing.T) {
	s := newSingleSlotService()
	s.service.updateReplicas(s.now, []upstream.Registration{
		{ID: "a", Address: "a", Slots: 2, AvailabilityZone: "x"}, {ID: "b", Address: "b", Slots: 2, AvailabilityZone: "y"},
	})
	slots := map[string]*upstreamReplica{}
	for range 2 {
		_, slot := s.sendRequest(1, time.Second)
		slots[slot.Registration.ID] = slot
	}
	first, _ := s.sendRequest(1, time.Second)
	second, _ := s.sendRequest(1, time.Second)
	s.service.setEvacuated(s.now, upstream.NewEvacuatedZones(2, []string{"x"}))
	s.finishAttempt(slots["a"], time.Millisecond)
	if granted(first) {
		t.Error("a replica of the evacuated zone was granted")
	}
	s.finishAttempt(slots["b"], time.Millisecond)
	if !granted(first) {
		t.Error("the other replica was not granted")
	}
	s.service.setEvacuated(s.now, upstream.NewEvacuatedZones(3, []string{"x", "y"}))
	select {
	case e := <-second.events:
		if e.refused != ReasonNoUpstream {
			t.Errorf("refused as %q", e.refused)
		}
	default:
		t.Error("a request waits for a replica although all zones are evacuated")
	}
}

// TestWaitersGetReplicasThatComeBack guards against requests that wait on although the
// evacuation is over.
func TestWaitersGetReplicasThatComeBack(t *testing.T) {
	s := newSingleSlotService()
	s.service.updateReplicas(s.now, []upstream.Registration{
		{ID: "a", Address: "a", Slots: 2, AvailabilityZone: "x"}, {ID: "b", Address: "b", Slots: 2, AvailabilityZone: "y"},
	})
	s.service.setEvacuated(s.now, upstream.NewEvacuatedZones(2, []string{"x"}))
	s.sendRequest(1, time.Second)
	f, slot := s.sendRequest(1, time.Second)
	if slot != nil {
		t.Fatalf("%s was reserved", slot.Registration.ID)
	}
	s.service.setEvacuated(s.now, upstream.NewEvacuatedZones(3, nil))
	if !granted(f) {
		t.Error("the replica that came back was not granted")
	}
}
