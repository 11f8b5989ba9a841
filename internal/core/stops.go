package core

import "sort"

// Tasks that are stopped: on a notice of the cloud, or as their job is cancelled.

// onNotice: the cloud will take the machine. What can save does so in time,
// what can't finish starts anew elsewhere, what can finish is left alone.
func (c *Core) onNotice(m *machine, left float64) {
	if !m.draining {
		c.spotLosses.lost++
		c.logf(LogDebug, "spot notice", "machine", string(m.id), "left_s", left)
		m.draining = true
	}
	m.noticeAt = c.now + Time(left*float64(second))
	for _, a := range m.sorted() {
		if !a.live() || a.stop {
			continue
		}
		rest := c.expectedRest(a)
		s := a.job.spec
		if s.CheckpntS > 0 {
			if rest > left-2 && left < s.SaveS+10 {
				c.stopTask(m, a, s.SaveS+1)
			}
		} else if rest > left*1.5+5 {
			c.stopTask(m, a, 0)
		}
	}
}

func (c *Core) stopTask(m *machine, a *assign, grace float64) {
	if a.stop {
		return
	}
	a.stop, a.grace = true, grace
	if a.phase == aReady || a.phase == aRecording {
		// Never sent: only the record has to forget it.
		if a.phase == aReady {
			c.setGone(m, a)
		} else {
			a.stop = false
		}
		return
	}
	if a.stopAt == 0 {
		a.stopAt = c.now
	}
	c.orderSoon(m)
}

// held lists a job's tasks that are, or may be, on machines.
func (j *job) held() []*assign {
	l := make([]*assign, 0, len(j.on))
	for a := range j.on {
		l = append(l, a)
	}
	sort.Slice(l, func(i, k int) bool {
		a, b := l[i], l[k]
		return a.task.Index < b.task.Index || a.task.Index == b.task.Index && a.mach < b.mach
	})
	return l
}

// unplan withdraws the starts that have not been sent.
func (c *Core) unplan(j *job) {
	for _, a := range j.held() {
		if m := c.machines[a.mach]; m != nil && a.phase == aReady {
			c.setGone(m, a)
		}
	}
}

// stopAll stops every task of a job that is cancelled.
func (c *Core) stopAll(j *job) {
	for _, a := range j.held() {
		if m := c.machines[a.mach]; m != nil && a.live() && a.phase != aRecording {
			a.stop = false
			c.stopTask(m, a, 0)
			a.grace, a.stopSent = 0, 0
		}
	}
}
