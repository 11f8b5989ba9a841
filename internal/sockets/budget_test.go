package sockets

import "testing"

// TestBudget checks that the budget leaves room for the workers of a large site, for
// some hundred users and calls, and some sockets in reserve.
func TestBudget(t *testing.T) {
	for _, test := range []struct{ sockets, peers, workers int }{
		{3092, 2, 1884},
		{4101, 4, 1827},
	} {
		budget := NewBudget(test.sockets, test.peers)
		if budget.MaxInboundConnections < test.workers+300 || budget.MaxWorkerCalls < 300 || budget.MaxInboundConnections+2*budget.MaxWorkerCalls > test.sockets-30 {
			t.Errorf("%d sockets: %+v, too few for %d workers and some hundred users", test.sockets, budget, test.workers)
		}
	}
}

// TestBudgetOfLastController checks that all 900 machines and all calls fit when one of
// seven controllers is left alone.
func TestBudgetOfLastController(t *testing.T) {
	const sockets, peers, workers = 1200, 6, 900
	budget := NewBudget(sockets, peers)
	if budget.MaxInboundConnections < workers || workers+2*budget.MaxWorkerCalls > sockets-reservedSockets-peers*socketsPerPeer {
		t.Errorf("%d sockets: %+v, too few for %d workers", sockets, budget, workers)
	}
}

func TestBudgetWithoutLimit(t *testing.T) {
	if budget := NewBudget(0, 2); budget != (Budget{}) {
		t.Errorf("without a limit: %+v", budget)
	}
}
