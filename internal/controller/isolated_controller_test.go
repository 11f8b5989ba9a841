package controller_test

import (
	"testing"

	"stairrelay/internal/messages"
)

// TestIsolatedControllerOwnershipExpires: a controller that keeps its workers but has lost
// the store and the other controllers is entitled for a bounded time only. Here
// nobody else reaches the worker either, so that no higher token tells.
func TestIsolatedControllerOwnershipExpires(t *testing.T) {
	cfg := testConfig()
	sim := newSimulator(1, cfg)
	sim.NoRandomFaults = true
	sim.Machines.Add("small", "a", false)
	sim.RunUntil(10 * second)
	owner := sim.Nodes[1] // of the part that the machine's number points to
	owner.StoreCutUntil, owner.PeersCutUntil = sim.Now+100*second, sim.Now+100*second
	sim.Nodes[0].WorkersCutUntil, sim.Nodes[2].WorkersCutUntil = sim.Now+100*second, sim.Now+100*second
	answer := func() messages.ReplyStatus {
		status := messages.ReplyNone
		r := sim.Machines.Workers["m-000001"].NextStatus()
		owner.SendRequest(heartbeatRequest(r), func(a messages.Respond) { status = a.Status })
		sim.RunUntil(sim.Now + second)
		return status
	}
	sim.RunUntil(sim.Now + 5*second)
	if s := answer(); s != 200 {
		t.Errorf("soon after the cut: %d", s)
	}
	sim.RunUntil(sim.Now + cfg.WorkerLease + 5*second)
	if s := answer(); s != 421 {
		t.Errorf("a lease later: %d, which holds the worker", s)
	}
}
