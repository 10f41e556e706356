package relay

import (
	"time"

	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// ReasonZonesUnknown means that the node has just started and doesn't know yet which
// availability zones are evacuated.
const ReasonZonesUnknown Reason = "zonesUnknown"

// AwaitsZones reports whether requests are refused until the evacuated zones are known.
func (r *Relay) AwaitsZones() bool {
	return r.awaitsZones.Load()
}

// StopAwaitingZones lets the relay send requests although it doesn't know the evacuated zones.
func (r *Relay) StopAwaitingZones() {
	r.awaitsZones.Store(false)
}

// SetEvacuated replaces the evacuated availability zones. Upstreams there get no new
// attempts; those in progress go on. UpstreamZones stay as they are: nodes in an evacuated
// zone serve callers.
func (r *Relay) SetEvacuated(zones upstream.EvacuatedZones) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated = zones
	now := time.Now()
	for _, s := range r.routingState.Load().services {
		s.setEvacuated(now, zones)
	}
	r.awaitsZones.Store(false)
}

// setEvacuated replaces the evacuated zones. Waiters get what may be used now, or are
// refused if they wait in vain.
func (s *service) setEvacuated(now time.Time, zones upstream.EvacuatedZones) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicaGroup.SetEvacuated(zones)
	s.refuseStranded(now)
	s.grantCapacity(now)
	s.refuseOvertaken(now, 0)
}
