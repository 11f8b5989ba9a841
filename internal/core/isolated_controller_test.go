package core_test

import (
	"testing"

	"stairrelay/internal/core"
	"stairrelay/internal/standin"
)

// TestLonelyControllerSendsOn: a controller that keeps its workers but has lost
// the store and the other controllers is entitled for a bounded time only. Here
// nobody else reaches the worker either, so that no higher token tells.
func TestLonelyControllerSendsOn(t *testing.T) {
	cfg := testConfig()
	var w *standin.World
	w = standin.NewWorld(1, cfg, testCloud(func() *standin.World { return w }))
	w.Calm = true
	w.AddMachine("small", "a", false)
	w.Run(10 * sec)
	owner := w.Nodes[1] // of the part that the machine's number points to
	owner.StoreCut, owner.PeerCut = w.Now+100*sec, w.Now+100*sec
	w.Nodes[0].WorkerCut, w.Nodes[2].WorkerCut = w.Now+100*sec, w.Now+100*sec
	answer := func() core.ReplyStatus {
		status := core.ReplyNone
		r := w.Workers["m-000001"].Report()
		w.Ask(owner, func(id core.ReqID) core.Event { return core.Checkin{Req: id, Report: r} }, func(a core.Respond) { status = a.Status })
		w.Run(w.Now + sec)
		return status
	}
	w.Run(w.Now + 5*sec)
	if s := answer(); s != 200 {
		t.Errorf("soon after the cut: %d", s)
	}
	w.Run(w.Now + cfg.Lease + 5*sec)
	if s := answer(); s != 421 {
		t.Errorf("a lease later: %d, which holds the worker", s)
	}
}
