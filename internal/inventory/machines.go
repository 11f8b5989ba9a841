package inventory

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// AddMachine adds the machine that a line of a group's record describes, owned from now
// on under a token.
func (inv *Inventory) AddMachine(group *state.MachineGroup, line grouprecord.Machine, token cluster.FencingToken) *state.Machine {
	delete(inv.owners, line.ID)
	return inv.state.AddMachine(group, line, token, inv.loop.Now())
}

// dropMachine forgets a machine that is no longer owned here, and sends its worker to
// the owner of its shard.
func (inv *Inventory) dropMachine(machine *state.Machine) {
	inv.state.RemoveMachine(machine)
	inv.redirectPendingHeartbeat(machine, inv.state.Shards[machine.ShardID].Owner)
}

// DropShard forgets the machines, jobs and groups of a shard that is not owned any more,
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

// removeTerminated forgets a machine that the cloud has taken back, once its record no
// longer lists it. Its tasks may be started elsewhere.
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

// redirectPendingHeartbeat answers the heartbeat that waits, if there is one, with the
// node to turn to.
func (inv *Inventory) redirectPendingHeartbeat(machine *state.Machine, to cluster.NodeID) {
	if machine.PendingHeartbeat != 0 {
		inv.workers.RedirectWorker(machine.PendingHeartbeat, to)
		machine.PendingHeartbeat = 0
	}
}

// RemoveAssignment follows a stored record that no longer lists a task: from here on it
// may be started elsewhere.
func (inv *Inventory) RemoveAssignment(machine *state.Machine, assignment *state.Assignment) {
	if machine.RemoveAssignment(assignment, inv.loop.Now()) {
		inv.unassign(assignment)
	}
}

// unassign makes a task that a machine no longer lists wait again, and forgets its job
// if that has finished and waited only for this.
func (inv *Inventory) unassign(assignment *state.Assignment) {
	job := assignment.Job
	job.Unassign(assignment)
	if job.FinalStatus != "" && len(job.Assignments) == 0 && inv.state.Jobs.Owns(job) {
		inv.state.RemoveOwnedJob(job)
	}
	inv.scheduler.RequestScheduling()
}

// RaiseToken raises a machine's fencing token, which is the revision of the write of its
// record. Whatever was sent under the lower one can't be executed any more once the
// worker has acknowledged the new one.
func (inv *Inventory) RaiseToken(machine *state.Machine) {
	if machine.BeginTokenRaise() {
		inv.WriteMachine(machine, writequeue.PriorityStart)
	}
}
