package node

import (
	"context"
	"time"

	"github.com/bronzereach/bronzereach/internal/wire"
	"github.com/bronzereach/bronzereach/pkg/upstream"
)

// fromStore is the source of evacuated zones that this node has read itself.
const fromStore = "store"

// AnnounceEvacuated passes on the evacuated availability zones as read from the store.
func (n *Node) AnnounceEvacuated(zones upstream.EvacuatedZones) {
	n.control.post(evacuatedAnnounced{zones: zones})
}

// Evacuated returns the evacuated availability zones that this node knows.
func (n *Node) Evacuated() upstream.EvacuatedZones {
	if zones := n.control.publishedEvacuated.Load(); zones != nil {
		return *zones
	}
	return upstream.EvacuatedZones{}
}

// evacuatedAnnounced brings the evacuated zones that the adapter read from the store.
type evacuatedAnnounced struct {
	zones upstream.EvacuatedZones
}

// apply also starts exchanges at once if the zones have changed: members that have no
// access to the store, and those that start, hear of them only so.
func (e evacuatedAnnounced) apply(ctx context.Context, c *control, _ time.Time) {
	if !c.mergeEvacuated(e.zones, fromStore) {
		return
	}
	c.startImmediateExchanges(ctx)
}

// mergeEvacuated merges the evacuated zones that the store or a member told. It reports
// whether that changed which zones are evacuated, or is the first that this node knows.
func (c *control) mergeEvacuated(told upstream.EvacuatedZones, source string) (news bool) {
	if !c.node.options.evacuatesZones() {
		return false
	}
	known := c.evacuated
	merged := known.Merge(told)
	if merged.Equal(known) {
		return false
	}
	c.evacuated = merged
	c.publishedEvacuated.Store(&merged)
	c.node.adapter.ApplyEvacuated(merged)
	if !merged.SameZones(known) {
		c.node.log.Info("zonesEvacuated", "zones", merged.Zones(), "revision", merged.Revision(), "source", source)
		return true
	}
	return known.Revision() == 0
}

// evacuatesZones reports whether the settings ask for the evacuation of zones.
func (o Options) evacuatesZones() bool {
	return o.Foreign != nil && o.Foreign.EvacuationTime > 0
}

// evacuatedToWire returns nil if nothing is known, as builds without the field send it.
func evacuatedToWire(zones upstream.EvacuatedZones) *wire.EvacuatedZones {
	if zones.Revision() == 0 {
		return nil
	}
	return &wire.EvacuatedZones{Revision: uint64(zones.Revision()), Zones: zones.Zones()}
}

// evacuatedFromWire returns the zero value if the member knows nothing, or is of a build
// without the field. Zones without a revision don't count: nothing could end them.
func evacuatedFromWire(message *wire.EvacuatedZones) upstream.EvacuatedZones {
	if message.GetRevision() == 0 {
		return upstream.EvacuatedZones{}
	}
	return upstream.NewEvacuatedZones(upstream.Revision(message.GetRevision()), message.GetZones())
}
