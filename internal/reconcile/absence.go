package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// absenceEvidence describes the status that is being applied. If the status does not list a
// task, provesStartLost uses this description to decide whether the task's start is lost.
type absenceEvidence struct {
	sequence       cluster.SequenceNumber
	newIncarnation bool // first status of a new incarnation, which starts without tasks
	pushed         bool // the status is the reply to a push
}

// applyMissingTasks handles the tasks that are assigned to the machine but missing from a
// status. A dispatched start is requeued if it is proven lost, and is kept otherwise. Any
// other task is marked as absent, unless its start was not sent yet or it has completed and
// its outcome is not stored yet. The result is true if a start that was sent in a heartbeat
// response is proven lost.
//
// It must be called only if the worker has acknowledged the machine's current token.
// Otherwise the status may be stale, or the worker may still execute a start sent by a
// previous owner.
func (r *Reconciler) applyMissingTasks(machine *state.Machine, reported map[state.TaskAttempt]bool, evidence absenceEvidence) bool {
	startLostInResponse := false
	for _, assignment := range machine.SortedAssignments() {
		if reported[assignment.TaskAttempt()] || assignment.ConfirmedAbsent {
			continue
		}
		switch assignment.Phase {
		case state.PhaseRecording, state.PhaseReady: // the start was not sent
		case state.PhaseUnverified, state.PhaseAcknowledged:
			r.ConfirmAbsent(machine, assignment)
		case state.PhaseDispatched:
			if !evidence.provesStartLost(machine, assignment) {
				continue
			}
			startLostInResponse = startLostInResponse || !assignment.Pushed
			r.requeueLostStart(machine, assignment)
		case state.PhaseEnded:
			if assignment.Cause != cluster.CauseCompleted || assignment.IsOutcomeStored() {
				r.ConfirmAbsent(machine, assignment)
			}
		}
	}
	return startLostInResponse
}

// provesStartLost reports whether the dispatched start of a task can no longer be executed,
// given that the status does not list the task. Requeueing a start that is still in flight
// could run the task twice.
//
// The first status of a new incarnation proves that a start is lost, however it was sent.
// Otherwise, a pushed start is lost if the push has completed with a known outcome. A start
// sent in a heartbeat response is lost if a later heartbeat does not list the task, because
// the worker sends the next heartbeat only after it has received the response or stopped
// waiting for it. The status in the reply to a push does not prove this, because the
// heartbeat response may still be in flight.
func (e absenceEvidence) provesStartLost(machine *state.Machine, assignment *state.Assignment) bool {
	if e.newIncarnation {
		return true
	}
	if assignment.Pushed {
		return !machine.StartInDoubt && !machine.PushInFlight
	}
	return !e.pushed && e.sequence > assignment.DispatchedAtSequence
}

// requeueLostStart makes a lost start ready to be sent again. If the job is no longer
// active, it marks the task as absent instead.
func (r *Reconciler) requeueLostStart(machine *state.Machine, assignment *state.Assignment) {
	assignment.MarkStartLost()
	if !assignment.Job.IsActive() {
		r.ConfirmAbsent(machine, assignment)
	}
}

// ConfirmAbsent marks a task as proven not to be on its machine. If the task is to start
// again, it also queues a write of the machine's record, because the task can be assigned
// to another machine only after the stored record no longer lists it. Otherwise the change
// is included in the next write of the record.
func (r *Reconciler) ConfirmAbsent(machine *state.Machine, assignment *state.Assignment) {
	if assignment.ConfirmedAbsent {
		return
	}
	machine.MarkConfirmedAbsent(assignment)
	job := assignment.Job
	if job.Assignments[assignment.Task.Index] == assignment && job.IsActive() {
		r.deps.Machines.WriteMachine(machine, writequeue.PriorityStart)
	}
}
