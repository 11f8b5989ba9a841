package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

const (
	// noticeReserveSeconds is kept of the time that a preemption notice leaves.
	preemptionReserveSeconds = 2
	// saveLeadSeconds is how long before it must have begun a task checkpoint begins.
	checkpointLeadSeconds = 10
	// hopelessFactor and hopelessMarginSeconds: a task that can't save is started
	// anew elsewhere at once if it needs this much more than the time that is left.
	// The estimate may be wrong, so a task that might finish is left alone.
	overrunFactor        = 1.5
	overrunMarginSeconds = 5
)

// Drain keeps new tasks away from a machine; it is released once it is empty.
func (s *Stops) Drain(machine *state.Machine) {
	machine.Draining = true
	s.deps.RequestScheduling()
}

// handlePreemptionNotice follows a notice that the cloud takes a machine in so many
// seconds. A task that can save does so in time, one that can't finish starts anew
// elsewhere, and one that can finish is left alone.
func (s *Stops) handlePreemptionNotice(machine *state.Machine, secondsLeft float64) {
	if !machine.Draining {
		s.deps.Spot.RecordInterruption()
		s.loop.Log(messages.LogDebug, "preemption notice", "machine", string(machine.ID), "left_s", secondsLeft)
		machine.Draining = true
	}
	machine.PreemptionDeadline = s.loop.Now() + cluster.Time(secondsLeft*float64(second))
	for _, assignment := range machine.SortedAssignments() {
		if assignment.IsLive() && !assignment.StopRequested {
			s.stopBeforePreemption(machine, assignment, secondsLeft)
		}
	}
}

// stopBeforePreemption stops a task if it won't finish before the cloud takes its
// machine: one that can save as late as possible, any other at once.
func (s *Stops) stopBeforePreemption(machine *state.Machine, assignment *state.Assignment, secondsLeft float64) {
	remaining := s.deps.Runtimes.ExpectedRemainingSeconds(assignment)
	spec := &assignment.Job.Spec
	if spec.CheckpointSeconds <= 0 {
		if remaining > secondsLeft*overrunFactor+overrunMarginSeconds {
			s.stop(machine, assignment, 0)
		}
		return
	}
	if remaining > secondsLeft-preemptionReserveSeconds && secondsLeft < spec.SaveSeconds+checkpointLeadSeconds {
		s.stop(machine, assignment, spec.SaveSeconds+graceMarginSeconds)
	}
}
