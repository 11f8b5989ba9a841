package standin

import "stairrelay/internal/core"

// Pipelines: jobs that await others, and the two rules about them.

// SubmitAfter hands in a job as soon as those that it awaits are accepted or,
// when late, once they are over.
func (w *World) SubmitAfter(j *Job, late bool) {
	for _, id := range j.Spec.Awaits {
		if a := w.Jobs[id]; a == nil || !a.Accepted || late && !a.Told.Final() {
			w.After(100*milli, func() { w.SubmitAfter(j, late) })
			return
		}
	}
	w.Faults["jobs that await others"]++
	w.Submit(j)
}

// awaited lists all jobs that a job needs, directly or through others.
func (w *World) awaited(j *Job) []*Job {
	var out []*Job
	seen := map[core.JobID]bool{}
	var visit func(*Job)
	visit = func(j *Job) {
		for _, id := range j.Spec.Awaits {
			if a := w.Jobs[id]; a != nil && !seen[id] {
				seen[id] = true
				out = append(out, a)
				visit(a)
			}
		}
	}
	visit(j)
	return out
}

// mayBeCancelled tells whether a job's user, or that of a job that it needs, has
// asked for it to be cancelled.
func (w *World) mayBeCancelled(j *Job) bool {
	if j.AskedCancel {
		return true
	}
	for _, a := range w.awaited(j) {
		if a.AskedCancel {
			return true
		}
	}
	return false
}

// checkEarly: no task starts before all jobs that its job needs are done.
func (w *World) checkEarly(j *Job) {
	for _, a := range w.awaited(j) {
		for i := range a.Spec.Tasks {
			if !w.done[core.TaskID{Job: a.Spec.ID, Index: i}] {
				w.broke("too_early: %s starts, %s has a task that is not done", j.Spec.ID, a.Spec.ID)
				return
			}
		}
	}
	if len(j.Spec.Awaits) > 0 {
		w.Faults["jobs started after those that they await"]++
	}
}

// checkOrphan: cancel_s after its user was told that a job before it is
// cancelled, a job is not called unfinished by anybody.
func (w *World) checkOrphan(j *Job, s core.Status, asked core.Time) {
	for _, a := range w.awaited(j) {
		if a.CancelTold == 0 {
			continue
		}
		if s == core.StCancelled {
			w.Faults["jobs cancelled with one that they need"]++
		} else if asked-a.CancelTold > w.cfg.CancelWithin {
			w.broke("orphaned: %s is called %s, %s was cancelled long before", j.Spec.ID, s, a.Spec.ID)
		}
	}
}
