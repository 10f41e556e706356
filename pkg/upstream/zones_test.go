package upstream

import (
	"slices"
	"testing"
)

// TestZones: zones that hold upstreams of many shards count, those of few shards, of
// other services and of leaving upstreams don't.
func TestZones(t *testing.T) {
	var registrations []Registration
	add := func(service, zone string, leaving bool) {
		registrations = append(registrations, Registration{Service: service, AvailabilityZone: zone, Leaving: leaving})
	}
	for _, shard := range []string{"s1", "s2", "s3"} {
		add(shard, "a", false)
		add(shard, "b", false)
		add(shard, "d", true)
		add("pool", "e", false)
	}
	add("s1", "c", false)
	if got := Zones(registrations, []string{"s1", "s2", "s3"}); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("zones %v, want a and b", got)
	}
	if got := Zones(nil, nil); len(got) != 0 {
		t.Errorf("zones %v without upstreams", got)
	}
}
