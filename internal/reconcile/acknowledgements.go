package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// addAcknowledgements adds the commands that acknowledge the machine's ended attempts whose
// outcome is stored or need not be stored. It adds none while the worker might execute a late
// copy of a pushed start after it has forgotten the attempt. The attempts are in the order of
// the machine's given assignments, followed by those without an assignment.
func (c *Commands) addAcknowledgements(batch *commandBatch, machine *state.Machine, assignments []*state.Assignment) {
	attempts := attemptsToAcknowledge(machine, assignments)
	if len(attempts) == 0 || !c.fencePushedStarts(machine) {
		return
	}
	for _, attempt := range attempts {
		if batch.reserve(attempt.Task) {
			batch.add(cluster.Command{Kind: cluster.Acknowledge, Task: attempt.Task, Attempt: attempt.Attempt})
		}
	}
}

// attemptsToAcknowledge returns the ended attempts to acknowledge: those of completed tasks
// whose outcomes are stored, and those that the record no longer lists.
func attemptsToAcknowledge(machine *state.Machine, assignments []*state.Assignment) []state.TaskAttempt {
	var attempts []state.TaskAttempt
	for _, assignment := range assignments {
		if !assignment.ConfirmedAbsent && assignment.IsCompleted() && assignment.IsOutcomeStored() {
			attempts = append(attempts, assignment.TaskAttempt())
		}
	}
	return append(attempts, state.SortedAttempts(machine.EndedToAcknowledge)...)
}

// fencePushedStarts reports whether the machine's token is higher than those of all starts
// that were pushed to it, and advances the token if necessary. If no record was stored since the
// token was set, it enqueues a background write, after which the token can be advanced.
//
// A worker ignores the start of an attempt that it holds, but after the acknowledgement it
// forgets the attempt. A copy of a push may arrive minutes later, even if the push was
// answered. Because the worker adopts the token before it executes an acknowledgement, it
// rejects such a copy. A start in a heartbeat response needs no fence: the worker drops late
// responses.
func (c *Commands) fencePushedStarts(machine *state.Machine) bool {
	switch {
	case machine.StartInDoubt || machine.RaisingToken:
		return false // a start may still be executed, or the token is about to change
	case machine.RejectsPushedStarts(machine.Token):
		return true
	case machine.PushInFlight:
		return false // the worker would reject the push
	case machine.AdvanceToken():
		c.deps.Metrics.AddTokenAdvance()
		return true
	}
	if !machine.Group.WritePending {
		c.deps.Machines.WriteMachine(machine, writequeue.PriorityBackground)
	}
	return false
}
