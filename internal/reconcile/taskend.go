package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	// rejectedStartBackoff is how long no tasks are started on a machine after its worker
	// has rejected a start. If the worker rejected the task as unknown, no tasks of the
	// task's job are started for this time instead.
	rejectedStartBackoff = 3 * second
	// faultyJobMachineCount is the number of machines on which tasks of a job must fail
	// before the job is considered faulty.
	faultyJobMachineCount = 2
	// faultyMachineJobCount is the number of jobs whose tasks must fail on a machine
	// before the machine is considered faulty.
	faultyMachineJobCount = 2
	// maxJobBackoff is the maximum delay before tasks of a faulty job are retried.
	maxJobBackoff = 60 * second
	// maxBackoffDoublings limits how often the delay is doubled.
	maxBackoffDoublings = 6
)

// handleTaskEnded handles the reported end of a task that is assigned to the machine. A
// completed task is recorded as such. Any other task is marked as absent, so that it can
// start again, and a failure is counted against the machine and the job.
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
		machine.NoStartsBefore = r.loop.Now() + rejectedStartBackoff
	case cluster.CauseUnknownTask:
		job.BackoffUntil = r.loop.Now() + rejectedStartBackoff
	case cluster.CauseNone, cluster.CauseStopped:
	}
	r.ConfirmAbsent(machine, assignment)
	if !job.IsActive() {
		machine.EndedToAcknowledge[assignment.TaskAttempt()] = true
	}
}

// recordTaskCompleted records the completion of a task. After the last task of a job, it
// queues an urgent write of the job's record.
func (r *Reconciler) recordTaskCompleted(job *state.Job, index int) {
	job.SetCompleted(index)
	if job.FinalStatus == "" && job.ChunksLoading == 0 && job.CompletedCount == job.Spec.Tasks {
		r.deps.Jobs.WriteJob(job, writequeue.PriorityAdmission)
	}
}

// handleTaskFailed counts a task failure and determines whether the machine or the job is
// faulty. If tasks of several jobs fail on one machine, the machine is drained. If tasks
// of one job fail on several machines, the job is retried with exponential backoff.
func (r *Reconciler) handleTaskFailed(machine *state.Machine, assignment *state.Assignment) {
	job := assignment.Job
	machine.TaskErrors++
	machine.FailedJobs[job.Spec.ID] = true
	job.TaskErrors++
	job.FailedMachines[machine.ID] = true
	if len(job.FailedMachines) >= faultyJobMachineCount {
		doublings := min(len(job.FailedMachines)+job.TaskErrors/2, maxBackoffDoublings)
		job.BackoffUntil = r.loop.Now() + min(second<<doublings, maxJobBackoff)
	}
	if len(machine.FailedJobs) >= faultyMachineJobCount && !machine.Draining {
		r.loop.Log(messages.LogInfo, "tasks of several jobs failed on the machine; draining it", "machine", string(machine.ID), "task_errors", machine.TaskErrors)
		r.Stops.Drain(machine)
	}
}
