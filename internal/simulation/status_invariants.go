package simulation

import (
	"stairrelay/internal/cluster"
)

// checkReportedStatus checks a status that is reported to a user. It returns false if the
// job is reported done before all its tasks are done. Such a status must not be recorded.
func (c *invariantChecker) checkReportedStatus(job *Job, status cluster.JobStatus) bool {
	if status == cluster.JobDone {
		if index, found := c.jobs.findUndoneTask(job); found {
			c.reportViolation("not_done: %s is reported done before task %d is", job.Spec.ID, index)
			return false
		}
	}
	c.checkDependentCancelled(job, status)
	if job.ReportedStatus.IsFinal() && status != job.ReportedStatus {
		c.reportViolation("went_back: %s was reported %s and is now reported %s", job.Spec.ID, job.ReportedStatus, status)
	}
	if status == cluster.JobCancelled && !c.jobs.mayBeCancelled(job) {
		c.reportViolation("went_back: %s is reported cancelled without a request", job.Spec.ID)
	}
	return true
}

// checkDependenciesDone checks that a task does not start before all dependencies of
// its job are done.
func (c *invariantChecker) checkDependenciesDone(job *Job) {
	for _, dependency := range c.jobs.transitiveDependencies(job) {
		if _, found := c.jobs.findUndoneTask(dependency); found {
			c.reportViolation("too_early: %s starts while its dependency %s has an unfinished task", job.Spec.ID, dependency.Spec.ID)
			return
		}
	}
	if len(job.Spec.Dependencies) > 0 {
		c.FaultCounts[FaultDependentStarted]++
	}
}

// checkDependentCancelled checks that a job is reported as cancelled once the
// cancellation deadline of one of its dependencies has passed.
func (c *invariantChecker) checkDependentCancelled(job *Job, status cluster.JobStatus) {
	for _, dependency := range c.jobs.transitiveDependencies(job) {
		switch {
		case dependency.CancelConfirmedAt == 0:
		case status == cluster.JobCancelled:
			c.FaultCounts[FaultDependentCancelled]++
		case c.isCancelOverdue(dependency):
			c.reportViolation("orphaned: %s is reported %s after the cancellation deadline of its dependency %s", job.Spec.ID, status, dependency.Spec.ID)
		}
	}
}
