package reconcile

import (
	"cmp"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// reduceExcessTasks reduces the tasks of a machine if its worker's heartbeats can't list all
// of them. The tasks may have been started by an earlier owner or another release, or the
// worker's encoding may have changed. It withdraws starts that were not sent, and stops tasks
// if those that may run do not fit even without the ended ones.
func (r *Reconciler) reduceExcessTasks(machine *state.Machine) {
	excess := machine.ListableTaskCount() - machine.MaxTasks()
	if excess <= 0 || machine.Releasing {
		return
	}
	assignments := machine.SortedAssignments()
	withdrawn := r.withdrawExcessStarts(machine, assignments, excess-countAbsent(assignments))
	stopped := r.stopExcessTasks(machine, assignments)
	if withdrawn+stopped > 0 {
		r.loop.Log(messages.LogInfo, "machine has more tasks than its heartbeats can list; moving some to other machines",
			"machine", string(machine.ID),
			"tasks", machine.ListableTaskCount(),
			"max_tasks", machine.MaxTasks(),
			"withdrawn", withdrawn,
			"stopped", stopped)
	}
}

// countAbsent returns the number of assignments that the worker does not list and that are
// removed with the next write of the record.
func countAbsent(assignments []*state.Assignment) int {
	absent := 0
	for _, assignment := range assignments {
		if assignment.ConfirmedAbsent && assignment.Phase != state.PhaseEnded {
			absent++
		}
	}
	return absent
}

// withdrawExcessStarts withdraws up to count recorded starts that were not sent, and returns
// their number.
func (r *Reconciler) withdrawExcessStarts(machine *state.Machine, assignments []*state.Assignment, count int) int {
	withdrawn := 0
	for _, assignment := range slices.Backward(assignments) {
		if withdrawn >= count {
			break
		}
		if assignment.Phase == state.PhaseReady && !assignment.ConfirmedAbsent {
			r.ConfirmAbsent(machine, assignment)
			withdrawn++
		}
	}
	return withdrawn
}

// stopExcessTasks stops tasks until a heartbeat can list all others that may run, and returns
// the number of stopped tasks. It first stops those that do not run yet, then those that were
// started last.
func (r *Reconciler) stopExcessTasks(machine *state.Machine, assignments []*state.Assignment) int {
	bytes := 0
	var candidates []*state.Assignment
	for _, assignment := range assignments {
		if assignment.MayRun() && !assignment.StopRequested {
			bytes += cluster.TaskEntryBytes(assignment.Task.Job, machine.FieldOverhead)
			candidates = append(candidates, assignment)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *state.Assignment) int {
		return cmp.Or(cmp.Compare(min(a.RunningSince, 1), min(b.RunningSince, 1)), cmp.Compare(b.RunningSince, a.RunningSince))
	})
	stopped := 0
	for bytes > cluster.MaxTaskEntriesBytes(machine.FieldOverhead) && stopped < len(candidates) {
		assignment := candidates[stopped]
		r.Stops.Preempt(machine, assignment)
		bytes -= cluster.TaskEntryBytes(assignment.Task.Job, machine.FieldOverhead)
		stopped++
	}
	return stopped
}
