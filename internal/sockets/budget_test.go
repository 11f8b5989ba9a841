package sockets

import "testing"

// TestBudget checks that the budget of a large site suffices for its workers, 300 users and
// 300 calls to workers, and leaves at least 30 sockets for other uses.
func TestBudget(t *testing.T) {
	for _, test := range []struct{ sockets, peers, workers int }{
		{3092, 2, 1884},
		{4101, 4, 1827},
	} {
		budget := NewBudget(test.sockets, test.peers)
		if budget.MaxInboundConnections < test.workers+300 || budget.MaxWorkerCalls < 300 || budget.MaxInboundConnections+2*budget.MaxWorkerCalls > test.sockets-30 {
			t.Errorf("%d sockets: budget %+v is too small for %d workers and a few hundred users", test.sockets, budget, test.workers)
		}
	}
}

// TestBudgetServesAllWorkers checks that one of seven controllers can serve all 900
// workers and make its calls to workers when the others are down.
func TestBudgetServesAllWorkers(t *testing.T) {
	const sockets, peers, workers = 1200, 6, 900
	budget := NewBudget(sockets, peers)
	if budget.MaxInboundConnections < workers || workers+2*budget.MaxWorkerCalls > sockets-reservedSockets-peers*socketsPerPeer {
		t.Errorf("%d sockets: budget %+v is too small for %d workers", sockets, budget, workers)
	}
}

func TestBudgetWithoutLimit(t *testing.T) {
	if budget := NewBudget(0, 2); budget != (Budget{}) {
		t.Errorf("without a limit: budget %+v, want no limits", budget)
	}
}
