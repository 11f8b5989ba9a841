package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

const (
	// preemptionReserveSeconds is the minimum time between the expected end of a task
	// with checkpoints and a preemption. A task that is expected to end later is stopped.
	preemptionReserveSeconds = 2
	// checkpointLeadSeconds is added to the time that a task needs to write a checkpoint.
	// The task is stopped when less than the sum is left before the preemption.
	checkpointLeadSeconds = 10
	// overrunFactor and overrunMarginSeconds allow for errors of the estimated run time. A
	// task without checkpoints is stopped only if its expected remaining time exceeds
	// overrunFactor times the time before the preemption, plus overrunMarginSeconds.
	overrunFactor        = 1.5
	overrunMarginSeconds = 5
)

// Drain marks a machine as draining and requests a scheduling run. A draining machine gets
// no new tasks and is released when its last task has ended.
func (s *Stops) Drain(machine *state.Machine) {
	machine.Draining = true
	s.deps.RequestScheduling()
}

// handlePreemptionNotice handles a notice that the cloud will preempt a machine in
// secondsLeft seconds. It marks the machine as draining and stops the tasks that are not
// expected to finish in time. It counts an interruption unless the machine was already
// draining.
func (s *Stops) handlePreemptionNotice(machine *state.Machine, secondsLeft float64) {
	if !machine.Draining {
		s.deps.Spot.RecordInterruption()
		s.loop.Log(messages.LogDebug, "preemption notice received; draining the machine", "machine", string(machine.ID), "left_s", secondsLeft)
		machine.Draining = true
	}
	machine.PreemptionDeadline = s.loop.Now() + cluster.Time(secondsLeft*float64(second))
	for _, assignment := range machine.SortedAssignments() {
		if assignment.IsLive() && !assignment.StopRequested {
			s.stopBeforePreemption(machine, assignment, secondsLeft)
		}
	}
}

// stopBeforePreemption stops a task that is not expected to finish before its machine is
// preempted. A task with checkpoints is stopped only when it must begin to write one. Any
// other task is stopped immediately, so that it restarts on another machine sooner.
func (s *Stops) stopBeforePreemption(machine *state.Machine, assignment *state.Assignment, secondsLeft float64) {
	remaining := s.deps.Runtimes.ExpectedRemainingSeconds(assignment)
	spec := &assignment.Job.Spec
	if spec.CheckpointIntervalSeconds <= 0 {
		if remaining > secondsLeft*overrunFactor+overrunMarginSeconds {
			s.stop(machine, assignment, 0)
		}
		return
	}
	if remaining > secondsLeft-preemptionReserveSeconds && secondsLeft < spec.CheckpointWriteSeconds+checkpointLeadSeconds {
		s.stop(machine, assignment, spec.CheckpointWriteSeconds+graceMarginSeconds)
	}
}
