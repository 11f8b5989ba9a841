package controller

import (
	"time"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// How long tasks run, as learned from those that have run, and the machines and
// tasks that take too long by that measure.

// classStats is what is learned of a class: estimates are often wrong the
// same way for a whole day.
type classStats struct {
	runtimeRatio float64 // run time over estimate, smoothed
	runCount     int
}

func (c *Controller) statsOfClass(name string) *classStats {
	s := c.classStats[name]
	if s == nil {
		s = &classStats{runtimeRatio: 1}
		c.classStats[name] = s
	}
	return s
}

func (c *Controller) recordRuntime(m *state.Machine, a *state.Assignment) {
	// Only whole runs seen from their start tell anything: a resumed task has
	// less to do, and after a take-over the start was not seen.
	if a.RunningSince == 0 || a.Job.Spec.RuntimeSeconds <= 0 || a.StartUnobserved || a.Job.RestartedTasks[a.Task.Index] {
		return
	}
	took := time.Duration(c.loop.Now() - a.RunningSince).Seconds()
	j := a.Job
	if j.CompletedRuns >= 2 {
		// Against its own job's other tasks a machine's speed shows best.
		w := max(0.3, 1/float64(m.PaceSamples+1))
		m.RelativePace += w * (min(took/(j.TotalRunSeconds/float64(j.CompletedRuns)), 10) - m.RelativePace)
		m.PaceSamples++
	}
	j.CompletedRuns++
	j.TotalRunSeconds += took
	s := c.statsOfClass(a.Job.Spec.Class)
	s.runCount++
	w := max(0.05, 1/float64(s.runCount+1))
	s.runtimeRatio += w * (min(took/a.Job.Spec.RuntimeSeconds, 5) - s.runtimeRatio)
}

// slowMachineRatio is how many times slower than its like a machine may be. Machines
// of a type differ by a tenth; faulty ones by factors.
const slowMachineRatio = 2.2

// handleSlowMachine drains a machine that is much slower than its like, and starts
// anew elsewhere what has already taken far longer than the job's other tasks.
func (c *Controller) handleSlowMachine(m *state.Machine) {
	if m.Draining || m.Releasing {
		return
	}
	slow := m.PaceSamples >= 3 && m.RelativePace > slowMachineRatio
	if !slow && !c.hasStraggler(m) {
		return
	}
	var late []*state.Assignment
	for _, a := range m.SortedAssignments() {
		if c.isStraggler(a) {
			late = append(late, a)
		}
	}
	if !slow {
		m.LateChecks++
		if m.LateChecks < 4 { // some seconds' patience: reports may be late, not the tasks
			return
		}
	}
	c.loop.Log(messages.LogInfo, "machine is slow", "machine", string(m.ID), "pace", m.RelativePace, "late_tasks", len(late))
	c.reconciler.Stops.Drain(m)
	for _, a := range m.SortedAssignments() {
		if a.Phase == state.PhaseAcknowledged && !a.ConfirmedAbsent && a.Job.Spec.CheckpointSeconds > 0 {
			late = append(late, a)
		}
	}
	for _, a := range late {
		c.reconciler.Stops.MoveOffSlowMachine(m, a)
	}
}

// isStraggler tells whether a task has run far longer than its job's others.
func (c *Controller) isStraggler(a *state.Assignment) bool {
	if a.Phase != state.PhaseAcknowledged || a.ConfirmedAbsent || a.RunningSince == 0 || a.State != cluster.Running || a.Job.CompletedRuns < 3 || a.Job.RestartedTasks[a.Task.Index] {
		return false
	}
	like := a.Job.TotalRunSeconds / float64(a.Job.CompletedRuns)
	return time.Duration(c.loop.Now()-a.RunningSince).Seconds() > 2.5*like+5
}

// hasStraggler tells whether any task of a machine takes too long.
func (c *Controller) hasStraggler(m *state.Machine) bool {
	for _, a := range m.Assignments {
		if c.isStraggler(a) {
			return true
		}
	}
	return false
}

// expectedRunSeconds is a job's run time per task as far as is known.
func (c *Controller) expectedRunSeconds(j *state.Job) float64 {
	return j.Spec.RuntimeSeconds * c.statsOfClass(j.Spec.Class).runtimeRatio
}

func (c *Controller) expectedRemainingSeconds(a *state.Assignment) float64 {
	run := c.expectedRunSeconds(a.Job)
	if a.RunningSince == 0 {
		return run + 2
	}
	return max(run-time.Duration(c.loop.Now()-a.RunningSince).Seconds(), run*0.1)
}
