package scheduling

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

const (
	// slowMachineRatio is how many times slower than its like a machine may be.
	// Machines of a type differ by a tenth; faulty ones by factors.
	slowMachineRatio = 2.2
	// minPaceSamples is how many run times must have been compared before a machine
	// counts as slow.
	minPaceSamples = 3
	// minRunsToFindStragglers is how many tasks of a job must have completed before
	// another of them counts as a straggler.
	minRunsToFindStragglers = 3
	// A straggler has run for stragglerFactor times the mean run time of its job's
	// tasks and stragglerAllowanceSeconds more.
	stragglerFactor           = 2.5
	stragglerAllowanceSeconds = 5
	// maxLateChecks is in how many checks in a row a straggler must be found: the
	// heartbeats may be late, not the task.
	lateChecksBeforeDrain = 4
)

// Stragglers finds the machines and tasks that take far longer than others.
type Stragglers struct{ *shared }

// HandleSlowMachine drains a machine that is much slower than its like, and restarts
// elsewhere what has already taken far longer than the job's other tasks.
func (s *Stragglers) HandleSlowMachine(machine *state.Machine) {
	if machine.Draining || machine.Releasing {
		return
	}
	slow := machine.PaceSamples >= minPaceSamples && machine.RelativePace > slowMachineRatio
	if !slow && !s.hasStraggler(machine) {
		return
	}
	var toMove []*state.Assignment
	for _, assignment := range machine.SortedAssignments() {
		if s.isStraggler(assignment) {
			toMove = append(toMove, assignment)
		}
	}
	if !slow {
		machine.LateChecks++
		if machine.LateChecks < lateChecksBeforeDrain {
			return
		}
	}
	s.loop.Log(messages.LogInfo, "machine is slow", "machine", string(machine.ID), "pace", machine.RelativePace, "late_tasks", len(toMove))
	s.deps.Stops.Drain(machine)
	for _, assignment := range machine.SortedAssignments() {
		if assignment.IsCheckpointable() {
			toMove = append(toMove, assignment)
		}
	}
	for _, assignment := range toMove {
		s.deps.Stops.MoveOffSlowMachine(machine, assignment)
	}
}

// isStraggler tells whether a task has run far longer than its job's others.
func (s *Stragglers) isStraggler(assignment *state.Assignment) bool {
	job := assignment.Job
	if assignment.Phase != state.PhaseAcknowledged || assignment.ConfirmedAbsent ||
		assignment.RunningSince == 0 || assignment.State != cluster.Running ||
		job.CompletedRuns < minRunsToFindStragglers || job.RestartedTasks[assignment.Task.Index] {
		return false
	}
	mean := job.TotalRunSeconds / float64(job.CompletedRuns)
	return s.secondsSince(assignment.RunningSince) > stragglerFactor*mean+stragglerAllowanceSeconds
}

// hasStraggler tells whether any task of a machine is a straggler.
func (s *Stragglers) hasStraggler(machine *state.Machine) bool {
	for _, assignment := range machine.Assignments {
		if s.isStraggler(assignment) {
			return true
		}
	}
	return false
}
