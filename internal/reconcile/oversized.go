package reconcile

import (
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// HandleOversized rejects a heartbeat that exceeds the protocol's size limit. Its worker
// loses its lease, and with it all tasks, unless a later heartbeat is small enough. If the
// machine is owned, the controller therefore reads the worker's status, which has no size
// limit, and pushes stops and acknowledgements until the heartbeats fit.
func (h *Heartbeats) HandleOversized(heartbeat messages.OversizedHeartbeat) {
	h.loop.Emit(messages.Respond{Request: heartbeat.Request, Status: messages.StatusBadRequest, Error: heartbeat.Reason})
	machine := h.state.Machines[heartbeat.Machine]
	if machine == nil || machine.Releasing || machine.Address == "" || h.deps.IsIsolated() {
		return
	}
	shard := h.state.Shards[machine.ShardID]
	if !shard.Owned || !shard.Ready || !h.deps.Ownership.CanAnswerWorkers(shard) {
		return
	}
	if machine.OversizedSince == 0 {
		machine.OversizedSince = h.loop.Now()
		h.loop.Log(messages.LogInfo, "heartbeats of the machine are too large; reading its status and pushing commands instead",
			"machine", string(machine.ID), "tasks", machine.ListableTaskCount(), "max_tasks", machine.MaxTasks())
	}
	h.queryOversized(machine)
}

// queryOversized reads the status of a worker whose heartbeats are too large, and pushes the
// commands that would otherwise be sent in the response to a heartbeat.
func (h *Heartbeats) queryOversized(machine *state.Machine) {
	if machine.StatusQueryPending {
		return
	}
	machine.StatusQueryPending = true
	call := eventloop.Call(h.loop, func(reply messages.WorkerReply) {
		machine.StatusQueryPending = false
		if reply.Outcome != messages.OK || reply.Status.Machine != machine.ID || h.state.Machines[machine.ID] != machine {
			return
		}
		if h.reconciler.ApplyStatus(machine, &reply.Status, true) {
			h.deps.RequestScheduling()
		}
		h.reconciler.Commands.QueuePush(machine)
	})
	h.loop.Emit(messages.QueryWorkerStatus{Addr: machine.Address, Call: call})
}
