package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

const (
	// patienceIntervals is for how many heartbeat intervals all workers may be
	// silent before they count as out of reach.
	patienceIntervals = 3
	// largeFleetSize is from how many machines on half of that is enough: they send
	// heartbeats so often between them, and a short lease leaves a successor little
	// time to answer them.
	largeFleetSize = 20
)

// Fleet shows the machines of the shards that this controller owns.
type Fleet interface {
	// MachineCount is the number of machines.
	MachineCount() int
	// VisitBooted calls a function for each machine that has booted, with its
	// address and since when this controller has owned it.
	VisitBooted(visit func(address string, ownedSince cluster.Time))
}

// WorkerReachability tells whether workers reach this node, and the node them.
//
// unreachable is set only while this node owns machines that should send
// heartbeats, and is cleared only by a heartbeat or by a worker that has answered.
type WorkerReachability struct {
	loop              *eventloop.Loop
	heartbeatInterval cluster.Time
	process           *ProcessHealth
	fleet             Fleet

	lastOwnedHeartbeat cluster.Time // of a machine owned here
	lastHeartbeat      cluster.Time // also of another's
	unreachable        bool
	probeAddress       string // of a silent worker, to find out whether it can be reached
}

// NewWorkerReachability counts the workers as in reach until they are silent for
// too long.
func NewWorkerReachability(loop *eventloop.Loop, heartbeatInterval cluster.Time, process *ProcessHealth, fleet Fleet) *WorkerReachability {
	return &WorkerReachability{loop: loop, heartbeatInterval: heartbeatInterval, process: process, fleet: fleet}
}

// RecordHeartbeat records that a worker, of whatever owner, has sent a heartbeat here.
func (w *WorkerReachability) RecordHeartbeat() { w.lastHeartbeat = w.loop.Now() }

// RecordOwnedHeartbeat records that the worker of a machine owned here has sent a
// heartbeat.
func (w *WorkerReachability) RecordOwnedHeartbeat() { w.lastOwnedHeartbeat = w.loop.Now() }

// HasHeartbeatWithin tells whether any worker has sent a heartbeat here within a time.
func (w *WorkerReachability) HasHeartbeatWithin(duration cluster.Time) bool {
	return w.lastHeartbeat > 0 && w.loop.Now()-w.lastHeartbeat < duration
}

// HasOwnedHeartbeatWithin tells whether the worker of a machine owned here has sent a
// heartbeat within a time.
func (w *WorkerReachability) HasOwnedHeartbeatWithin(duration cluster.Time) bool {
	return w.lastOwnedHeartbeat > 0 && w.loop.Now()-w.lastOwnedHeartbeat < duration
}

// patience is how long all workers may be silent before they count as out of reach.
func (w *WorkerReachability) patience() cluster.Time {
	patience := patienceIntervals * w.heartbeatInterval
	if w.fleet.MachineCount() >= largeFleetSize {
		patience /= 2
	}
	return patience
}

// CanReachWorkers is false when this node owns machines but no worker has sent a
// heartbeat for several intervals, as when it is cut off from the workers. It stays
// false until a worker has been reached again, also after the shards are given up.
func (w *WorkerReachability) CanReachWorkers() bool {
	patience := w.patience()
	if w.loop.Now()-w.lastOwnedHeartbeat < patience {
		w.unreachable = false
		return true
	}
	silent, lastAddress := 0, ""
	w.fleet.VisitBooted(func(address string, ownedSince cluster.Time) {
		if w.loop.Now()-max(ownedSince, w.process.ResumedAt()) > patience {
			silent++
			lastAddress = address
		}
	})
	if silent > 1 { // a single one may just hang
		w.unreachable, w.probeAddress = true, lastAddress
	}
	return !w.unreachable
}

// Probe asks a worker for its state while the workers seem out of reach.
func (w *WorkerReachability) Probe() {
	if !w.unreachable || w.probeAddress == "" {
		return
	}
	call := eventloop.Call(w.loop, func(reply messages.PushCommandsReply) {
		if reply.Outcome == messages.OK {
			w.unreachable = false
			w.lastOwnedHeartbeat = w.loop.Now()
		}
	})
	w.loop.Emit(messages.QueryWorkerStatus{Addr: w.probeAddress, Call: call})
}
