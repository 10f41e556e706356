package replica

import "github.com/bronzereach/bronzereach/pkg/upstream"

// SetEvacuated replaces the availability zones whose replicas get no attempts. The
// replicas keep their statistics, and attempts in progress go on.
func (g *Group[C]) SetEvacuated(zones upstream.EvacuatedZones) {
	g.evacuated = zones
	for _, replica := range g.replicas {
		replica.state.evacuated = zones.Has(replica.Registration.AvailabilityZone)
	}
}
