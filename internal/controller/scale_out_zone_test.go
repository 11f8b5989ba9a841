package controller

import (
	"maps"
	"slices"
	"testing"

	"stairrelay/internal/state"
)

// TestScaleOutInZoneOfJob: machines for a job that is bound to a zone are asked for
// in that zone alone, also where the cloud has refused them there. Placement
// would not use any of another zone; they would be paid for, and counted as
// coming, for nothing.
func TestScaleOutInZoneOfJob(t *testing.T) {
	for _, test := range []struct {
		name    string
		zone    string
		refused []string
		rented  []string
	}{
		{"bound to a zone", "b", nil, []string{"b"}},
		{"bound to a zone that has none left", "b", []string{"b"}, nil},
		{"not bound, one zone has none left", "", []string{"a"}, []string{"b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newControllerHarness()
			part := b.state.Shards[0]
			small := b.state.MachineTypes["small"]
			small.Zones = []string{"a", "b"}
			b.state.MachineTypes["small"] = small
			for _, zone := range test.refused {
				part.OutOfCapacityUntil[state.ProvisioningOption{Type: "small", Zone: zone, Spot: false}] = b.loop.Now() + 60*second
			}
			b.addTestJob("j-1", 1).Spec.Zone = test.zone
			b.scaleOutShard(part)
			var rented []string
			for _, name := range slices.Sorted(maps.Keys(part.ProvisioningRequests)) {
				rented = append(rented, part.ProvisioningRequests[name].Option.Zone)
			}
			if len(rented) != len(test.rented) || len(rented) > 0 && rented[0] != test.rented[0] {
				t.Errorf("rented in zones %v, want %v", rented, test.rented)
			}
		})
	}
}
