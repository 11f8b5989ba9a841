package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// handleUnrecorded handles a reported task attempt that is not assigned to the machine. If
// the attempt is running, it is stopped, because the task may already be starting on another
// machine. If it has ended, the end is acknowledged, unless it is a completion that has to
// be stored first. The argument seen is the highest token that the worker has seen. If it is
// lower than the machine's token, the start was sent under an earlier one.
func (r *Reconciler) handleUnrecorded(machine *state.Machine, task *cluster.TaskStatus, seen cluster.FencingToken) {
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
		r.loop.Log(messages.LogInfo, "worker runs a task attempt that the machine's record does not list; stopping it", "machine", string(machine.ID), "task", task.Task.String(), "attempt", uint64(task.Attempt), "seen_token", uint64(seen), "token", uint64(machine.Token))
	}
	machine.UnrecordedToStop[attempt] = true
}

// applyUnrecordedCompletion records the completion of a task that the machine's record no
// longer lists, because a previous owner removed the task but did not store its completion.
// Without this, the task would run again. The worker reports the task until its completion
// is stored and acknowledged.
//
// The result is true if the completion was recorded, or if the job's records are still
// being loaded and may contain it. If the result is false, the caller must handle the status.
func (r *Reconciler) applyUnrecordedCompletion(machine *state.Machine, task *cluster.TaskStatus) bool {
	if task.State != cluster.Ended || task.Cause != cluster.CauseCompleted || machine.Assignments[task.Task] != nil {
		return false
	}
	job := r.state.Jobs.Owned[task.Task.Job]
	if job == nil || !job.IsActive() || task.Task.Index >= len(job.TaskStates) {
		return false
	}
	if job.ChunksLoading > 0 { // the completion may already be stored
		machine.UntrackedTaskCount++
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
