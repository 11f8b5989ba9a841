package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// absenceEvidence describes a status that does not list a task. It decides whether the
// status proves that the task is not on the machine.
type absenceEvidence struct {
	sequence       cluster.SequenceNumber
	newIncarnation bool // first status of a new incarnation, which starts without tasks
	pushed         bool // the status is the reply to a push
}

// applyMissingTasks handles the tasks of the machine's record that a status does not
// list. It reports whether a start sent in a heartbeat response was lost.
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

// provesStartLost reports whether a dispatched start that the status does not list can
// no longer reach the worker. Requeueing a start that is still in flight would run the
// task twice.
//
// A start sent in a heartbeat response is lost if a later heartbeat does not list the
// task, because the worker sends the next heartbeat only after it has received the
// response or stopped waiting for it. The reply to a push does not prove this. A pushed
// start is lost if the push has completed with a known outcome.
func (e absenceEvidence) provesStartLost(machine *state.Machine, assignment *state.Assignment) bool {
	if e.newIncarnation {
		return true
	}
	if assignment.Pushed {
		return !machine.StartInDoubt && !machine.PushInFlight
	}
	return !e.pushed && e.sequence > assignment.DispatchedAtSequence
}

// requeueLostStart makes a lost start ready to be sent again. If its job is no longer
// active, the task is marked as absent instead.
func (r *Reconciler) requeueLostStart(machine *state.Machine, assignment *state.Assignment) {
	assignment.MarkStartLost()
	if !assignment.Job.IsActive() {
		r.ConfirmAbsent(machine, assignment)
	}
}

// ConfirmAbsent marks a task as proven not to be on its machine. If the task is to
// start again, the machine's record is written immediately, because a new owner that reads
// an outdated record would assume that the task still runs here. Otherwise the change is
// included in the next write of the record.
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
