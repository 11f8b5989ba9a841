package controller_test

import (
	"testing"

	"stairrelay/internal/messages"
)

// TestIsolatedControllerOwnershipExpires checks that an owner that reaches only its
// workers redirects them after its ownership lease has expired.
func TestIsolatedControllerOwnershipExpires(t *testing.T) {
	cfg := testConfig()
	sim := newSimulator(1, cfg)
	sim.NoRandomFaults = true
	sim.Machines.Add("small", "a", false)
	sim.RunUntil(10 * second)
	owner := sim.Nodes[1] // owns the shard that the machine's ID maps to
	until := sim.Now + 100*second
	owner.StorePartitionedUntil, owner.PeersPartitionedUntil = until, until
	sim.Nodes[0].WorkersPartitionedUntil, sim.Nodes[2].WorkersPartitionedUntil = until, until
	sendHeartbeat := func() messages.ResponseStatus {
		status := messages.StatusNone
		heartbeat := heartbeatRequest(sim.Machines.Workers["m-000001"].NextStatus())
		owner.SendRequest(heartbeat, func(response messages.Respond) { status = response.Status })
		sim.RunUntil(sim.Now + second)
		return status
	}
	sim.RunUntil(sim.Now + 5*second)
	if status := sendHeartbeat(); status != messages.StatusOK {
		t.Errorf("status %d soon after the partition, want 200", status)
	}
	sim.RunUntil(sim.Now + cfg.WorkerLease + 5*second)
	if status := sendHeartbeat(); status != messages.StatusMisdirected {
		t.Errorf("status %d after the ownership lease, want 421; the worker's lease was renewed", status)
	}
}
