package simulation

import (
	"stairrelay/internal/cluster"
)

// Pipelines: jobs that await others, and the two rules about them.

// dependencyPollInterval is how often a user looks whether the jobs that another awaits are there.
const dependencyPollInterval = 100 * millisecond

// SubmitAfterDependencies hands in a job as soon as those that it awaits are accepted or,
// when late, once they are over.
func (w *Simulator) SubmitAfterDependencies(job *Job, late bool) {
	for _, id := range job.Spec.Dependencies {
		awaited := w.Jobs[id]
		if awaited == nil || !awaited.Accepted || late && !awaited.ReportedStatus.IsFinal() {
			w.After(dependencyPollInterval, func() { w.SubmitAfterDependencies(job, late) })
			return
		}
	}
	w.FaultCounts["jobs that await others"]++
	w.Submit(job)
}

// transitiveDependencies lists all jobs that a job needs, directly or through others.
func (w *Simulator) transitiveDependencies(job *Job) []*Job {
	var found []*Job
	seen := map[cluster.JobID]bool{}
	var visit func(*Job)
	visit = func(job *Job) {
		for _, id := range job.Spec.Dependencies {
			if awaited := w.Jobs[id]; awaited != nil && !seen[id] {
				seen[id] = true
				found = append(found, awaited)
				visit(awaited)
			}
		}
	}
	visit(job)
	return found
}

// mayBeCancelled tells whether a job's user, or that of a job that it needs, has
// asked for it to be cancelled.
func (w *Simulator) mayBeCancelled(job *Job) bool {
	if job.CancelRequested {
		return true
	}
	for _, awaited := range w.transitiveDependencies(job) {
		if awaited.CancelRequested {
			return true
		}
	}
	return false
}

// checkDependenciesDone: no task starts before all jobs that its job needs are done.
func (w *Simulator) checkDependenciesDone(job *Job) {
	for _, awaited := range w.transitiveDependencies(job) {
		if _, found := w.findUndoneTask(awaited); found {
			w.reportViolation("too_early: %s starts, %s has a task that is not done", job.Spec.ID, awaited.Spec.ID)
			return
		}
	}
	if len(job.Spec.Dependencies) > 0 {
		w.FaultCounts["jobs started after those that they await"]++
	}
}

// checkDependentCancelled: cancel_s after its user was told that a job before it is
// cancelled, a job is not called unfinished by anybody.
func (w *Simulator) checkDependentCancelled(job *Job, status cluster.JobStatus, asked cluster.Time) {
	for _, awaited := range w.transitiveDependencies(job) {
		if awaited.CancelConfirmedAt == 0 {
			continue
		}
		if status == cluster.JobCancelled {
			w.FaultCounts["jobs cancelled with one that they need"]++
		} else if asked-awaited.CancelConfirmedAt > w.config.CancelDeadline {
			w.reportViolation("orphaned: %s is called %s, %s was cancelled long before", job.Spec.ID, status, awaited.Spec.ID)
		}
	}
}
