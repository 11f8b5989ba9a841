// Package sockets limits the sockets that a controller uses for workers, users and its
// own calls. Without limits, a controller that alone serves all workers and users could
// run out of sockets: connections that users keep open and calls to unresponsive
// machines would prevent workers and health checks from connecting.
package sockets

const (
	// reservedSockets is the number of sockets reserved for the store, the cloud and
	// the listeners.
	reservedSockets = 16
	// socketsPerPeer is the number of sockets reserved for each other controller.
	socketsPerPeer = 8
	// minSharedSockets is the minimum number of sockets that are divided between calls
	// to workers and inbound connections, even if the process may open fewer.
	minSharedSockets = 8
	// workerCallDivisor reserves a tenth of the shared sockets for calls to workers,
	// and another tenth for idle connections to workers. With an eighth for each, 900
	// workers did not all get connections to a process with 1,200 sockets.
	workerCallDivisor = 10
	// minWorkerCalls is the minimum number of concurrent calls to workers.
	minWorkerCalls = 2
)

// Budget is the number of sockets for each use. 0 means no limit.
type Budget struct {
	MaxWorkerCalls        int // concurrent calls to workers; as many idle connections to them are kept
	MaxInboundConnections int // connections from workers and users
}

// NewBudget returns the budget of a process that may open the given number of sockets
// and has the given number of peers. If sockets is 0, the budget has no limits.
func NewBudget(sockets, peers int) Budget {
	if sockets <= 0 {
		return Budget{}
	}
	shared := max(sockets-reservedSockets-socketsPerPeer*peers, minSharedSockets)
	calls := max(shared/workerCallDivisor, minWorkerCalls)
	return Budget{MaxWorkerCalls: calls, MaxInboundConnections: shared - 2*calls}
}
