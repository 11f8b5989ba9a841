package simulation

import (
	"fmt"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// connectTimeout is the timeout of a connection attempt to a removed machine.
	connectTimeout = 1500 * millisecond
	// commandTimeout is the timeout of a call to a machine that does not respond.
	commandTimeout = 2500 * millisecond
	// commandReplyTimeout is the timeout of a call whose reply is lost.
	commandReplyTimeout = 2 * second
)

// commandChannel delivers the controllers' calls to the workers.
type commandChannel struct {
	*environment
	network  *Network
	machines *Machines
	copies   *StartCopies
}

func (c *commandChannel) queryStatus(node *Node, query messages.QueryWorkerStatus) {
	call := node.newCall(query.Call)
	worker := c.machines.Workers[cluster.MachineID(query.Addr)]
	if worker == nil || worker.removed || c.Now < worker.commandsBlockedUntil(node) {
		call.replyAfter(commandTimeout, messages.WorkerReply{Outcome: messages.UnknownOutcome})
		return
	}
	delay := c.network.delay()
	call.replyAfter(delay, messages.WorkerReply{Outcome: messages.OK, Status: worker.NextStatus()})
}

func (c *commandChannel) push(node *Node, commands messages.PushCommands) {
	call := node.newCall(commands.Call)
	worker := c.machines.Workers[cluster.MachineID(commands.Addr)]
	if worker == nil || worker.removed {
		call.replyAfter(connectTimeout, messages.WorkerReply{Outcome: messages.NotApplied})
		return
	}
	blockedUntil := worker.commandsBlockedUntil(node)
	c.countFaults(worker, blockedUntil)
	if c.Now < blockedUntil || c.Chance(0.01) {
		if delay, arrives := c.network.lateArrival(blockedUntil); arrives {
			c.After(delay, func() { c.deliverLate(worker, commands) })
		}
		call.replyAfter(commandTimeout, messages.WorkerReply{Outcome: messages.UnknownOutcome})
		return
	}
	c.After(c.network.delay(), func() { c.deliver(call, worker, commands) })
}

func (c *commandChannel) countFaults(worker *SimulatedWorker, blockedUntil cluster.Time) {
	if c.Now < worker.heartbeatsBlockedUntil && c.Now >= blockedUntil {
		c.FaultCounts[FaultCommandToBlockedMachine]++
	}
	if c.Now < worker.unreachableUntil {
		c.FaultCounts[FaultCommandToUnreachableMachine]++
	}
}

func (c *commandChannel) deliver(call pendingCall, worker *SimulatedWorker, commands messages.PushCommands) {
	unknown := messages.WorkerReply{Outcome: messages.UnknownOutcome}
	if worker.removed {
		call.replyAfter(commandReplyTimeout, unknown)
		return
	}
	if isPushTooLarge(&commands) {
		c.reportViolation("large_body: a push to %s has %d commands in more than 64 KiB", worker.ID, len(commands.Commands))
		call.replyAfter(c.network.delay(), unknown) // the worker rejects the request with 400
		return
	}
	reply := worker.HandleCommands(commands)
	c.logCommands(call.node, worker, commands.FencingToken, commands.Commands)
	c.machines.heartbeats.schedule(worker)
	if reply.Outcome == messages.OK {
		c.network.repeat(c.network.PushRepeatChance, func() { c.repeat(worker, commands) })
		c.copies.record(worker.ID, StartCopy{Commands: commands.Commands, deliver: func() { c.deliverLate(worker, commands) }})
	}
	if c.Chance(0.01) {
		call.replyAfter(commandReplyTimeout, unknown)
		return
	}
	call.replyAfter(c.network.delay(), reply)
}

// repeat delivers a push that was executed a second time.
func (c *commandChannel) repeat(worker *SimulatedWorker, commands messages.PushCommands) {
	if !worker.removed && slices.ContainsFunc(commands.Commands, isStart) {
		c.FaultCounts[FaultRepeatedStart]++
	}
	c.deliverLate(worker, commands)
}

// deliverLate delivers commands after the controller's call has timed out. A machine
// that hangs handles them when it recovers. If the worker's lease has expired by then,
// the worker first drops its tasks.
func (c *commandChannel) deliverLate(worker *SimulatedWorker, commands messages.PushCommands) {
	if worker.removed {
		return
	}
	if c.Now < worker.hungUntil {
		c.After(worker.hungUntil-c.Now+millisecond, func() { c.deliverLate(worker, commands) })
		return
	}
	if worker.isLeaseExpired(c.Now) {
		worker.Advance(c.Now)
	}
	worker.HandleCommands(commands)
}

// logCommands logs the commands that a worker received from a controller.
func (e *environment) logCommands(node *Node, worker *SimulatedWorker, token cluster.FencingToken, commands []cluster.Command) {
	for _, command := range commands {
		verb := [...]string{"start", "stop", "forget"}[command.Kind]
		e.Log(fmt.Sprintf("%s -> %s token %d: %s %s attempt %d", node.ID, worker.ID, token, verb, command.Task, command.Attempt))
	}
}
