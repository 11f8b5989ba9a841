package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// QueuePush schedules a push of a machine's urgent commands at the end of this event loop
// step.
func (c *Commands) QueuePush(machine *state.Machine) {
	if !machine.PushQueued {
		machine.PushQueued = true
		c.queued = append(c.queued, machine)
	}
}

// PushQueued pushes the urgent commands of the machines for which QueuePush was called. It
// must be called at the end of each event loop step.
func (c *Commands) PushQueued() {
	queued := c.queued
	c.queued = nil
	for _, machine := range queued {
		machine.PushQueued = false
		if !c.canPushTo(machine) {
			continue
		}
		if commands := c.pushable(machine); len(commands) > 0 {
			c.push(machine, commands)
		}
	}
}

// canPushTo reports whether commands can be pushed to a machine. A machine with a pending
// heartbeat gets its commands in the response instead, and one without recent heartbeats
// is unlikely to reply.
func (c *Commands) canPushTo(machine *state.Machine) bool {
	return c.state.Machines[machine.ID] == machine &&
		machine.PendingHeartbeat == 0 &&
		!machine.PushInFlight &&
		machine.Address != "" &&
		c.loop.Now()-machine.LastHeartbeat <= 2*c.config.HeartbeatInterval
}

// pushable returns the urgent commands that may be pushed to a machine, or all commands if
// its heartbeats are too large to be answered.
func (c *Commands) pushable(machine *state.Machine) []cluster.Command {
	commands := c.For(machine, machine.OversizedSince == 0)
	if !machine.TokenAcknowledged || machine.RaisingToken {
		commands = onlyStops(commands)
	}
	if c.deps.Process.IsOverloaded() && machine.HasRunningTask() {
		// A push costs more CPU than a heartbeat response. A machine with running
		// tasks sends heartbeats often enough to get its starts in the responses.
		commands = withoutStarts(commands)
	}
	return commands
}

// push sends commands and the fencing token to a worker, and marks the starts among the
// commands as dispatched. If there are no commands, it sends only the token.
func (c *Commands) push(machine *state.Machine, commands []cluster.Command) {
	machine.BeginPush(c.loop.Now())
	c.deps.Metrics.AddCommandPush()
	var starts []*state.Assignment
	for _, command := range commands {
		if command.Kind == cluster.Start {
			assignment := machine.Assignments[command.Task]
			assignment.MarkDispatchedByPush()
			starts = append(starts, assignment)
		}
	}
	if len(starts) > 0 {
		machine.MarkStartsPushed()
	}
	call := eventloop.Call(c.loop, func(reply messages.WorkerReply) {
		machine.EndPush()
		if c.state.Machines[machine.ID] == machine {
			c.handlePushReply(machine, starts, reply)
			if machine.CommandsLeft {
				c.QueuePush(machine)
			}
		}
	})
	c.loop.Emit(messages.PushCommands{
		Call:         call,
		Addr:         machine.Address,
		FencingToken: machine.Token,
		Incarnation:  machine.Incarnation,
		Commands:     commands,
	})
}

// handlePushReply handles the outcome of a push that contained the given starts. If the
// push was not executed, it requeues the starts. If the outcome is unknown and there are
// starts, it raises the machine's token, so that starts that arrive late are not executed.
// Stops that may not have arrived are sent again.
func (c *Commands) handlePushReply(machine *state.Machine, starts []*state.Assignment, reply messages.WorkerReply) {
	switch reply.Outcome {
	case messages.OK:
		c.applyReplyStatus(machine, &reply.Status)
	case messages.Conflict:
		c.requeueLostStarts(machine, starts)
		if reply.Status.FencingToken > machine.Token {
			c.deps.Machines.CheckOwner(machine)
			return
		}
		c.applyReplyStatus(machine, &reply.Status)
	case messages.NotApplied:
		machine.ResetSentStops()
		c.requeueLostStarts(machine, starts)
	case messages.UnknownOutcome, messages.NotFound, messages.Compacted, messages.Throttled, messages.Invalid:
		machine.ResetSentStops()
		if len(starts) > 0 {
			machine.MarkStartInDoubt()
			c.deps.Metrics.AddStartInDoubt()
			c.deps.Machines.RaiseToken(machine)
		}
	}
}

// requeueLostStarts requeues starts that the worker is known not to have executed.
func (c *Commands) requeueLostStarts(machine *state.Machine, starts []*state.Assignment) {
	for _, assignment := range starts {
		if assignment.Phase == state.PhaseDispatched {
			c.reconciler.requeueLostStart(machine, assignment)
		}
	}
}

// applyReplyStatus applies the status in the reply to a push. It ignores the status of
// another machine, to which the address may have been assigned since.
func (c *Commands) applyReplyStatus(machine *state.Machine, status *cluster.HeartbeatStatus) {
	if status.Machine == machine.ID && c.reconciler.ApplyStatus(machine, status, true) {
		c.deps.RequestScheduling()
	}
}
