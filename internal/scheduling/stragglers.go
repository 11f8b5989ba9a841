package scheduling

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

const (
	// slowMachineRatio is the relative pace above which a machine is slow. The pace is the
	// smoothed ratio of the run times on the machine to the mean run times of the same jobs.
	// Machines of a type differ by a tenth, and faulty ones are several times slower.
	slowMachineRatio = 2.2
	// minPaceSamples is the minimum number of run times needed to classify a machine as
	// slow.
	minPaceSamples = 3
	// minRunsToFindStragglers is the minimum number of completed tasks of a job needed
	// to identify others as stragglers.
	minRunsToFindStragglers = 3
	// A straggler has run for longer than stragglerFactor times the mean run time of its
	// job's completed tasks plus stragglerAllowanceSeconds.
	stragglerFactor           = 2.5
	stragglerAllowanceSeconds = 5
	// stragglerChecksBeforeDrain is the number of checks that must find a straggler on a
	// machine before it is drained. A delayed heartbeat can make one check wrong.
	stragglerChecksBeforeDrain = 4
)

// Stragglers detects slow machines and straggling tasks.
type Stragglers struct{ *shared }

// DrainIfSlow drains a machine if it is much slower than others or repeatedly has
// stragglers. The stragglers and the tasks that can save a checkpoint are stopped, so
// that they restart on other machines.
func (s *Stragglers) DrainIfSlow(machine *state.Machine) {
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
		machine.StragglerChecks++
		if machine.StragglerChecks < stragglerChecksBeforeDrain {
			return
		}
	}
	s.loop.Log(messages.LogInfo, "machine is slow or has stragglers; draining it", "machine", string(machine.ID), "pace", machine.RelativePace, "late_tasks", len(toMove))
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

// isStraggler reports whether a running task takes far longer than its job's completed
// tasks. A task that has been requeued before is never a straggler.
func (s *Stragglers) isStraggler(assignment *state.Assignment) bool {
	job := assignment.Job
	if assignment.Phase != state.PhaseAcknowledged || assignment.ConfirmedAbsent ||
		assignment.RunningSince == 0 || assignment.State != cluster.Running ||
		job.CompletedRuns < minRunsToFindStragglers || job.RequeuedTasks[assignment.Task.Index] {
		return false
	}
	mean := job.TotalRunSeconds / float64(job.CompletedRuns)
	return s.secondsSince(assignment.RunningSince) > stragglerFactor*mean+stragglerAllowanceSeconds
}

func (s *Stragglers) hasStraggler(machine *state.Machine) bool {
	for _, assignment := range machine.Assignments {
		if s.isStraggler(assignment) {
			return true
		}
	}
	return false
}
