package simulation

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// minHeartbeatInterval is the minimum time between a worker's heartbeat and the
	// next one that a change on the worker triggers.
	minHeartbeatInterval = second / 2
	// heartbeatResponseTimeout is how long a worker waits for the response to a heartbeat.
	heartbeatResponseTimeout = 4 * second
	// nextNodeDelay is how long a worker waits before it tries the next controller.
	nextNodeDelay = second
)

// heartbeatSender sends the workers' heartbeats to the controllers.
type heartbeatSender struct {
	*environment
	nodes     *nodeSet
	network   *Network
	machines  *Machines
	failovers *Failovers
	copies    *StartCopies
}

// loop sends a worker's periodic heartbeats, with jitter, until the machine is removed.
func (s *heartbeatSender) loop(worker *SimulatedWorker) {
	if worker.removed {
		return
	}
	interval := s.config.HeartbeatInterval
	s.After(s.RandomBetween(interval*3/4, interval*5/4), func() { s.loop(worker) })
	s.send(worker)
}

// schedule sends an additional heartbeat after a change on the worker, but no earlier than
// minHeartbeatInterval after the last heartbeat.
func (s *heartbeatSender) schedule(worker *SimulatedWorker) {
	delay := max(worker.lastHeartbeatAt+minHeartbeatInterval-s.Now, 0)
	s.After(delay, func() { s.send(worker) })
}

// send sends a worker's heartbeat, unless the machine was removed or hangs. If an
// exchange is pending, the heartbeat is queued until the exchange has finished.
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
	s.After(heartbeatResponseTimeout, exchange.timeOut)
	exchange.send()
}

// deliverDuplicate delivers a copy of a heartbeat to a random controller after a
// delay.
func (s *heartbeatSender) deliverDuplicate(status cluster.HeartbeatStatus, delay cluster.Time) {
	node := s.nodes.randomNode()
	s.After(delay, func() {
		node.SendRequest(heartbeatRequest(status), func(messages.Respond) {
			s.FaultCounts[FaultDuplicateHeartbeat]++
			if s.machines.Workers[status.Machine].removed {
				s.FaultCounts[FaultDuplicateHeartbeatOfRemovedMachine]++
			}
		})
	})
}

func heartbeatRequest(status cluster.HeartbeatStatus) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event {
		return messages.Heartbeat{Request: id, Status: status}
	}
}

func oversizedHeartbeatRequest(machine cluster.MachineID) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event {
		return messages.OversizedHeartbeat{Request: id, Machine: machine}
	}
}

// heartbeatExchange is a heartbeat and its response.
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
	if isHeartbeatTooLarge(&x.status) {
		s.FaultCounts[FaultHeartbeatTooLarge]++
		x.node.SendRequest(oversizedHeartbeatRequest(x.status.Machine), x.handleResponse)
		return
	}
	s.failovers.captureHeartbeat(x.status)
	x.node.SendRequest(heartbeatRequest(x.status), x.handleResponse)
}

// deliverLate delivers a heartbeat that was sent during a partition, if it arrives
// at all. The response to it is discarded.
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

// finish ends the exchange. After the delay, the worker can send the next heartbeat, and
// a queued one is scheduled.
func (x *heartbeatExchange) finish(delay cluster.Time) {
	x.finished = true
	x.sender.After(delay, func() {
		x.worker.exchangePending = false
		if x.worker.heartbeatQueued {
			x.worker.heartbeatQueued = false
			x.sender.schedule(x.worker)
		}
	})
}

// tryNextNode ends the exchange, switches the worker to the next controller and queues
// another heartbeat.
func (x *heartbeatExchange) tryNextNode() {
	x.worker.nodeIndex = (x.worker.nodeIndex + 1) % len(x.sender.nodes.Nodes)
	x.worker.heartbeatQueued = true
	x.finish(nextNodeDelay)
}

// handleResponse handles a controller's response. If a fault keeps the worker from
// receiving it, the worker tries the next controller after the timeout.
func (x *heartbeatExchange) handleResponse(response messages.Respond) {
	s, worker := x.sender, x.worker
	if x.finished || worker.removed {
		return
	}
	if x.sentAt < worker.unreachableUntil {
		s.FaultCounts[FaultResponseToUnreachableMachine]++
		return
	}
	if s.Now < x.node.StorePartitionedUntil && s.Now < x.node.PeersPartitionedUntil && response.Status == messages.StatusOK {
		s.FaultCounts[FaultResponseFromIsolatedNode]++
	}
	if s.Now < worker.hungUntil {
		return
	}
	switch {
	case response.Status == messages.StatusOK && response.Heartbeat != nil:
		x.accept(*response.Heartbeat)
		s.copies.record(worker.ID, StartCopy{
			Commands:   response.Heartbeat.Commands,
			InResponse: true,
			deliver:    func() { x.handleLate(response) },
		})
	case response.Status == messages.StatusMisdirected && response.Heartbeat != nil:
		x.redirect(response.Heartbeat.RedirectTo)
	default:
		x.tryNextNode()
	}
}

// handleLate handles a late copy of a response. A machine that hangs handles it when it
// recovers.
func (x *heartbeatExchange) handleLate(response messages.Respond) {
	x.sender.After(x.worker.hungUntil-x.sender.Now+millisecond, func() { x.handleResponse(response) })
}

// accept passes a successful response to the worker and ends the exchange. It queues
// another heartbeat if the response has a new fencing token or commands.
func (x *heartbeatExchange) accept(response messages.HeartbeatResponse) {
	if isResponseTooLarge(&response) {
		x.sender.reportViolation("long_line: the response to a heartbeat of %s has %d commands in a line over 64 KiB", x.worker.ID, len(response.Commands))
	}
	previousToken := x.worker.FencingToken
	x.worker.HandleHeartbeatResponse(x.status.Incarnation, x.sentAt, response)
	x.sender.logCommands(x.node, x.worker, response.FencingToken, response.Commands)
	if x.worker.FencingToken > previousToken || len(response.Commands) > 0 {
		x.worker.heartbeatQueued = true
	}
	x.finish(0)
}

// redirect ends the exchange, switches the worker to the controller named in the response
// and queues another heartbeat. If the name is unknown or that of the controller that
// responded, the worker tries the next controller instead.
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
