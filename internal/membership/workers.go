package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

const (
	// heartbeatTimeoutIntervals is the heartbeat timeout as a number of heartbeat
	// intervals.
	heartbeatTimeoutIntervals = 3
	// largeFleetSize is the minimum number of machines for which the heartbeat timeout is
	// halved. Heartbeats of a large fleet arrive frequently, and a failover must finish
	// before the leases of the workers expire.
	largeFleetSize = 20
)

// Fleet provides the machines of the shards that this controller owns.
type Fleet interface {
	// MachineCount returns the number of machines.
	MachineCount() int
	// VisitBooted calls visit for each machine that has booted, with its address and
	// the time since which this controller has owned it.
	VisitBooted(visit func(address string, ownedSince cluster.Time))
}

// WorkerReachability tracks whether this node and its workers reach each other.
//
// unreachable is set only while this node owns machines that should send heartbeats. It
// is cleared only by a heartbeat of an owned machine or a reply to Probe.
type WorkerReachability struct {
	loop              *eventloop.Loop
	heartbeatInterval cluster.Time
	process           *ProcessHealth
	fleet             Fleet

	lastOwnedHeartbeat cluster.Time // last heartbeat from a machine owned here, or last reply to Probe
	lastHeartbeat      cluster.Time // last heartbeat from any machine
	unreachable        bool
	probeAddress       string // address of a silent worker
}

// NewWorkerReachability returns a WorkerReachability. Workers count as reachable until
// their heartbeats time out.
func NewWorkerReachability(loop *eventloop.Loop, heartbeatInterval cluster.Time, process *ProcessHealth, fleet Fleet) *WorkerReachability {
	return &WorkerReachability{loop: loop, heartbeatInterval: heartbeatInterval, process: process, fleet: fleet}
}

// RecordHeartbeat records a heartbeat from the worker of any machine, whichever
// controller owns it.
func (w *WorkerReachability) RecordHeartbeat() { w.lastHeartbeat = w.loop.Now() }

// RecordOwnedHeartbeat records a heartbeat from the worker of a machine owned here.
func (w *WorkerReachability) RecordOwnedHeartbeat() { w.lastOwnedHeartbeat = w.loop.Now() }

// HasHeartbeatWithin reports whether a heartbeat from any worker arrived within the
// given duration.
func (w *WorkerReachability) HasHeartbeatWithin(duration cluster.Time) bool {
	return w.lastHeartbeat > 0 && w.loop.Now()-w.lastHeartbeat < duration
}

// HasOwnedHeartbeatWithin reports whether a heartbeat from the worker of a machine owned
// here arrived within the given duration.
func (w *WorkerReachability) HasOwnedHeartbeatWithin(duration cluster.Time) bool {
	return w.lastOwnedHeartbeat > 0 && w.loop.Now()-w.lastOwnedHeartbeat < duration
}

// heartbeatTimeout returns the time without a heartbeat from any owned machine after
// which the workers count as unreachable.
func (w *WorkerReachability) heartbeatTimeout() cluster.Time {
	timeout := heartbeatTimeoutIntervals * w.heartbeatInterval
	if w.fleet.MachineCount() >= largeFleetSize {
		timeout /= 2
	}
	return timeout
}

// CanReachWorkers reports whether this node reaches its workers. The result becomes false
// when this node owns several booted machines and none of them has sent a heartbeat
// within the heartbeat timeout, for example because of a network partition. It stays
// false until a heartbeat of an owned machine or a reply to Probe arrives, even if the
// shards are lost in the meantime.
func (w *WorkerReachability) CanReachWorkers() bool {
	timeout := w.heartbeatTimeout()
	if w.loop.Now()-w.lastOwnedHeartbeat < timeout {
		w.unreachable = false
		return true
	}
	silent, lastAddress := 0, ""
	w.fleet.VisitBooted(func(address string, ownedSince cluster.Time) {
		if w.loop.Now()-max(ownedSince, w.process.ResumedAt()) > timeout {
			silent++
			lastAddress = address
		}
	})
	if silent > 1 { // a single silent worker may just hang
		w.unreachable, w.probeAddress = true, lastAddress
	}
	return !w.unreachable
}

// Probe queries the status of a silent worker if the workers count as unreachable. A
// successful reply makes them count as reachable again.
func (w *WorkerReachability) Probe() {
	if !w.unreachable || w.probeAddress == "" {
		return
	}
	call := eventloop.Call(w.loop, func(reply messages.WorkerReply) {
		if reply.Outcome == messages.OK {
			w.unreachable = false
			w.lastOwnedHeartbeat = w.loop.Now()
		}
	})
	w.loop.Emit(messages.QueryWorkerStatus{Addr: w.probeAddress, Call: call})
}
