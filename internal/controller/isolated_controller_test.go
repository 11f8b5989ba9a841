package controller_test

import (
	"testing"

	"stairrelay/internal/messages"
)

// TestIsolatedControllerOwnershipExpires: a controller that reaches its workers but
// neither the store nor the other controllers has a valid ownership lease for a
// bounded time only. Here no other controller reaches the worker either, so that no
// newer fencing token shows it.
func TestIsolatedControllerOwnershipExpires(t *testing.T) {
	cfg := testConfig()
	sim := newSimulator(1, cfg)
	sim.NoRandomFaults = true
	sim.Machines.Add("small", "a", false)
	sim.RunUntil(10 * second)
	owner := sim.Nodes[1] // of the shard that the machine's number belongs to
	until := sim.Now + 100*second
	owner.StorePartitionedUntil, owner.PeersPartitionedUntil = until, until
	sim.Nodes[0].WorkersPartitionedUntil, sim.Nodes[2].WorkersPartitionedUntil = until, until
	answer := func() messages.ReplyStatus {
		status := messages.ReplyNone
		heartbeat := heartbeatRequest(sim.Machines.Workers["m-000001"].NextStatus())
		owner.SendRequest(heartbeat, func(answer messages.Respond) { status = answer.Status })
		sim.RunUntil(sim.Now + second)
		return status
	}
	sim.RunUntil(sim.Now + 5*second)
	if status := answer(); status != messages.ReplyOK {
		t.Errorf("soon after the partition: %d", status)
	}
	sim.RunUntil(sim.Now + cfg.WorkerLease + 5*second)
	if status := answer(); status != messages.ReplyMisdirected {
		t.Errorf("a lease later: %d, which keeps the worker", status)
	}
}
