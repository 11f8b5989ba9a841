package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// handleUnrecorded follows a status that shows a task which the machine's record does
// not list. It is stopped: its record was lost or removed, so the same task may be
// started elsewhere.
func (r *Reconciler) handleUnrecorded(machine *state.Machine, task *cluster.TaskStatus) {
	attempt := state.TaskAttempt{Task: task.Task, Attempt: task.Attempt}
	if r.applyUnrecordedCompletion(machine, task) {
		return
	}
	if task.State == cluster.Ended {
		delete(machine.UnrecordedToStop, attempt)
		machine.EndedToAcknowledge[attempt] = true
		return
	}
	if !machine.UnrecordedToStop[attempt] {
		r.loop.Log(messages.LogInfo, "unrecorded task", "machine", string(machine.ID), "task", task.Task.String(), "attempt", uint64(task.Attempt))
	}
	machine.UnrecordedToStop[attempt] = true
}

// applyUnrecordedCompletion records that a task has run to its end under an earlier
// owner of its shard, who had not stored that yet. Without this the task would run
// again; the worker shows it until it is stored. It returns false where the task is
// not needed any more.
func (r *Reconciler) applyUnrecordedCompletion(machine *state.Machine, task *cluster.TaskStatus) bool {
	if task.State != cluster.Ended || task.Cause != cluster.CauseCompleted || machine.Assignments[task.Task] != nil {
		return false
	}
	job := r.state.Jobs.Owned[task.Task.Job]
	if job == nil || !job.IsActive() || task.Task.Index >= len(job.TaskStates) {
		return false
	}
	if job.ChunksLoading > 0 { // perhaps it is stored already
		return true
	}
	if job.TaskStates[task.Task.Index] != state.TaskPending {
		return false
	}
	machine.AddAssignment(&state.Assignment{
		Task:              task.Task,
		MachineID:         machine.ID,
		Job:               job,
		Attempt:           task.Attempt,
		Phase:             state.PhaseEnded,
		Cause:             cluster.CauseCompleted,
		ResourceRequest:   job.Spec.ResourceRequest,
		StartUnobserved:   true,
		RemovedFromRecord: true,
	})
	r.recordTaskCompleted(job, task.Task.Index)
	return true
}
