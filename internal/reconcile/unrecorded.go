package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// handleUnrecorded handles a reported task that the machine's record does not list. The
// task is stopped, because it may already be starting on another machine.
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
		r.loop.Log(messages.LogInfo, "worker runs a task that the machine's record does not list; stopping it", "machine", string(machine.ID), "task", task.Task.String(), "attempt", uint64(task.Attempt))
	}
	machine.UnrecordedToStop[attempt] = true
}

// applyUnrecordedCompletion records the completion of a task under a previous owner of its
// shard that did not store it. Otherwise the task would run again. The worker reports the
// task until its completion is stored and acknowledged. The result is false if the status
// reports no completion or the job does not need it; the caller then handles the status.
func (r *Reconciler) applyUnrecordedCompletion(machine *state.Machine, task *cluster.TaskStatus) bool {
	if task.State != cluster.Ended || task.Cause != cluster.CauseCompleted || machine.Assignments[task.Task] != nil {
		return false
	}
	job := r.state.Jobs.Owned[task.Task.Job]
	if job == nil || !job.IsActive() || task.Task.Index >= len(job.TaskStates) {
		return false
	}
	if job.ChunksLoading > 0 { // the completion may already be stored
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
