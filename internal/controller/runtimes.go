package controller

import (
	"time"

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

func (c *Controller) recordRuntime(m *machine, a *assignment) {
	// Only whole runs seen from their start tell anything: a resumed task has
	// less to do, and after a take-over the start was not seen.
	if a.runningSince == 0 || a.job.spec.RuntimeSeconds <= 0 || a.startUnobserved || a.job.restartedTasks[a.task.Index] {
		return
	}
	took := time.Duration(c.loop.Now() - a.runningSince).Seconds()
	j := a.job
	if j.completedRuns >= 2 {
		// Against its own job's other tasks a machine's speed shows best.
		w := max(0.3, 1/float64(m.paceSamples+1))
		m.relativePace += w * (min(took/(j.totalRunSeconds/float64(j.completedRuns)), 10) - m.relativePace)
		m.paceSamples++
	}
	j.completedRuns++
	j.totalRunSeconds += took
	s := c.statsOfClass(a.job.spec.Class)
	s.runCount++
	w := max(0.05, 1/float64(s.runCount+1))
	s.runtimeRatio += w * (min(took/a.job.spec.RuntimeSeconds, 5) - s.runtimeRatio)
}

// slowMachineRatio is how many times slower than its like a machine may be. Machines
// of a type differ by a tenth; faulty ones by factors.
const slowMachineRatio = 2.2

// handleSlowMachine drains a machine that is much slower than its like, and starts
// anew elsewhere what has already taken far longer than the job's other tasks.
func (c *Controller) handleSlowMachine(m *machine) {
	if m.draining || m.releasing {
		return
	}
	slow := m.paceSamples >= 3 && m.relativePace > slowMachineRatio
	if !slow && !c.hasStraggler(m) {
		return
	}
	var late []*assignment
	for _, a := range m.sortedAssignments() {
		if c.isStraggler(a) {
			late = append(late, a)
		}
	}
	if !slow {
		m.lateChecks++
		if m.lateChecks < 4 { // some seconds' patience: reports may be late, not the tasks
			return
		}
	}
	c.loop.Log(messages.LogInfo, "machine is slow", "machine", string(m.id), "pace", m.relativePace, "late_tasks", len(late))
	c.drainMachine(m)
	for _, a := range m.sortedAssignments() {
		if a.phase == phaseAcknowledged && !a.confirmedAbsent && a.job.spec.CheckpointSeconds > 0 {
			late = append(late, a)
		}
	}
	for _, a := range late {
		c.stopTask(m, a, a.job.spec.SaveSeconds*4+1)
	}
}

// isStraggler tells whether a task has run far longer than its job's others.
func (c *Controller) isStraggler(a *assignment) bool {
	if a.phase != phaseAcknowledged || a.confirmedAbsent || a.runningSince == 0 || a.state != cluster.Running || a.job.completedRuns < 3 || a.job.restartedTasks[a.task.Index] {
		return false
	}
	like := a.job.totalRunSeconds / float64(a.job.completedRuns)
	return time.Duration(c.loop.Now()-a.runningSince).Seconds() > 2.5*like+5
}

// hasStraggler tells whether any task of a machine takes too long.
func (c *Controller) hasStraggler(m *machine) bool {
	for _, a := range m.assignments {
		if c.isStraggler(a) {
			return true
		}
	}
	return false
}

// expectedRunSeconds is a job's run time per task as far as is known.
func (c *Controller) expectedRunSeconds(j *job) float64 {
	return j.spec.RuntimeSeconds * c.statsOfClass(j.spec.Class).runtimeRatio
}

func (c *Controller) expectedRemainingSeconds(a *assignment) float64 {
	run := c.expectedRunSeconds(a.job)
	if a.runningSince == 0 {
		return run + 2
	}
	return max(run-time.Duration(c.loop.Now()-a.runningSince).Seconds(), run*0.1)
}
