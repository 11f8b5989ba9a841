package inventory

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// AddMachine adds the machine that an entry of a group's record describes, with the
// given fencing token.
func (inv *Inventory) AddMachine(group *state.MachineGroup, entry grouprecord.Machine, token cluster.FencingToken) *state.Machine {
	delete(inv.ownerHints, entry.ID)
	return inv.state.AddMachine(group, entry, token, inv.loop.Now())
}

// dropMachine removes a machine that this controller no longer owns, and answers its
// pending heartbeat with a redirect to the owner of the machine's shard.
func (inv *Inventory) dropMachine(machine *state.Machine) {
	inv.state.RemoveMachine(machine)
	inv.redirectPendingHeartbeat(machine, inv.state.Shards[machine.ShardID].Owner)
}

// DropShard removes the machines, jobs and groups of a shard that is no longer owned,
// or whose records are read again.
func (inv *Inventory) DropShard(shard *state.Shard) {
	for _, m := range slices.Clone(shard.Machines) {
		inv.dropMachine(m)
	}
	for _, job := range slices.Clone(shard.Jobs) {
		inv.jobs.Abandon(job)
	}
	maps.DeleteFunc(inv.state.Groups, func(_ string, group *state.MachineGroup) bool {
		return group.ShardID == shard.ID
	})
}

// removeTerminated removes a machine that the cloud has terminated, after a record without
// the machine was stored. Its tasks may then be started on other machines.
func (inv *Inventory) removeTerminated(machine *state.Machine) {
	if inv.state.Machines[machine.ID] != machine {
		return
	}
	inv.state.RemoveMachine(machine)
	for _, a := range machine.SortedAssignments() {
		delete(machine.Assignments, a.Task)
		inv.unassign(a)
	}
	inv.redirectPendingHeartbeat(machine, "")
}

// redirectPendingHeartbeat answers a machine's pending heartbeat, if there is one, with a
// redirect to a node, or to any other node if to is empty.
func (inv *Inventory) redirectPendingHeartbeat(machine *state.Machine, to cluster.NodeID) {
	if machine.PendingHeartbeat != 0 {
		inv.workers.RedirectWorker(machine.PendingHeartbeat, to)
		machine.PendingHeartbeat = 0
	}
}

// RemoveAssignment removes an assignment that the stored record no longer lists. The
// task may then be started on another machine.
func (inv *Inventory) RemoveAssignment(machine *state.Machine, assignment *state.Assignment) {
	if machine.RemoveAssignment(assignment, inv.loop.Now()) {
		inv.unassign(assignment)
	}
}

// unassign makes the task of a removed assignment pending again and requests a scheduling
// run. If the task's job has finished and has no other assignment, it removes the job.
func (inv *Inventory) unassign(assignment *state.Assignment) {
	job := assignment.Job
	job.Unassign(assignment)
	if job.FinalStatus != "" && len(job.Assignments) == 0 && inv.state.Jobs.Owns(job) {
		inv.state.RemoveOwnedJob(job)
	}
	inv.scheduler.RequestScheduling()
}

// RaiseToken enqueues a write of the machine's record, whose revision becomes the machine's
// new fencing token. A worker that has acknowledged the new token no longer executes
// commands sent under a lower one. RaiseToken has no effect if the token is already being
// raised or the machine is being released.
func (inv *Inventory) RaiseToken(machine *state.Machine) {
	if machine.BeginTokenRaise() {
		inv.tokenRaises++
		inv.WriteMachine(machine, writequeue.PriorityStart)
	}
}

// TakeTokenRaiseCount returns the number of token raises that were begun since it was last
// called.
func (inv *Inventory) TakeTokenRaiseCount() int {
	count := inv.tokenRaises
	inv.tokenRaises = 0
	return count
}
