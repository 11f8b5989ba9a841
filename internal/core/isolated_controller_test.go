package core_test

import (
	"testing"

	"stairrelay/internal/core"
	"stairrelay/internal/standin"
)

// TestLonelyControllerSendsOn: a controller that keeps its workers but has lost
// the store and the other controllers is entitled for a bounded time only. Here
// nobody else reaches the worker either, so that no higher token tells.
func TestIsolatedControllerOwnershipExpires(t *testing.T) {
	cfg := testConfig()
	var w *standin.Simulator
	w = standin.NewSimulator(1, cfg, testCloud(func() *standin.Simulator { return w }))
	w.NoRandomFaults = true
	w.AddMachine("small", "a", false)
	w.RunUntil(10 * second)
	owner := w.Nodes[1] // of the part that the machine's number points to
	owner.StoreCutUntil, owner.PeersCutUntil = w.Now+100*second, w.Now+100*second
	w.Nodes[0].WorkersCutUntil, w.Nodes[2].WorkersCutUntil = w.Now+100*second, w.Now+100*second
	answer := func() core.ReplyStatus {
		status := core.ReplyNone
		r := w.Workers["m-000001"].NextStatus()
		w.SendRequest(owner, func(id core.RequestID) core.Event { return core.Heartbeat{Request: id, Status: r} }, func(a core.Respond) { status = a.Status })
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
