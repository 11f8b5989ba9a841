package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	// refusedStartPause is how long a machine that refused a start gets no other, and
	// a job that a worker did not know is not started again.
	refusedStartPause = 3 * second
	// failingJobMachines is on how many machines a job's tasks must fail before the
	// job counts as faulty.
	failingJobMachines = 2
	// failingMachineJobs is how many jobs' tasks must fail on a machine before the
	// machine counts as faulty.
	failingMachineJobs = 2
	// maxJobBackoff is the longest pause between two attempts of a faulty job.
	maxJobBackoff = 60 * second
	// maxBackoffDoublings bounds how often the pause is doubled.
	maxBackoffDoublings = 6
)

// handleTaskEnded follows a status that shows that a task of the record has ended.
func (r *Reconciler) handleTaskEnded(machine *state.Machine, assignment *state.Assignment, cause cluster.Cause) {
	job := assignment.Job
	machine.MarkEnded(assignment, cause)
	switch cause {
	case cluster.CauseCompleted:
		r.deps.Runtimes.RecordRuntime(machine, assignment)
		r.recordTaskCompleted(job, assignment.Task.Index)
		return
	case cluster.CauseFailed:
		r.handleTaskFailed(machine, assignment)
	case cluster.CauseNoCapacity, cluster.CauseDuplicateAttempt:
		machine.NoStartsBefore = r.loop.Now() + refusedStartPause
	case cluster.CauseUnknownTask:
		job.BackoffUntil = r.loop.Now() + refusedStartPause
	case cluster.CauseNone, cluster.CauseStopped:
	}
	r.ConfirmAbsent(machine, assignment)
	if !job.IsActive() {
		machine.EndedToAcknowledge[assignment.TaskAttempt()] = true
	}
}

// recordTaskCompleted records that a task has run to its end; with the last of its job
// that is stored at once.
func (r *Reconciler) recordTaskCompleted(job *state.Job, index int) {
	job.SetCompleted(index)
	if job.FinalStatus == "" && job.ChunksLoading == 0 && job.CompletedCount == job.Spec.Tasks {
		r.deps.Jobs.WriteJob(job, writequeue.PriorityAdmission)
	}
}

// handleTaskFailed tells a faulty machine from a faulty job: several jobs that fail on
// one machine speak against the machine, one job that fails on several machines
// against the job, which is then retried ever more slowly.
func (r *Reconciler) handleTaskFailed(machine *state.Machine, assignment *state.Assignment) {
	job := assignment.Job
	machine.TaskErrors++
	machine.FailedJobs[job.Spec.ID] = true
	job.TaskErrors++
	job.FailedMachines[machine.ID] = true
	if len(job.FailedMachines) >= failingJobMachines {
		doublings := min(len(job.FailedMachines)+job.TaskErrors/2, maxBackoffDoublings)
		job.BackoffUntil = r.loop.Now() + min(second<<doublings, maxJobBackoff)
	}
	if len(machine.FailedJobs) >= failingMachineJobs && !machine.Draining {
		r.loop.Log(messages.LogInfo, "machine fails tasks", "machine", string(machine.ID), "task_errors", machine.TaskErrors)
		r.Stops.Drain(machine)
	}
}
