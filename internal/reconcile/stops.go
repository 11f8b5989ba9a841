package reconcile

import (
	"stairrelay/internal/state"
)

// graceMarginSeconds is added to the time allowed for writing a checkpoint. The sum is the
// grace period of a stop.
const graceMarginSeconds = 1

// Stops stops tasks. It has a method for each reason:
//
//   - StopJob: the job, or a job that it depends on, was cancelled.
//   - Preempt: the resources or the team's quota are needed for an urgent job of higher
//     priority, the resources are needed for a job within the guaranteed quota of another
//     team, or another shard needs the machine for urgent jobs of higher priority.
//   - MoveOffSlowMachine: the machine is slow, or the task is a straggler on it.
//   - handlePreemptionNotice (draining.go): the cloud preempts the machine.
//
// A reported task that its machine's record does not list is also stopped (see
// handleUnrecorded). Any other task ends by itself or with its machine (see
// ReleaseReason).
type Stops struct {
	*shared
	reconciler *Reconciler
}

// StopJob stops all tasks of a cancelled job without a grace period. This includes tasks
// that are already being stopped with one, because their checkpoints are no longer needed.
// It skips tasks whose record is being written. Their starts are withdrawn when the record
// is stored.
func (s *Stops) StopJob(job *state.Job) {
	for _, assignment := range job.SortedAssignments() {
		machine := s.state.Machines[assignment.MachineID]
		if machine == nil || !assignment.IsLive() || assignment.Phase == state.PhaseRecording {
			continue
		}
		assignment.StopRequested = false
		s.stop(machine, assignment, 0)
		assignment.GraceSeconds, assignment.StopSentAt = 0, 0
	}
}

// WithdrawUnsentStarts withdraws the recorded starts of a job that were not sent yet.
func (s *Stops) WithdrawUnsentStarts(job *state.Job) {
	for _, assignment := range job.SortedAssignments() {
		if machine := s.state.Machines[assignment.MachineID]; machine != nil && assignment.Phase == state.PhaseReady {
			s.reconciler.ConfirmAbsent(machine, assignment)
		}
	}
}

// Preempt stops a task to free its resources, with a grace period for a checkpoint.
func (s *Stops) Preempt(machine *state.Machine, assignment *state.Assignment) {
	s.stop(machine, assignment, assignment.Job.Spec.CheckpointWriteSeconds+graceMarginSeconds)
}

// MoveOffSlowMachine stops a task so that it restarts on another machine. The grace period
// is longer because writing a checkpoint takes longer on a slow machine.
func (s *Stops) MoveOffSlowMachine(machine *state.Machine, assignment *state.Assignment) {
	const slowCheckpointFactor = 4
	s.stop(machine, assignment, assignment.Job.Spec.CheckpointWriteSeconds*slowCheckpointFactor+graceMarginSeconds)
}

// stop queues the push of a stop with a grace period in seconds. A start that was not sent
// is withdrawn instead. stop has no effect if a stop was already requested or the record
// that lists the task is being written.
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
