package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// Tasks that are stopped: on a notice of the cloud, or as their job is cancelled.

// handlePreemptionNotice: the cloud will take the machine. What can save does so in time,
// what can't finish starts anew elsewhere, what can finish is left alone.
func (c *Controller) handlePreemptionNotice(m *state.Machine, left float64) {
	if !m.Draining {
		c.spotInterruptions.interruptionCount++
		c.loop.Log(messages.LogDebug, "spot notice", "machine", string(m.ID), "left_s", left)
		m.Draining = true
	}
	m.PreemptionDeadline = c.loop.Now() + cluster.Time(left*float64(second))
	for _, a := range m.SortedAssignments() {
		if !a.IsLive() || a.StopRequested {
			continue
		}
		rest := c.scheduler.RunTimes.ExpectedRemainingSeconds(a)
		s := a.Job.Spec
		if s.CheckpointSeconds > 0 {
			if rest > left-2 && left < s.SaveSeconds+10 {
				c.stopTask(m, a, s.SaveSeconds+1)
			}
		} else if rest > left*1.5+5 {
			c.stopTask(m, a, 0)
		}
	}
}

func (c *Controller) stopTask(m *state.Machine, a *state.Assignment, grace float64) {
	if a.StopRequested {
		return
	}
	a.StopRequested, a.GracePeriod = true, grace
	if a.Phase == state.PhaseReady || a.Phase == state.PhaseRecording {
		// Never sent: only the record has to forget it.
		if a.Phase == state.PhaseReady {
			c.confirmAbsent(m, a)
		} else {
			a.StopRequested = false
		}
		return
	}
	if a.StopRequestedAt == 0 {
		a.StopRequestedAt = c.loop.Now()
	}
	c.queueCommandPush(m)
}

// withdrawUnsentStarts withdraws the starts that have not been sent.
func (c *Controller) withdrawUnsentStarts(j *state.Job) {
	for _, a := range j.SortedAssignments() {
		if m := c.state.Machines[a.MachineID]; m != nil && a.Phase == state.PhaseReady {
			c.confirmAbsent(m, a)
		}
	}
}

// stopAllTasks stops every task of a job that is cancelled.
func (c *Controller) stopAllTasks(j *state.Job) {
	for _, a := range j.SortedAssignments() {
		if m := c.state.Machines[a.MachineID]; m != nil && a.IsLive() && a.Phase != state.PhaseRecording {
			a.StopRequested = false
			c.stopTask(m, a, 0)
			a.GracePeriod, a.StopSentAt = 0, 0
		}
	}
}
