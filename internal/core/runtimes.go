package core

import "time"

// How long tasks run, as learned from those that have run, and the machines and
// tasks that take too long by that measure.

// classStats is what is learned of a class: estimates are often wrong the
// same way for a whole day.
type classStats struct {
	ratio float64 // run time over estimate, smoothed
	runs  int
}

func (c *Core) class(name string) *classStats {
	s := c.classes[name]
	if s == nil {
		s = &classStats{ratio: 1}
		c.classes[name] = s
	}
	return s
}

func (c *Core) learnRuntime(m *machine, a *assign) {
	// Only whole runs seen from their start tell anything: a resumed task has
	// less to do, and after a take-over the start was not seen.
	if a.runAt == 0 || a.job.spec.RuntimeS <= 0 || a.partial || a.job.restarted[a.task.Index] {
		return
	}
	took := time.Duration(c.now - a.runAt).Seconds()
	j := a.job
	if j.runs >= 2 {
		// Against its own job's other tasks a machine's speed shows best.
		w := max(0.3, 1/float64(m.timed+1))
		m.pace += w * (min(took/(j.runSum/float64(j.runs)), 10) - m.pace)
		m.timed++
	}
	j.runs++
	j.runSum += took
	s := c.class(a.job.spec.Class)
	s.runs++
	w := max(0.05, 1/float64(s.runs+1))
	s.ratio += w * (min(took/a.job.spec.RuntimeS, 5) - s.ratio)
}

// slowPace is how many times slower than its like a machine may be. Machines
// of a type differ by a tenth; faulty ones by factors.
const slowPace = 2.2

// checkPace drains a machine that is much slower than its like, and starts
// anew elsewhere what has already taken far longer than the job's other tasks.
func (c *Core) checkPace(m *machine) {
	if m.draining || m.returning {
		return
	}
	slow := m.timed >= 3 && m.pace > slowPace
	if !slow && !c.anyLate(m) {
		return
	}
	var late []*assign
	for _, a := range m.sorted() {
		if c.takesTooLong(a) {
			late = append(late, a)
		}
	}
	if !slow {
		m.lateHits++
		if m.lateHits < 4 { // some seconds' patience: reports may be late, not the tasks
			return
		}
	}
	c.logf(LogInfo, "machine is slow", "machine", string(m.id), "pace", m.pace, "late_tasks", len(late))
	c.drain(m)
	for _, a := range m.sorted() {
		if a.phase == aSeen && !a.gone && a.job.spec.CheckpntS > 0 {
			late = append(late, a)
		}
	}
	for _, a := range late {
		c.stopTask(m, a, a.job.spec.SaveS*4+1)
	}
}

// takesTooLong tells whether a task has run far longer than its job's others.
func (c *Core) takesTooLong(a *assign) bool {
	if a.phase != aSeen || a.gone || a.runAt == 0 || a.state != Running || a.job.runs < 3 || a.job.restarted[a.task.Index] {
		return false
	}
	like := a.job.runSum / float64(a.job.runs)
	return time.Duration(c.now-a.runAt).Seconds() > 2.5*like+5
}

// anyLate tells whether any task of a machine takes too long.
func (c *Core) anyLate(m *machine) bool {
	for _, a := range m.assigns {
		if c.takesTooLong(a) {
			return true
		}
	}
	return false
}

// expectedRun is a job's run time per task as far as is known.
func (c *Core) expectedRun(j *job) float64 {
	return j.spec.RuntimeS * c.class(j.spec.Class).ratio
}

func (c *Core) expectedRest(a *assign) float64 {
	run := c.expectedRun(a.job)
	if a.runAt == 0 {
		return run + 2
	}
	return max(run-time.Duration(c.now-a.runAt).Seconds(), run*0.1)
}
