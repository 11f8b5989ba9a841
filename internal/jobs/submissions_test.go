package jobs

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestIsSchedulable checks which jobs are rejected because they can never run.
func TestIsSchedulable(t *testing.T) {
	clusterState := newTestJobs(t).state
	fitting := cluster.Resources{CPU: 4_000_000, Memory: 16_000_000}
	for _, test := range []struct {
		name string
		spec cluster.JobSpec
		want bool
	}{
		{"fits", cluster.JobSpec{Team: "red", ResourceRequest: fitting}, true},
		{"fits in its zone", cluster.JobSpec{Team: "red", ResourceRequest: fitting, Zone: "a"}, true},
		{"fits on its type", cluster.JobSpec{Team: "red", ResourceRequest: fitting, MachineTypes: []string{"other", "small"}}, true},
		{"unknown team", cluster.JobSpec{Team: "blue", ResourceRequest: fitting}, false},
		{"beyond the quota", cluster.JobSpec{Team: "red", ResourceRequest: cluster.Resources{CPU: 10_000_001}}, false},
		{"GPUs beyond the quota", cluster.JobSpec{Team: "red", ResourceRequest: cluster.Resources{GPU: 1}}, false},
		{"beyond any machine", cluster.JobSpec{Team: "red", ResourceRequest: cluster.Resources{CPU: 4_000_001}}, false},
		{"unknown zone", cluster.JobSpec{Team: "red", ResourceRequest: fitting, Zone: "b"}, false},
		{"unknown type", cluster.JobSpec{Team: "red", ResourceRequest: fitting, MachineTypes: []string{"other"}}, false},
	} {
		if got := isSchedulable(clusterState, &test.spec); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
