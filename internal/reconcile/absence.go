package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// absenceEvidence is what makes a status that does not show a task a proof that it is
// not on the machine.
type absenceEvidence struct {
	sequence       cluster.SequenceNumber
	newIncarnation bool // the first status of an incarnation, which starts without tasks
	pushed         bool // the status answers a push
}

// applyAbsent applies that a status does not show the other tasks of the record. It
// tells whether a start was lost that went with the answer to a heartbeat.
//
// It may be called only when the worker has acknowledged our token: else the status
// may be minutes old, or a start that an earlier owner sent may still be carried out
// after it.
func (r *Reconciler) applyAbsent(machine *state.Machine, present map[state.TaskAttempt]bool, evidence absenceEvidence) bool {
	lostInAnswer := false
	for _, assignment := range machine.SortedAssignments() {
		if present[assignment.TaskAttempt()] || assignment.ConfirmedAbsent {
			continue
		}
		switch assignment.Phase {
		case state.PhaseRecording, state.PhaseReady: // not sent
		case state.PhaseUnverified, state.PhaseAcknowledged:
			r.ConfirmAbsent(machine, assignment)
		case state.PhaseDispatched:
			if !evidence.provesStartLost(machine, assignment) {
				continue
			}
			lostInAnswer = lostInAnswer || !assignment.Pushed
			r.withdrawDispatched(machine, assignment)
		case state.PhaseEnded:
			if assignment.Cause != cluster.CauseCompleted || assignment.IsOutcomeStored() {
				r.ConfirmAbsent(machine, assignment)
			}
		}
	}
	return lostInAnswer
}

// provesStartLost tells whether a dispatched start that the status does not show was
// lost for good. A start that went with an answer is lost if a later heartbeat does not
// show it, as the worker sends that only when it waits for the answer no more; the status
// that answers a push says nothing about it. A pushed start is lost if its push was
// answered. Taking a start for lost any earlier would run the task a second time while
// the first start is still on its way.
func (e absenceEvidence) provesStartLost(machine *state.Machine, assignment *state.Assignment) bool {
	if e.newIncarnation {
		return true
	}
	if assignment.Pushed {
		return !machine.StartInDoubt && !machine.PushInFlight
	}
	return !e.pushed && e.sequence > assignment.DispatchedAtSequence
}

// withdrawDispatched makes a dispatched start that was lost ready to be sent again,
// or drops it if its job has ended meanwhile.
func (r *Reconciler) withdrawDispatched(machine *state.Machine, assignment *state.Assignment) {
	assignment.Redispatch()
	if !assignment.Job.IsActive() {
		r.ConfirmAbsent(machine, assignment)
	}
}

// ConfirmAbsent records that a task is proven not to be on its machine. The stored
// record must say so before the task may start elsewhere: a successor that reads an
// older record would believe that it still runs here. When no task waits for that,
// the next checkpoint takes it along.
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
