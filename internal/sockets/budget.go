// Package sockets shares a process's sockets out among workers, users and the
// process's own calls. A controller that is left alone with every machine and
// every user would else use them all up: connections that users keep open and
// calls to machines that say nothing would keep workers and health checks out.
package sockets

const (
	// reservedSockets is what the state service, the cloud and the listeners may need at once.
	reservedSockets = 16
	// socketsPerPeer is what each other controller may need at once.
	socketsPerPeer = 8
	// minSharedSockets is what a plan divides even of too few sockets.
	minSharedSockets = 8
	// callDivisor is the part of the shared sockets that calls to workers get
	// twice, in use and idle. An eighth left 900 workers of 1,200 sockets no room.
	callDivisor = 10
	minCalls    = 2
)

// Budget says how many sockets each use gets; 0: no limit is known.
type Budget struct {
	Calls   int // to workers at once; as many idle connections are kept for them
	Inbound int // connections of workers and users
}

// NewBudget divides the sockets that a process may have; 0: no limit is known.
func NewBudget(sockets, peers int) Budget {
	if sockets <= 0 {
		return Budget{}
	}
	shared := max(sockets-reservedSockets-socketsPerPeer*peers, minSharedSockets)
	calls := max(shared/callDivisor, minCalls)
	return Budget{Calls: calls, Inbound: shared - 2*calls}
}
