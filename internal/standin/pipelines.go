package standin

import "stairrelay/internal/core"

// Pipelines: jobs that await others, and the two rules about them.

// awaitPause is how often a user looks whether the jobs that another awaits are there.
const awaitPause = 100 * milli

// SubmitAfter hands in a job as soon as those that it awaits are accepted or,
// when late, once they are over.
func (w *World) SubmitAfter(job *Job, late bool) {
	for _, id := range job.Spec.Awaits {
		awaited := w.Jobs[id]
		if awaited == nil || !awaited.Accepted || late && !awaited.Told.Final() {
			w.After(awaitPause, func() { w.SubmitAfter(job, late) })
			return
		}
	}
	w.Faults["jobs that await others"]++
	w.Submit(job)
}

// awaited lists all jobs that a job needs, directly or through others.
func (w *World) awaited(job *Job) []*Job {
	var found []*Job
	seen := map[core.JobID]bool{}
	var visit func(*Job)
	visit = func(job *Job) {
		for _, id := range job.Spec.Awaits {
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
func (w *World) mayBeCancelled(job *Job) bool {
	if job.AskedCancel {
		return true
	}
	for _, awaited := range w.awaited(job) {
		if awaited.AskedCancel {
			return true
		}
	}
	return false
}

// checkEarly: no task starts before all jobs that its job needs are done.
func (w *World) checkEarly(job *Job) {
	for _, awaited := range w.awaited(job) {
		if _, found := w.undoneTask(awaited); found {
			w.broke("too_early: %s starts, %s has a task that is not done", job.Spec.ID, awaited.Spec.ID)
			return
		}
	}
	if len(job.Spec.Awaits) > 0 {
		w.Faults["jobs started after those that they await"]++
	}
}

// checkOrphan: cancel_s after its user was told that a job before it is
// cancelled, a job is not called unfinished by anybody.
func (w *World) checkOrphan(job *Job, status core.Status, asked core.Time) {
	for _, awaited := range w.awaited(job) {
		if awaited.CancelTold == 0 {
			continue
		}
		if status == core.StCancelled {
			w.Faults["jobs cancelled with one that they need"]++
		} else if asked-awaited.CancelTold > w.cfg.CancelWithin {
			w.broke("orphaned: %s is called %s, %s was cancelled long before", job.Spec.ID, status, awaited.Spec.ID)
		}
	}
}
