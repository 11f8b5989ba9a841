package reconcile

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// Commands works out what machines are to do, and pushes what can't wait for their
// next heartbeats.
type Commands struct {
	*shared
	reconciler *Reconciler
	queued     []*state.Machine // to be pushed to in this step
}

// For lists what a machine is to do now, starts last. urgentOnly leaves out what can
// wait for its next heartbeat, and stops that were sent already.
func (c *Commands) For(machine *state.Machine, urgentOnly bool) []cluster.Command {
	var commands, starts []cluster.Command
	mayStart := c.mayStartOn(machine)
	for _, assignment := range machine.SortedAssignments() {
		if assignment.ConfirmedAbsent {
			continue
		}
		switch assignment.Phase {
		case state.PhaseRecording:
		case state.PhaseReady:
			if mayStart && assignment.Job.IsActive() && !machine.HasUnclearedAttempt(assignment.Task) {
				starts = append(starts, cluster.Command{Kind: cluster.Start, Task: assignment.Task, Attempt: assignment.Attempt})
			}
		case state.PhaseDispatched, state.PhaseAcknowledged, state.PhaseUnverified:
			if c.isStopDue(assignment, urgentOnly) {
				commands = append(commands, c.stop(assignment))
			}
		case state.PhaseEnded:
			if !urgentOnly && !machine.StartInDoubt && assignment.IsCompleted() && assignment.IsOutcomeStored() {
				commands = append(commands, acknowledge(assignment.TaskAttempt()))
			}
		}
	}
	if !urgentOnly {
		commands = append(commands, cleanupCommands(machine)...)
	}
	return append(commands, starts...)
}

// mayStartOn tells whether starts may be sent to a machine now. While one is in doubt the
// machine gets no new work: what is sent to it may not reach it.
func (c *Commands) mayStartOn(machine *state.Machine) bool {
	if machine.StartInDoubt || machine.Releasing || c.loop.Now() < machine.NoStartsBefore {
		return false
	}
	return c.deps.Ownership.CanStartTasks(c.state.Shards[machine.ShardID])
}

// isStopDue tells whether a task's stop is to be sent now. A task that is saving is
// left alone until its grace is over.
func (c *Commands) isStopDue(assignment *state.Assignment, urgentOnly bool) bool {
	if !assignment.StopRequested || urgentOnly && assignment.StopSentAt > 0 {
		return false
	}
	isSaving := assignment.State == cluster.Checkpointing && assignment.GracePeriod > 0
	return !isSaving || assignment.IsGraceExpired(c.loop.Now())
}

// stop makes the command that stops a task; without grace once that has expired.
func (c *Commands) stop(assignment *state.Assignment) cluster.Command {
	grace := assignment.GracePeriod
	if assignment.IsGraceExpired(c.loop.Now()) {
		grace = 0
	}
	assignment.MarkStopSent(c.loop.Now())
	return cluster.Command{Kind: cluster.Stop, Task: assignment.Task, Attempt: assignment.Attempt, GraceSeconds: grace}
}

// clearingCommands stop what runs without being recorded, and acknowledge what has
// ended and is not recorded any more. While a start is in doubt nothing is
// acknowledged: a worker that has dropped an attempt can't tell a late copy of its start
// from a new one.
func cleanupCommands(machine *state.Machine) []cluster.Command {
	var commands []cluster.Command
	for _, attempt := range state.SortedAttempts(machine.UnrecordedToStop) {
		commands = append(commands, cluster.Command{Kind: cluster.Stop, Task: attempt.Task, Attempt: attempt.Attempt})
	}
	if machine.StartInDoubt {
		return commands
	}
	for _, attempt := range state.SortedAttempts(machine.EndedToAcknowledge) {
		commands = append(commands, acknowledge(attempt))
	}
	return commands
}

func acknowledge(attempt state.TaskAttempt) cluster.Command {
	return cluster.Command{Kind: cluster.Acknowledge, Task: attempt.Task, Attempt: attempt.Attempt}
}

// onlyStops leaves what may be sent under any token that the worker takes: a task that
// is to be stopped must not go on until a higher token is stored, which in an outage
// takes longer than a cancellation may.
func onlyStops(commands []cluster.Command) []cluster.Command {
	return slices.DeleteFunc(commands, func(command cluster.Command) bool { return command.Kind != cluster.Stop })
}

// withoutStarts leaves out the starts.
func withoutStarts(commands []cluster.Command) []cluster.Command {
	return slices.DeleteFunc(commands, func(command cluster.Command) bool { return command.Kind == cluster.Start })
}
