package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// workerReachability tells whether workers reach this node.
//
// lost is set only while this node holds machines that should report, and is
// cleared only by a report or by a worker that could be called.
type workerReachability struct {
	lastOwnedHeartbeat cluster.Time // of a machine held here
	lastHeartbeat      cluster.Time // also of another's
	unreachable        bool
	probeAddress       string // of a silent worker, to find out whether it can be reached
}

// hasHeartbeatWithin tells whether any worker has reported here within a time.
func (s *workerReachability) hasHeartbeatWithin(now, within cluster.Time) bool {
	return s.lastHeartbeat > 0 && now-s.lastHeartbeat < within
}

// hasOwnedHeartbeatWithin tells whether a machine held here has reported within a time.
func (s *workerReachability) hasOwnedHeartbeatWithin(now, within cluster.Time) bool {
	return s.lastOwnedHeartbeat > 0 && now-s.lastOwnedHeartbeat < within
}

// largeFleetSize report so often between them that half the patience is enough:
// a short lease leaves a successor little time to answer them.
const largeFleetSize = 20

// canReachWorkers is false when this node has machines but no worker has reported
// for several intervals, as when it is cut from the workers. It stays false
// until a worker has been reached again, also after the parts are given up.
func (c *Controller) canReachWorkers() bool {
	s := &c.workerReachability
	patience := 3 * c.config.HeartbeatInterval
	if len(c.state.Machines) >= largeFleetSize {
		patience /= 2
	}
	if c.loop.Now()-s.lastOwnedHeartbeat < patience {
		s.unreachable = false
		return true
	}
	silent := 0
	addr := ""
	for _, p := range c.state.Shards {
		for _, m := range p.Machines {
			if !m.Booting && c.loop.Now()-max(m.OwnedSince, c.processHealth.resumedAt) > patience {
				silent++
				addr = m.Address
			}
		}
	}
	if silent > 1 { // a single one may just hang
		s.unreachable, s.probeAddress = true, addr
	}
	return !s.unreachable
}

// probeWorker asks a worker for its state while the workers seem lost.
func (c *Controller) probeWorker() {
	s := &c.workerReachability
	if !s.unreachable || s.probeAddress == "" {
		return
	}
	c.loop.Emit(messages.QueryWorkerStatus{Addr: s.probeAddress, Call: eventloop.Call(c.loop, func(reply messages.PushCommandsReply) {
		if reply.Outcome == messages.OK {
			s.unreachable = false
			s.lastOwnedHeartbeat = c.loop.Now()
		}
	})})
}
