// Package sockets divides the sockets of a process among workers, users and the
// process's own calls. Without limits, a controller that is left alone with all
// machines and users would run out of sockets: connections that users keep open and
// calls to machines that do not answer would keep workers and health checks out.
package sockets

const (
	// reservedSockets is what the state service, the cloud and the listeners may
	// need at once.
	reservedSockets = 16
	// socketsPerPeer is what each other controller may need at once.
	socketsPerPeer = 8
	// minSharedSockets is what a budget divides even if there are too few sockets.
	minSharedSockets = 8
	// callDivisor: one tenth of the shared sockets is for calls to workers in
	// progress, and as much for idle connections to them. With an eighth each, 900
	// workers did not get connections of 1,200 sockets.
	callDivisor = 10
	// minCalls is the least number of calls at once.
	minCalls = 2
)

// Budget says how many sockets each use gets; 0 means no limit.
type Budget struct {
	MaxWorkerCalls        int // calls to workers at once; as many idle connections to them are kept
	MaxInboundConnections int // connections of workers and users
}

// NewBudget divides the sockets that a process with a number of peers may have; 0
// sockets means no limit.
func NewBudget(sockets, peers int) Budget {
	if sockets <= 0 {
		return Budget{}
	}
	shared := max(sockets-reservedSockets-socketsPerPeer*peers, minSharedSockets)
	calls := max(shared/callDivisor, minCalls)
	return Budget{MaxWorkerCalls: calls, MaxInboundConnections: shared - 2*calls}
}
