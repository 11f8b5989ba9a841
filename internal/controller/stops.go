package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// Tasks that are stopped: on a notice of the cloud, or as their job is cancelled.

// handlePreemptionNotice: the cloud will take the machine. What can save does so in time,
// what can't finish starts anew elsewhere, what can finish is left alone.
func (c *Controller) handlePreemptionNotice(m *machine, left float64) {
	if !m.draining {
		c.spotInterruptions.interruptionCount++
		c.loop.Log(messages.LogDebug, "spot notice", "machine", string(m.id), "left_s", left)
		m.draining = true
	}
	m.preemptionDeadline = c.loop.Now() + cluster.Time(left*float64(second))
	for _, a := range m.sortedAssignments() {
		if !a.isLive() || a.stopRequested {
			continue
		}
		rest := c.expectedRemainingSeconds(a)
		s := a.job.spec
		if s.CheckpointSeconds > 0 {
			if rest > left-2 && left < s.SaveSeconds+10 {
				c.stopTask(m, a, s.SaveSeconds+1)
			}
		} else if rest > left*1.5+5 {
			c.stopTask(m, a, 0)
		}
	}
}

func (c *Controller) stopTask(m *machine, a *assignment, grace float64) {
	if a.stopRequested {
		return
	}
	a.stopRequested, a.gracePeriod = true, grace
	if a.phase == phaseReady || a.phase == phaseRecording {
		// Never sent: only the record has to forget it.
		if a.phase == phaseReady {
			c.confirmAbsent(m, a)
		} else {
			a.stopRequested = false
		}
		return
	}
	if a.stopRequestedAt == 0 {
		a.stopRequestedAt = c.loop.Now()
	}
	c.queueCommandPush(m)
}

// withdrawUnsentStarts withdraws the starts that have not been sent.
func (c *Controller) withdrawUnsentStarts(j *job) {
	for _, a := range j.sortedAssignments() {
		if m := c.machines[a.machineID]; m != nil && a.phase == phaseReady {
			c.confirmAbsent(m, a)
		}
	}
}

// stopAllTasks stops every task of a job that is cancelled.
func (c *Controller) stopAllTasks(j *job) {
	for _, a := range j.sortedAssignments() {
		if m := c.machines[a.machineID]; m != nil && a.isLive() && a.phase != phaseRecording {
			a.stopRequested = false
			c.stopTask(m, a, 0)
			a.gracePeriod, a.stopSentAt = 0, 0
		}
	}
}
