package jobs

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// backgroundCheckpointIntervals is how many checkpoint intervals pass between two
// background writes of a job while starts wait for their records: the write of each
// interval would take their puts.
const backgroundCheckpointIntervals = 4

// WriteOutcomes stores in the background the outcomes of tasks whose jobs go on.
func (r *Records) WriteOutcomes() {
	for _, job := range r.state.OwnedJobs() {
		if job.WriteQueued || job.FinalStatus != "" || job.RecordTooLarge || r.mustWaitForStarts(job) {
			continue
		}
		if slices.Contains(job.DirtyChunks, true) {
			job.NextCheckpointAt = r.loop.Now() + backgroundCheckpointIntervals*r.config.CheckpointInterval
			r.WriteJob(job, writequeue.PriorityBackground)
		}
	}
}

func (r *Records) mustWaitForStarts(job *state.Job) bool {
	return r.loop.Now() < job.NextCheckpointAt && len(r.writeQueue.Queued(writequeue.PriorityStart)) > 0
}

// acknowledgeStoredTasks lets machine records drop the tasks whose outcomes are
// stored: they have exited, and whoever owns the machine may acknowledge them.
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

// handleEnd takes in that a job's final status is stored.
func (r *Records) handleEnd(job *state.Job, final cluster.JobStatus) {
	job.FinalStatus = final
	if known := r.state.Jobs.Known[job.Spec.ID]; known != nil {
		known.FinalRecorded = true
		r.dependencies.applyFinalStatus(job.Spec.ID, known, final)
		r.dependencies.notifyDependentOwners(job.Spec.ID, known)
	}
	answerWaiters(job, final)
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

// logEnd logs how long a job took, next to what its user asked for.
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

// Abandon stops serving a job whose shard is no longer owned. Those who wait for its
// end learn that it is not known here.
func (r *Records) Abandon(job *state.Job) {
	r.state.RemoveOwnedJob(job)
	answerWaiters(job, "")
}

// answerWaiters tells those who wait for a job's end its final status, or "" when
// that will not be known here.
func answerWaiters(job *state.Job, final cluster.JobStatus) {
	for _, answer := range job.Waiters {
		answer(final)
	}
	job.Waiters = nil
}
