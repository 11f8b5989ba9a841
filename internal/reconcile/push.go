package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// QueuePush has a machine's commands pushed at the end of this step: they can't wait
// for its next heartbeat.
func (c *Commands) QueuePush(machine *state.Machine) {
	if !machine.PushQueued {
		machine.PushQueued = true
		c.queued = append(c.queued, machine)
	}
}

// PushQueued pushes what can't wait for the machines' next heartbeats.
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

// canPushTo tells whether a push to a machine makes sense: one that has a heartbeat
// waiting gets its commands in the answer, and one that is silent would not answer.
func (c *Commands) canPushTo(machine *state.Machine) bool {
	return c.state.Machines[machine.ID] == machine &&
		machine.PendingHeartbeat == 0 &&
		!machine.PushInFlight &&
		machine.Address != "" &&
		c.loop.Now()-machine.LastHeartbeat <= 2*c.config.HeartbeatInterval
}

// pushable lists the urgent commands that may be pushed to a machine.
func (c *Commands) pushable(machine *state.Machine) []cluster.Command {
	commands := c.For(machine, true)
	if !machine.TokenAcknowledged || machine.RaisingToken {
		commands = onlyStops(commands)
	}
	if c.deps.Process.IsOverloaded() && machine.HasRunningTask() {
		// A call costs more than an answer. Where tasks run, heartbeats come with
		// every change and at least each interval: starts go with their answers.
		commands = withoutStarts(commands)
	}
	return commands
}

// push calls a worker with commands, perhaps none: then only the token is sent.
func (c *Commands) push(machine *state.Machine, commands []cluster.Command) {
	machine.BeginPush(c.loop.Now())
	c.deps.Metrics.AddCommandPush()
	var starts []*state.Assignment
	for _, command := range commands {
		if command.Kind == cluster.Start {
			assignment := machine.Assignments[command.Task]
			assignment.DispatchWithPush()
			starts = append(starts, assignment)
		}
	}
	call := eventloop.Call(c.loop, func(reply messages.PushCommandsReply) {
		machine.EndPush()
		if c.state.Machines[machine.ID] == machine {
			c.handlePushReply(machine, starts, reply)
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

// handlePushReply follows the outcome of a push that carried starts.
func (c *Commands) handlePushReply(machine *state.Machine, starts []*state.Assignment, reply messages.PushCommandsReply) {
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
			c.deps.Machines.RaiseToken(machine)
		}
	}
}

// withdraw makes starts that were certainly not carried out ready to be sent again.
func (c *Commands) requeueLostStarts(machine *state.Machine, starts []*state.Assignment) {
	for _, assignment := range starts {
		if assignment.Phase == state.PhaseDispatched {
			c.reconciler.requeueLostStart(machine, assignment)
		}
	}
}

// applyReplyStatus applies the status that answers a push. Another machine may answer
// at an address that has been given to it since.
func (c *Commands) applyReplyStatus(machine *state.Machine, status *cluster.HeartbeatStatus) {
	if status.Machine == machine.ID && c.reconciler.ApplyStatus(machine, status, true) {
		c.deps.RequestScheduling()
	}
}
