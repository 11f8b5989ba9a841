package controller

import (
	"maps"
	"slices"
	"testing"

	"stairrelay/internal/state"
)

// TestScaleOutInZoneOfJob checks that machines for a job bound to a zone are requested
// only there, and not at all while the zone is out of capacity. Machines of another zone would
// be paid for and counted as expected, although the job's tasks can't use them.
func TestScaleOutInZoneOfJob(t *testing.T) {
	for _, test := range []struct {
		name          string
		zone          string
		outOfCapacity []string
		requested     []string
	}{
		{"bound to a zone", "b", nil, []string{"b"}},
		{"bound to a zone without capacity", "b", []string{"b"}, nil},
		{"not bound, one zone without capacity", "", []string{"a"}, []string{"b"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newControllerHarness()
			shard := h.state.Shards[0]
			small := h.state.MachineTypes["small"]
			small.Zones = []string{"a", "b"}
			h.state.MachineTypes["small"] = small
			for _, zone := range test.outOfCapacity {
				shard.OptionBackoffUntil[state.ProvisioningOption{Type: "small", Zone: zone, Spot: false}] = h.loop.Now() + 60*second
			}
			h.addTestJob("j-1", 1).Spec.Zone = test.zone
			h.provisioner.ScaleOut.RunShard(shard)
			var requested []string
			for _, name := range slices.Sorted(maps.Keys(shard.ProvisioningRequests)) {
				requested = append(requested, shard.ProvisioningRequests[name].Option.Zone)
			}
			if len(requested) != len(test.requested) || len(requested) > 0 && requested[0] != test.requested[0] {
				t.Errorf("requested in zones %v, want %v", requested, test.requested)
			}
		})
	}
}
