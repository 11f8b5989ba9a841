package controller

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// Commands that are sent to a machine at once.

// queueCommandPush notes a machine whose commands can't wait for its next report.
func (c *Controller) queueCommandPush(m *machine) {
	if !m.pushQueued {
		m.pushQueued = true
		c.urgentPushes = append(c.urgentPushes, m)
	}
}

// pushQueuedCommands sends what can't wait for the machines' next reports.
func (c *Controller) pushQueuedCommands() {
	queue := c.urgentPushes
	c.urgentPushes = nil
	for _, m := range queue {
		m.pushQueued = false
		if c.machines[m.id] != m || m.pendingHeartbeat != 0 || m.pushInFlight || m.address == "" || c.loop.Now()-m.lastHeartbeat > 2*c.config.HeartbeatInterval {
			continue
		}
		cmds := c.commandsFor(m, true)
		if !m.tokenAcknowledged || m.raisingToken {
			cmds = onlyStops(cmds)
		}
		if c.processHealth.IsOverloaded() && m.hasRunningTask() {
			// A call costs more than an answer. Where tasks run, reports come with
			// every change and at least each interval: starts go with their answers.
			cmds = slices.DeleteFunc(cmds, func(x cluster.Command) bool { return x.Kind == cluster.Start })
		}
		if len(cmds) > 0 {
			c.pushCommands(m, cmds)
		}
	}
}

func (c *Controller) pushCommands(m *machine, cmds []cluster.Command) {
	m.pushInFlight, m.lastPushAt = true, c.loop.Now()
	c.counters.CommandPushes++
	var starts []*assignment
	for _, cmd := range cmds {
		if cmd.Kind == cluster.Start {
			a := m.assignments[cmd.Task]
			a.phase, a.pushed = phaseDispatched, true
			starts = append(starts, a)
		}
	}
	token := m.token
	c.loop.Emit(messages.PushCommands{Addr: m.address, FencingToken: token, Incarnation: m.incarnation, Commands: cmds, Call: eventloop.Call(c.loop, func(r messages.PushCommandsReply) {
		m.pushInFlight = false
		if c.machines[m.id] != m {
			return
		}
		unsent := func() {
			for _, a := range starts {
				if a.phase == phaseDispatched {
					a.phase = phaseReady
					if !a.job.isActive() {
						c.confirmAbsent(m, a)
					}
				}
			}
		}
		switch r.Outcome {
		case messages.OK:
			c.applyPushReply(m, &r.Status)
		case messages.Conflict:
			unsent()
			if r.Status.FencingToken > m.token {
				c.checkOwner(m)
				return
			}
			c.applyPushReply(m, &r.Status)
		case messages.NotApplied:
			m.resetSentStops()
			unsent()
		default:
			m.resetSentStops()
			if len(starts) > 0 {
				// The command may arrive minutes late; a higher token ends that.
				m.startInDoubt = true
				c.raiseToken(m)
			}
		}
	})})
}

// resetSentStops notes that the stops sent may not have arrived.
func (m *machine) resetSentStops() {
	for _, a := range m.assignments {
		a.stopSentAt = 0
	}
}

func (c *Controller) applyPushReply(m *machine, r *cluster.HeartbeatStatus) {
	if r.Machine != m.id {
		return
	}
	if c.reconcile(m, r, true) {
		c.schedulingTrigger.request()
	}
}
