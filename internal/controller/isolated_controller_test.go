package controller_test

import (
	"testing"

	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

// TestIsolatedControllerOwnershipExpires: a controller that keeps its workers but has lost
// the store and the other controllers is entitled for a bounded time only. Here
// nobody else reaches the worker either, so that no higher token tells.
func TestIsolatedControllerOwnershipExpires(t *testing.T) {
	cfg := testConfig()
	var w *simulation.Simulator
	w = simulation.NewSimulator(1, cfg, testCloud(func() *simulation.Simulator { return w }))
	w.NoRandomFaults = true
	w.Machines.Add("small", "a", false)
	w.RunUntil(10 * second)
	owner := w.Nodes[1] // of the part that the machine's number points to
	owner.StoreCutUntil, owner.PeersCutUntil = w.Now+100*second, w.Now+100*second
	w.Nodes[0].WorkersCutUntil, w.Nodes[2].WorkersCutUntil = w.Now+100*second, w.Now+100*second
	answer := func() messages.ReplyStatus {
		status := messages.ReplyNone
		r := w.Machines.Workers["m-000001"].NextStatus()
		owner.SendRequest(func(id messages.RequestID) messages.Event { return messages.Heartbeat{Request: id, Status: r} }, func(a messages.Respond) { status = a.Status })
		w.RunUntil(w.Now + second)
		return status
	}
	w.RunUntil(w.Now + 5*second)
	if s := answer(); s != 200 {
		t.Errorf("soon after the cut: %d", s)
	}
	w.RunUntil(w.Now + cfg.WorkerLease + 5*second)
	if s := answer(); s != 421 {
		t.Errorf("a lease later: %d, which holds the worker", s)
	}
}
