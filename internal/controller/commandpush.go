package controller

import (
	"slices"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// Commands that are sent to a machine at once.

// queueCommandPush notes a machine whose commands can't wait for its next report.
func (c *Controller) queueCommandPush(m *state.Machine) {
	if !m.PushQueued {
		m.PushQueued = true
		c.urgentPushes = append(c.urgentPushes, m)
	}
}

// pushQueuedCommands sends what can't wait for the machines' next reports.
func (c *Controller) pushQueuedCommands() {
	queue := c.urgentPushes
	c.urgentPushes = nil
	for _, m := range queue {
		m.PushQueued = false
		if c.state.Machines[m.ID] != m || m.PendingHeartbeat != 0 || m.PushInFlight || m.Address == "" || c.loop.Now()-m.LastHeartbeat > 2*c.config.HeartbeatInterval {
			continue
		}
		cmds := c.commandsFor(m, true)
		if !m.TokenAcknowledged || m.RaisingToken {
			cmds = onlyStops(cmds)
		}
		if c.processHealth.IsOverloaded() && m.HasRunningTask() {
			// A call costs more than an answer. Where tasks run, reports come with
			// every change and at least each interval: starts go with their answers.
			cmds = slices.DeleteFunc(cmds, func(x cluster.Command) bool { return x.Kind == cluster.Start })
		}
		if len(cmds) > 0 {
			c.pushCommands(m, cmds)
		}
	}
}

func (c *Controller) pushCommands(m *state.Machine, cmds []cluster.Command) {
	m.PushInFlight, m.LastPushAt = true, c.loop.Now()
	c.counters.CommandPushes++
	var starts []*state.Assignment
	for _, cmd := range cmds {
		if cmd.Kind == cluster.Start {
			a := m.Assignments[cmd.Task]
			a.Phase, a.Pushed = state.PhaseDispatched, true
			starts = append(starts, a)
		}
	}
	token := m.Token
	c.loop.Emit(messages.PushCommands{Addr: m.Address, FencingToken: token, Incarnation: m.Incarnation, Commands: cmds, Call: eventloop.Call(c.loop, func(r messages.PushCommandsReply) {
		m.PushInFlight = false
		if c.state.Machines[m.ID] != m {
			return
		}
		unsent := func() {
			for _, a := range starts {
				if a.Phase == state.PhaseDispatched {
					a.Phase = state.PhaseReady
					if !a.Job.IsActive() {
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
			if r.Status.FencingToken > m.Token {
				c.inventory.CheckOwner(m)
				return
			}
			c.applyPushReply(m, &r.Status)
		case messages.NotApplied:
			m.ResetSentStops()
			unsent()
		default:
			m.ResetSentStops()
			if len(starts) > 0 {
				// The command may arrive minutes late; a higher token ends that.
				m.StartInDoubt = true
				c.inventory.RaiseToken(m)
			}
		}
	})})
}

func (c *Controller) applyPushReply(m *state.Machine, r *cluster.HeartbeatStatus) {
	if r.Machine != m.ID {
		return
	}
	if c.reconcile(m, r, true) {
		c.scheduler.Trigger.Request()
	}
}
