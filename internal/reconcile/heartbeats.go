package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// MaxHeartbeatHold is how long the response to a heartbeat waits for the record of a start
// to be stored. The response is sent no later than at the first scan after this time. The
// time must be shorter than the 4 s after which a worker stops waiting for a response.
const MaxHeartbeatHold = 600 * millisecond

// Heartbeats handles and answers the heartbeats of workers.
type Heartbeats struct {
	*shared
	reconciler *Reconciler
	held       heldHeartbeats
}

// Handle accepts, redirects or rejects a heartbeat. It applies an accepted one to the state,
// and AnswerReady sends the response, in the same event loop step unless the response has
// to wait for a record. Orphans handles the heartbeats of unknown machines.
func (h *Heartbeats) Handle(heartbeat messages.Heartbeat) {
	status := &heartbeat.Status
	h.deps.Reachability.RecordHeartbeat()
	if h.deps.IsIsolated() {
		// Accepting the heartbeat would keep the worker connected to this controller
		// although another one may own the shard by now.
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
		h.redirect(machine.PendingHeartbeat, "") // the new heartbeat supersedes it
	}
	machine.PendingHeartbeat = heartbeat.Request
	machine.PendingSequenceNumber = status.SequenceNumber
	machine.ResponseDeadline = h.loop.Now() + MaxHeartbeatHold
	if h.reconciler.ApplyStatus(machine, status, false) {
		h.deps.Reachability.RecordOwnedHeartbeat()
		h.deps.RequestScheduling()
	}
	h.held.toCheck = append(h.held.toCheck, machine)
}

// accept reports whether this controller may apply and answer the heartbeat of a
// machine. If not, it rejects the heartbeat or redirects the worker. If the worker has
// seen a higher token, it also checks whether the machine was transferred.
func (h *Heartbeats) accept(machine *state.Machine, request messages.RequestID, status *cluster.HeartbeatStatus) bool {
	shard := h.state.Shards[machine.ShardID]
	switch {
	case !shard.Owned || !shard.Ready:
		h.respondUnavailable(request)
	case !h.deps.Ownership.CanAnswerWorkers(shard):
		// Another controller may have acquired the shard and cancelled some of its jobs.
		h.redirect(request, "")
	case status.FencingToken > machine.Token:
		// Another owner has issued a higher token. The worker would discard a response
		// with this controller's token, and its lease would expire.
		h.deps.Machines.CheckOwner(machine)
		h.redirect(request, h.state.Shards[machine.ShardID].Owner)
	case status.Incarnation < machine.Incarnation:
		h.redirect(request, "")
	default:
		return true
	}
	return false
}

// Redirect answers a heartbeat with a redirect to the given controller, or to any other
// controller if to is empty or this controller.
func (h *Heartbeats) Redirect(request messages.RequestID, to cluster.NodeID) { h.redirect(request, to) }

// Answer answers a machine's pending heartbeat with the machine's commands, and marks the
// starts among them as dispatched. While the token is being raised, only stops are sent.
func (h *Heartbeats) Answer(machine *state.Machine) {
	request := machine.PendingHeartbeat
	machine.PendingHeartbeat = 0
	commands := h.reconciler.Commands.For(machine, false)
	if machine.RaisingToken {
		commands = onlyStops(commands)
	}
	for _, command := range commands {
		if command.Kind == cluster.Start {
			machine.Assignments[command.Task].MarkDispatchedInResponse(machine.PendingSequenceNumber)
		}
	}
	machine.PushQueued = false
	response := &messages.HeartbeatResponse{FencingToken: machine.Token, Commands: commands}
	h.loop.Emit(messages.Respond{Request: request, Status: messages.StatusOK, Heartbeat: response})
}
