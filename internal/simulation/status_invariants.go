package simulation

import (
	"stairrelay/internal/cluster"
)

// checkReportedStatus checks a status that is reported to a user. It returns false
// when the status can't be true, and so must not be recorded.
func (c *invariantChecker) checkReportedStatus(job *Job, status cluster.JobStatus) bool {
	if status == cluster.JobDone {
		if index, found := c.jobs.findUndoneTask(job); found {
			c.reportViolation("not_done: %s is called done before task %d is", job.Spec.ID, index)
			return false
		}
	}
	c.checkDependentCancelled(job, status)
	if job.ReportedStatus.IsFinal() && status != job.ReportedStatus {
		c.reportViolation("went_back: %s was %s, now %s", job.Spec.ID, job.ReportedStatus, status)
	}
	if status == cluster.JobCancelled && !c.jobs.mayBeCancelled(job) {
		c.reportViolation("went_back: %s called cancelled unasked", job.Spec.ID)
	}
	return true
}

// checkDependenciesDone: no task starts before all jobs that its job needs are done.
func (c *invariantChecker) checkDependenciesDone(job *Job) {
	for _, dependency := range c.jobs.transitiveDependencies(job) {
		if _, found := c.jobs.findUndoneTask(dependency); found {
			c.reportViolation("too_early: %s starts, %s has a task that is not done", job.Spec.ID, dependency.Spec.ID)
			return
		}
	}
	if len(job.Spec.Dependencies) > 0 {
		c.FaultCounts[FaultDependentStarted]++
	}
}

// checkDependentCancelled: once the time for a cancellation has passed since a job
// was reported as cancelled, no controller calls a job that needs it
// unfinished.
func (c *invariantChecker) checkDependentCancelled(job *Job, status cluster.JobStatus) {
	for _, dependency := range c.jobs.transitiveDependencies(job) {
		switch {
		case dependency.CancelConfirmedAt == 0:
		case status == cluster.JobCancelled:
			c.FaultCounts[FaultDependentCancelled]++
		case c.isCancelOverdue(dependency):
			c.reportViolation("orphaned: %s is called %s, %s was cancelled long before", job.Spec.ID, status, dependency.Spec.ID)
		}
	}
}
