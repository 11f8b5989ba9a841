package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// MaxHeartbeatHold is how long the answer to a heartbeat waits for the record that
// lists the starts it is to carry. The worker waits 4 s for the answer, and its lease
// counts from the sending.
const MaxHeartbeatHold = 600 * millisecond

// Heartbeats answers the workers' heartbeats.
type Heartbeats struct {
	*shared
	reconciler *Reconciler
	held       heldHeartbeats
}

// Handle applies a heartbeat to the state. The answer follows with AnswerReady, in
// the same step unless the machine awaits a record.
func (h *Heartbeats) Handle(heartbeat messages.Heartbeat) {
	status := &heartbeat.Status
	h.deps.Reachability.RecordHeartbeat()
	if h.deps.IsIsolated() {
		// An answer that accepts the heartbeat would keep the worker here, though
		// another controller may own the shard by now.
		h.redirect(heartbeat.Request, "")
		return
	}
	machine := h.state.Machines[status.Machine]
	if machine == nil {
		h.reconciler.Orphans.HandleHeartbeat(heartbeat)
		return
	}
	if !h.accept(machine, heartbeat.Request, status) {
		return
	}
	if machine.PendingHeartbeat != 0 {
		h.redirect(machine.PendingHeartbeat, "") // only the latest heartbeat is answered
	}
	machine.PendingHeartbeat = heartbeat.Request
	machine.PendingSequenceNumber = status.SequenceNumber
	machine.ReplyDeadline = h.loop.Now() + MaxHeartbeatHold
	if h.reconciler.ApplyStatus(machine, status, false) {
		h.deps.Reachability.RecordOwnedHeartbeat()
		h.deps.RequestScheduling()
	}
	h.held.toCheck = append(h.held.toCheck, machine)
}

// accept tells whether this controller may answer a machine's heartbeat. If not, it
// has told the worker where to go.
func (h *Heartbeats) accept(machine *state.Machine, request messages.RequestID, status *cluster.HeartbeatStatus) bool {
	shard := h.state.Shards[machine.ShardID]
	switch {
	case !shard.Owned || !shard.Ready:
		h.respondUnavailable(request)
	case !h.deps.Ownership.CanAnswerWorkers(shard):
		// Another controller may have acquired the shard unnoticed, and cancelled
		// jobs of it.
		h.redirect(request, "")
	case status.FencingToken > machine.Token:
		// A later owner has reached the worker: it would drop an answer with our
		// token, and wait here while its lease runs out.
		h.deps.Machines.CheckOwner(machine)
		h.redirect(request, h.state.Shards[machine.ShardID].Owner)
	case status.Incarnation < machine.Incarnation:
		h.redirect(request, "")
	default:
		return true
	}
	return false
}

// Redirect answers a heartbeat with the controller to turn to; empty: any other.
func (h *Heartbeats) Redirect(request messages.RequestID, to cluster.NodeID) { h.redirect(request, to) }

// Answer answers a machine's heartbeat with what it is to do.
func (h *Heartbeats) Answer(machine *state.Machine) {
	request := machine.PendingHeartbeat
	machine.PendingHeartbeat = 0
	commands := h.reconciler.Commands.For(machine, false)
	if machine.RaisingToken {
		commands = onlyStops(commands)
	}
	for _, command := range commands {
		if command.Kind == cluster.Start {
			machine.Assignments[command.Task].MarkDispatchedInReply(machine.PendingSequenceNumber)
		}
	}
	machine.PushQueued = false
	response := &messages.HeartbeatResponse{FencingToken: machine.Token, Commands: commands}
	h.loop.Emit(messages.Respond{Request: request, Status: messages.ReplyOK, Heartbeat: response})
}
