package reconcile

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// Commands determines the commands for each machine and pushes the urgent ones, which
// can't wait for the next heartbeat.
type Commands struct {
	*shared
	reconciler *Reconciler
	queued     []*state.Machine // machines to push to at the end of this event loop step
}

// For returns the commands to send to a machine now, with the starts last, as many as fit
// into a message. If urgentOnly is true, it omits the commands that can wait for the machine's
// next heartbeat and the stops that were already sent. It marks the stops that it returns as
// sent. To acknowledge ended attempts, it may advance the machine's token.
func (c *Commands) For(machine *state.Machine, urgentOnly bool) []cluster.Command {
	assignments := machine.SortedAssignments()
	batch := &commandBatch{}
	c.addStops(batch, assignments, urgentOnly)
	if !urgentOnly {
		addUnrecordedStops(batch, machine)
		c.addAcknowledgements(batch, machine, assignments)
	}
	c.addStarts(batch, machine, assignments)
	machine.CommandsLeft = batch.full
	return batch.commands
}

// addStops adds the stops of the given assignments that are due.
func (c *Commands) addStops(batch *commandBatch, assignments []*state.Assignment, urgentOnly bool) {
	for _, assignment := range assignments {
		isDue := assignment.MayRun() && c.isStopDue(assignment, urgentOnly)
		if isDue && batch.reserve(assignment.Task) {
			batch.add(c.stop(assignment))
		}
	}
}

// addUnrecordedStops adds the stops of the running attempts that the record does not list.
func addUnrecordedStops(batch *commandBatch, machine *state.Machine) {
	for _, attempt := range state.SortedAttempts(machine.UnrecordedToStop) {
		if batch.reserve(attempt.Task) {
			batch.add(cluster.Command{Kind: cluster.Stop, Task: attempt.Task, Attempt: attempt.Attempt})
		}
	}
}

// addStarts adds the starts of the machine's recorded tasks that may be sent now, in the order
// of its given assignments. It adds no more than the worker's heartbeats can list.
func (c *Commands) addStarts(batch *commandBatch, machine *state.Machine, assignments []*state.Assignment) {
	if !c.mayStartOn(machine) {
		return
	}
	listable := machine.MaxTasks() - machine.ListableTaskCount() + countUnsent(assignments)
	for _, assignment := range assignments {
		isReady := assignment.Phase == state.PhaseReady && !assignment.ConfirmedAbsent
		if !isReady || !assignment.Job.IsActive() || machine.HasStaleAttempt(assignment.Task) {
			continue
		}
		if listable <= 0 || !batch.reserve(assignment.Task) {
			return
		}
		listable--
		batch.add(cluster.Command{Kind: cluster.Start, Task: assignment.Task, Attempt: assignment.Attempt})
	}
}

// countUnsent returns the number of assignments whose starts were not sent.
func countUnsent(assignments []*state.Assignment) int {
	unsent := 0
	for _, assignment := range assignments {
		if assignment.IsUnsent() {
			unsent++
		}
	}
	return unsent
}

// mayStartOn reports whether starts may be sent to a machine now. No starts are sent while
// the machine is being released, during its backoff after a rejected start, or while this
// controller must not start tasks of the shard. While the outcome of a pushed start is
// unknown, no starts are sent because the machine may be unreachable.
func (c *Commands) mayStartOn(machine *state.Machine) bool {
	if machine.StartInDoubt || machine.Releasing || c.loop.Now() < machine.NoStartsBefore {
		return false
	}
	return c.deps.Ownership.CanStartTasks(c.state.Shards[machine.ShardID])
}

// isStopDue reports whether the stop of a task is to be sent now. If urgentOnly is true, a
// stop that was already sent is not due. While a task writes a checkpoint, a stop with a
// grace period is not due, unless the grace period of an earlier stop has expired.
func (c *Commands) isStopDue(assignment *state.Assignment, urgentOnly bool) bool {
	if !assignment.StopRequested || urgentOnly && assignment.StopSentAt > 0 {
		return false
	}
	isCheckpointing := assignment.State == cluster.Checkpointing && assignment.GraceSeconds > 0
	return !isCheckpointing || assignment.IsGraceExpired(c.loop.Now())
}

// stop returns the command that stops a task and marks the stop as sent. If the grace
// period of an earlier stop has expired, the command has no grace period.
func (c *Commands) stop(assignment *state.Assignment) cluster.Command {
	grace := assignment.GraceSeconds
	if assignment.IsGraceExpired(c.loop.Now()) {
		grace = 0
	}
	assignment.MarkStopSent(c.loop.Now())
	return cluster.Command{Kind: cluster.Stop, Task: assignment.Task, Attempt: assignment.Attempt, GraceSeconds: grace}
}

// onlyStops returns the stops among commands. Stops are safe to send before the worker has
// acknowledged the current token. If they had to wait until a higher token is stored, an
// outage of the store could delay a cancellation past its deadline.
func onlyStops(commands []cluster.Command) []cluster.Command {
	return slices.DeleteFunc(commands, func(command cluster.Command) bool { return command.Kind != cluster.Stop })
}

func withoutStarts(commands []cluster.Command) []cluster.Command {
	return slices.DeleteFunc(commands, func(command cluster.Command) bool { return command.Kind == cluster.Start })
}
