package upstream

import (
	"slices"
)

// EvacuatedZones are the evacuated availability zones as of a revision of the store. It is
// immutable. The zero value holds no zones and says that nothing is known of them.
type EvacuatedZones struct {
	// revision is 0 if the store has not been read.
	revision Revision
	// zones is sorted and holds each zone once.
	zones []string
}

// NewEvacuatedZones returns the zones, in any order, as of a revision.
func NewEvacuatedZones(revision Revision, zones []string) EvacuatedZones {
	sorted := slices.Clone(zones)
	slices.Sort(sorted)
	return EvacuatedZones{revision: revision, zones: slices.Compact(sorted)}
}

// Revision returns the revision as of which the zones are known; 0 if nothing is known.
func (e EvacuatedZones) Revision() Revision {
	return e.revision
}

// Zones returns the sorted zones; the slice must not be changed.
func (e EvacuatedZones) Zones() []string {
	return e.zones
}

// Has reports whether the zone is evacuated.
func (e EvacuatedZones) Has(zone string) bool {
	return sortedContains(e.zones, zone)
}

// Without returns the set without a zone, as of a revision.
func (e EvacuatedZones) Without(revision Revision, zone string) EvacuatedZones {
	kept := slices.DeleteFunc(slices.Clone(e.zones), func(other string) bool { return other == zone })
	return EvacuatedZones{revision: revision, zones: kept}
}

// AsOf returns the same zones as of another revision.
func (e EvacuatedZones) AsOf(revision Revision) EvacuatedZones {
	return EvacuatedZones{revision: revision, zones: e.zones}
}

// With returns the set with further zones, as of a revision.
func (e EvacuatedZones) With(revision Revision, zones ...string) EvacuatedZones {
	return NewEvacuatedZones(revision, slices.Concat(e.zones, zones))
}

// Merge returns the set that holds of two: that with the higher revision. Two sets as of
// the same revision differ only if one of them was read in part, so that a zone of either
// is evacuated. The order and the number of merges don't matter.
func (e EvacuatedZones) Merge(other EvacuatedZones) EvacuatedZones {
	switch {
	case e.revision > other.revision:
		return e
	case e.revision < other.revision:
		return other
	default:
		return e.With(e.revision, other.zones...)
	}
}

// Equal reports whether both sets hold the same zones as of the same revision.
func (e EvacuatedZones) Equal(other EvacuatedZones) bool {
	return e.revision == other.revision && e.SameZones(other)
}

// SameZones reports whether both sets hold the same zones.
func (e EvacuatedZones) SameZones(other EvacuatedZones) bool {
	return slices.Equal(e.zones, other.zones)
}
