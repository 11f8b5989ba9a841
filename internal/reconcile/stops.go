package reconcile

import (
	"stairrelay/internal/state"
)

// graceMarginSeconds is added to the time that a task takes to save.
const graceMarginSeconds = 1

// Stops stops tasks. Each cause has its method:
//
//   - StopJob: the task's job was cancelled, or failed with one that it needs.
//   - Preempt: scheduling needs the place for a task of higher priority or of a team
//     below its fair share, or another shard needs the machine more.
//   - MoveOffSlowMachine: the machine is slow, or the task runs late on it.
//   - handlePreemptionNotice (draining.go): the cloud takes the machine.
//
// Tasks that no record lists are stopped by unrecorded.go. All other ends of a task
// are its own, or that of its machine (ReleaseReason).
type Stops struct {
	*shared
	reconciler *Reconciler
}

// StopJob stops every task of a job that is cancelled, without grace, also those that
// were to save: their result is not needed any more.
func (s *Stops) StopJob(job *state.Job) {
	for _, assignment := range job.SortedAssignments() {
		machine := s.state.Machines[assignment.MachineID]
		if machine == nil || !assignment.IsLive() || assignment.Phase == state.PhaseRecording {
			continue
		}
		assignment.StopRequested = false
		s.stop(machine, assignment, 0)
		assignment.GracePeriod, assignment.StopSentAt = 0, 0
	}
}

// WithdrawUnsent withdraws the starts of a job that were not sent.
func (s *Stops) WithdrawUnsentStarts(job *state.Job) {
	for _, assignment := range job.SortedAssignments() {
		if machine := s.state.Machines[assignment.MachineID]; machine != nil && assignment.Phase == state.PhaseReady {
			s.reconciler.ConfirmAbsent(machine, assignment)
		}
	}
}

// Preempt stops a task to free its place for another, and gives it the time to save.
func (s *Stops) Preempt(machine *state.Machine, assignment *state.Assignment) {
	s.stop(machine, assignment, assignment.Job.Spec.SaveSeconds+graceMarginSeconds)
}

// MoveOffSlowMachine stops a task so that it starts again on another machine. Saving
// takes longer on a slow one.
func (s *Stops) MoveOffSlowMachine(machine *state.Machine, assignment *state.Assignment) {
	const slowSaveFactor = 4
	s.stop(machine, assignment, assignment.Job.Spec.SaveSeconds*slowSaveFactor+graceMarginSeconds)
}

// stop has a task stopped, after a grace in seconds for a task checkpoint. A start that
// was not sent is withdrawn instead; one whose record is being written stays, and is
// dropped once that is stored if its job is over.
func (s *Stops) stop(machine *state.Machine, assignment *state.Assignment, grace float64) {
	if assignment.StopRequested || assignment.Phase == state.PhaseRecording {
		return
	}
	if assignment.Phase == state.PhaseReady {
		assignment.StopRequested = true
		s.reconciler.ConfirmAbsent(machine, assignment)
		return
	}
	assignment.RequestStop(grace, s.loop.Now())
	s.reconciler.Commands.QueuePush(machine)
}
