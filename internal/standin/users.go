package standin

import "stairrelay/internal/core"

// Users, and what they are told.

// Told checks an answer that a user got.
func (w *World) Told(j *Job, s core.Status) {
	if s == core.StDone {
		for i := range j.Spec.Tasks {
			if !w.done[core.TaskID{Job: j.Spec.ID, Index: i}] {
				w.broke("not_done: %s is called done before task %d is", j.Spec.ID, i)
				return
			}
		}
	}
	w.checkOrphan(j, s, w.Now)
	if j.Told.Final() && s != j.Told {
		w.broke("went_back: %s was %s, now %s", j.Spec.ID, j.Told, s)
	}
	if s == core.StCancelled {
		if !w.mayBeCancelled(j) {
			w.broke("went_back: %s called cancelled unasked", j.Spec.ID)
		}
		if j.CancelTold == 0 {
			j.CancelTold = w.Now
		}
	}
	news := s.Final() && !j.Told.Final()
	if news {
		j.finalAt = w.Now
	}
	j.Told = s
	if news {
		w.lookClosely(j)
	}
}

// Submit hands in a job until it is accepted.
func (w *World) Submit(j *Job) {
	w.Jobs[j.Spec.ID] = j
	j.Submitted = w.Now
	w.resubmit(j)
}

func (w *World) resubmit(j *Job) {
	asked := w.Now
	to := w.submitTo(j)
	if to == nil {
		w.After(second, func() { w.resubmit(j) })
		return
	}
	w.Ask(to, func(id core.ReqID) core.Event { return core.Submit{Req: id, Job: j.Spec} }, func(r core.Respond) {
		switch r.Status {
		case 200, 201:
			first := !j.Accepted
			j.Accepted, j.answeredAt = true, w.Now
			if asked >= j.finalAt {
				w.Told(j, r.View.Status)
			}
			if first {
				w.lookClosely(j)
			}
			w.poll(j)
		case 400, 422:
			w.broke("%s refused with %d", j.Spec.ID, r.Status)
		default:
			if len(j.Spec.Awaits) > 0 && !w.Upgraded() {
				w.Faults["jobs that await others refused in the upgrade"]++
			}
			w.After(max(second, core.Time(r.RetryAfter)*second), func() { w.resubmit(j) })
		}
	})
}

func (w *World) any() *Node { return w.Nodes[w.Rand.IntN(len(w.Nodes))] }

func (w *World) poll(j *Job) {
	pause := w.Between(2*second, 6*second)
	if j.Told.Final() {
		pause *= 5
	}
	w.After(pause, func() {
		asked := w.Now
		w.Ask(w.any(), func(id core.ReqID) core.Event { return core.Query{Req: id, ID: j.Spec.ID} }, func(r core.Respond) {
			if r.Status == 200 && w.Now-asked <= 2*second {
				j.answeredAt = w.Now
			}
			switch {
			case w.Now-asked > 2*second: // the user has given up
			case r.Status == 200 && asked < j.finalAt: // may have been answered before the end was
			case r.Status == 200:
				w.Told(j, r.View.Status)
			case r.Status == 404:
				w.broke("forgotten: %s", j.Spec.ID)
			}
			w.poll(j)
		})
	})
}

// Cancel asks until it is answered.
func (w *World) Cancel(j *Job) {
	j.AskedCancel = true
	accepted := j.Accepted
	w.Ask(w.any(), func(id core.ReqID) core.Event { return core.Cancel{Req: id, ID: j.Spec.ID} }, func(r core.Respond) {
		switch {
		case r.Status == 200:
			w.Told(j, r.View.Status)
		case r.Status == 404 && accepted:
			w.broke("forgotten: %s at its cancellation", j.Spec.ID)
		default:
			w.After(second, func() { w.Cancel(j) })
		}
	})
}

// Unknown polls for a job that nobody has submitted.
func (w *World) Unknown(id core.JobID) {
	w.Ask(w.any(), func(r core.ReqID) core.Event { return core.Query{Req: r, ID: id} }, func(r core.Respond) {
		if r.Status == 200 {
			w.broke("invented: %s", id)
		}
	})
}

// Unfinished counts the jobs whose users wait.
func (w *World) Unfinished() int {
	n := 0
	for _, j := range w.Jobs {
		if !j.Told.Final() {
			n++
		}
	}
	return n
}
