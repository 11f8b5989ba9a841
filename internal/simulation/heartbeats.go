package simulation

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// minHeartbeatPause is the least time between two heartbeats of a worker.
	minHeartbeatPause = second / 2
	// heartbeatAnswerTimeout is how long a worker waits for a heartbeat's answer.
	heartbeatAnswerTimeout = 4 * second
	// nextNodePause is how long a worker waits before it turns to the next controller.
	nextNodePause = second
)

// heartbeatSender sends the workers' heartbeats to the controllers.
type heartbeatSender struct {
	*environment
	nodes     *nodeSet
	network   *Network
	machines  *Machines
	failovers *Failovers
}

// loop has a worker send heartbeats at its usual pace.
func (s *heartbeatSender) loop(worker *SimulatedWorker) {
	if worker.removed {
		return
	}
	interval := s.config.HeartbeatInterval
	s.After(s.RandomBetween(interval*3/4, interval*5/4), func() { s.loop(worker) })
	s.send(worker)
}

// schedule has a worker send a heartbeat soon, as something on it has changed.
func (s *heartbeatSender) schedule(worker *SimulatedWorker) {
	pause := max(worker.lastHeartbeatAt+minHeartbeatPause-s.Now, 0)
	s.After(pause, func() { s.send(worker) })
}

// send sends a worker's heartbeat, unless one is on its way.
func (s *heartbeatSender) send(worker *SimulatedWorker) {
	if worker.removed || worker.exchangePending || s.Now < worker.hungUntil {
		worker.heartbeatQueued = worker.exchangePending
		return
	}
	worker.exchangePending = true
	worker.lastHeartbeatAt = s.Now
	worker.Advance(s.Now)
	exchange := &heartbeatExchange{
		sender: s,
		worker: worker,
		node:   s.nodes.Nodes[worker.nodeIndex],
		status: worker.NextStatus(),
		sentAt: s.Now,
	}
	s.After(heartbeatAnswerTimeout, exchange.timeOut)
	exchange.send()
}

// deliverDuplicate delivers a heartbeat again after a while, to any controller.
func (s *heartbeatSender) deliverDuplicate(status cluster.HeartbeatStatus, delay cluster.Time) {
	node := s.nodes.random()
	s.After(delay, func() {
		node.SendRequest(heartbeatRequest(status), func(messages.Respond) {
			s.FaultCounts[FaultDuplicateHeartbeat]++
			if s.machines.Workers[status.Machine].removed {
				s.FaultCounts[FaultDuplicateHeartbeatOfRemovedMachine]++
			}
		})
	})
}

// heartbeatRequest is the request that carries a heartbeat.
func heartbeatRequest(status cluster.HeartbeatStatus) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event {
		return messages.Heartbeat{Request: id, Status: status}
	}
}

// heartbeatExchange is one heartbeat with its answer.
type heartbeatExchange struct {
	sender   *heartbeatSender
	worker   *SimulatedWorker
	node     *Node
	status   cluster.HeartbeatStatus
	sentAt   cluster.Time
	finished bool
}

func (x *heartbeatExchange) send() {
	s, worker := x.sender, x.worker
	if s.Now < worker.heartbeatsBlockedUntil {
		s.FaultCounts[FaultHeartbeatBlocked]++
		x.tryNextNode()
		return
	}
	if partitionedUntil := max(x.node.WorkersPartitionedUntil, worker.partitionedUntil); s.Now < partitionedUntil {
		x.deliverLate(partitionedUntil)
		return
	}
	if s.network.isHeartbeatDuplicated() {
		s.deliverDuplicate(x.status, s.RandomBetween(second, 3*s.config.WorkerLease))
	}
	s.failovers.captureHeartbeat(x.status)
	x.node.SendRequest(heartbeatRequest(x.status), x.handleAnswer)
}

// deliverLate delivers a heartbeat that was sent over a partition; nobody reads
// its answer.
func (x *heartbeatExchange) deliverLate(partitionedUntil cluster.Time) {
	if delay, arrives := x.sender.network.lateArrival(partitionedUntil); arrives {
		x.sender.After(delay, func() { x.node.SendRequest(heartbeatRequest(x.status), func(messages.Respond) {}) })
	}
}

func (x *heartbeatExchange) timeOut() {
	if !x.finished {
		x.tryNextNode()
	}
}

// finish ends the exchange; the next heartbeat may be sent after a pause.
func (x *heartbeatExchange) finish(pause cluster.Time) {
	x.finished = true
	x.sender.After(pause, func() {
		x.worker.exchangePending = false
		if x.worker.heartbeatQueued {
			x.worker.heartbeatQueued = false
			x.sender.schedule(x.worker)
		}
	})
}

// tryNextNode turns to the next controller.
func (x *heartbeatExchange) tryNextNode() {
	x.worker.nodeIndex = (x.worker.nodeIndex + 1) % len(x.sender.nodes.Nodes)
	x.worker.heartbeatQueued = true
	x.finish(nextNodePause)
}

// handleAnswer takes in a controller's answer unless the worker can't get it. A
// worker without an answer tries the next controller when its time is up.
func (x *heartbeatExchange) handleAnswer(answer messages.Respond) {
	s, worker := x.sender, x.worker
	if x.finished || worker.removed {
		return
	}
	if x.sentAt < worker.unreachableUntil {
		s.FaultCounts[FaultResponseToUnreachableMachine]++
		return
	}
	if s.Now < x.node.StorePartitionedUntil && s.Now < x.node.PeersPartitionedUntil && answer.Status == messages.ReplyOK {
		s.FaultCounts[FaultResponseFromIsolatedNode]++
	}
	if s.Now < worker.hungUntil {
		return
	}
	switch {
	case answer.Status == messages.ReplyOK && answer.Heartbeat != nil:
		x.accept(*answer.Heartbeat)
	case answer.Status == messages.ReplyMisdirected && answer.Heartbeat != nil:
		x.redirect(answer.Heartbeat.RedirectTo)
	default:
		x.tryNextNode()
	}
}

// accept carries out the commands of the answer.
func (x *heartbeatExchange) accept(answer messages.HeartbeatResponse) {
	former := x.worker.FencingToken
	x.worker.HandleHeartbeatResponse(x.status.Incarnation, x.sentAt, answer)
	x.sender.logCommands(x.node, x.worker, answer.FencingToken, answer.Commands)
	if x.worker.FencingToken > former || len(answer.Commands) > 0 {
		x.worker.heartbeatQueued = true
	}
	x.finish(0)
}

// redirect turns to the controller that the answer names, if it is another one.
func (x *heartbeatExchange) redirect(to cluster.NodeID) {
	index := slices.IndexFunc(x.sender.nodes.Nodes, func(node *Node) bool { return node.ID == to })
	if index < 0 || to == x.node.ID {
		x.tryNextNode()
		return
	}
	x.worker.nodeIndex = index
	x.worker.heartbeatQueued = true
	x.finish(x.sender.RandomBetween(0, second/2))
}
