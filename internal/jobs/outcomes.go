package jobs

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// backgroundWriteIntervals is the minimum time between two background writes of a job
// while task starts are queued, as a multiple of Config.CheckpointInterval. Writing in
// each interval would use up the write budget that the starts need.
const backgroundWriteIntervals = 4

// WriteOutcomes enqueues background writes of the newly completed tasks of unfinished
// jobs.
func (r *Records) WriteOutcomes() {
	for _, job := range r.state.OwnedJobs() {
		if job.WriteQueued || job.FinalStatus != "" || job.RecordTooLarge || r.isBackgroundWriteDeferred(job) {
			continue
		}
		if slices.Contains(job.DirtyChunks, true) {
			job.NextBackgroundWriteAt = r.loop.Now() + backgroundWriteIntervals*r.config.CheckpointInterval
			r.WriteJob(job, writequeue.PriorityBackground)
		}
	}
}

// isBackgroundWriteDeferred reports whether a job's next background write has to wait
// because task starts are queued and the last background write was recent.
func (r *Records) isBackgroundWriteDeferred(job *state.Job) bool {
	return r.loop.Now() < job.NextBackgroundWriteAt && len(r.writeQueue.Queued(writequeue.PriorityStart)) > 0
}

// acknowledgeStoredTasks handles a job's assignments whose completion is stored. It marks
// such an assignment as absent from its machine, because the task has exited, and requests
// an acknowledgement of the task's end to the worker. The next write of the machine's
// record then omits the assignment. An assignment that the machine's record no longer
// lists is removed from memory instead. Assignments on a machine with a start in doubt are
// skipped.
func (r *Records) acknowledgeStoredTasks(job *state.Job) {
	for assignment := range job.ListedAssignments {
		machine := r.state.Machines[assignment.MachineID]
		if machine == nil || machine.Assignments[assignment.Task] != assignment || machine.StartInDoubt {
			continue
		}
		switch {
		case !assignment.IsCompleted() || assignment.ConfirmedAbsent || !assignment.IsOutcomeStored():
		case assignment.RemovedFromRecord:
			r.Tasks.RemoveAssignment(machine, assignment)
		default:
			machine.MarkConfirmedAbsent(assignment)
			machine.EndedToAcknowledge[assignment.TaskAttempt()] = true
		}
	}
}

// handleFinalStatusStored updates a job after its final status is stored: it updates the
// dependents, notifies their owners and calls the waiters. If the job is still owned, it
// stops the remaining tasks of a cancelled job, requests scheduling, and removes the job
// from the owned jobs unless tasks of it are still assigned.
func (r *Records) handleFinalStatusStored(job *state.Job, final cluster.JobStatus) {
	job.FinalStatus = final
	if known := r.state.Jobs.Known[job.Spec.ID]; known != nil {
		known.FinalRecorded = true
		r.dependencies.applyFinalStatus(job.Spec.ID, final)
		r.dependencies.notifyDependentOwners(job.Spec.ID, known)
	}
	callWaiters(job, final)
	if !r.state.Jobs.Owns(job) {
		return
	}
	r.logEnd(job, final)
	if final == cluster.JobCancelled {
		r.Tasks.StopAll(job)
	}
	r.Scheduler.RequestScheduling()
	if len(job.Assignments) == 0 {
		r.state.RemoveOwnedJob(job)
	}
}

// logEnd logs the final status and the times of a job, together with what its user
// requested.
func (r *Records) logEnd(job *state.Job, final cluster.JobStatus) {
	spec := &job.Spec
	secondsSinceArrival := func(at cluster.Time) int { return int((at - job.ArrivedAt) / second) }
	r.loop.Log(messages.LogDebug, "job ended",
		"job", string(spec.ID),
		"status", string(final),
		"class", spec.Class,
		"team", spec.Team,
		"tasks", spec.Tasks,
		"first_start_s", secondsSinceArrival(job.FirstRunAt),
		"last_start_s", secondsSinceArrival(job.LastRunAt),
		"took_s", secondsSinceArrival(r.loop.Now()),
		"estimated_run_s", int(spec.RuntimeSeconds),
		"deadline_s", int(spec.DeadlineSeconds),
		"cpu", float64(spec.ResourceRequest.CPU)/cluster.AmountsPerUnit,
		"guaranteed", job.InitiallyGuaranteed)
}

// Abandon removes a job whose shard is no longer owned. Its waiters are called with an
// empty status.
func (r *Records) Abandon(job *state.Job) {
	r.state.RemoveOwnedJob(job)
	callWaiters(job, "")
}

// callWaiters calls the waiters of a job with its final status, or with an empty status
// if the job's shard was lost.
func callWaiters(job *state.Job, final cluster.JobStatus) {
	for _, waiter := range job.Waiters {
		waiter(final)
	}
	job.Waiters = nil
}
