package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

const (
	// preemptionReserveSeconds is the minimum time between the expected end of a task
	// with checkpoints and a preemption. A task expected to end later is stopped.
	preemptionReserveSeconds = 2
	// checkpointLeadSeconds is how much earlier than necessary a checkpoint begins before
	// a preemption.
	checkpointLeadSeconds = 10
	// overrunFactor and overrunMarginSeconds allow for errors of the estimated run time: a
	// task without checkpoints is stopped only if it is expected to need more than the time
	// before the preemption multiplied by overrunFactor plus overrunMarginSeconds.
	overrunFactor        = 1.5
	overrunMarginSeconds = 5
)

// Drain keeps new tasks off a machine. The machine is released when its last task has
// ended.
func (s *Stops) Drain(machine *state.Machine) {
	machine.Draining = true
	s.deps.RequestScheduling()
}

// handlePreemptionNotice handles a notice that the cloud preempts a machine in
// secondsLeft seconds. It drains the machine and stops the tasks that are not expected
// to finish in time.
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
// other task is stopped immediately, so that it restarts on another machine.
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
