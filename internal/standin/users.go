package standin

import (
	"net/http"

	"stairrelay/internal/core"
)

// Users, and what they are told.

const (
	// userTimeout is how long a user waits for an answer.
	userTimeout = 2 * second
	// A user asks again after a time between these; after a job's end after this
	// many times as long.
	leastPollPause  = 2 * second
	mostPollPause   = 6 * second
	finalPollFactor = 5
	// retryPause is the least time before a user repeats a refused request.
	retryPause = second
)

// Told checks an answer that a user got.
func (w *World) Told(job *Job, status core.Status) {
	if status == core.StDone {
		if index, found := w.undoneTask(job); found {
			w.broke("not_done: %s is called done before task %d is", job.Spec.ID, index)
			return
		}
	}
	w.checkOrphan(job, status, w.Now)
	if job.Told.Final() && status != job.Told {
		w.broke("went_back: %s was %s, now %s", job.Spec.ID, job.Told, status)
	}
	if status == core.StCancelled {
		w.toldCancelled(job)
	}
	ended := status.Final() && !job.Told.Final()
	job.Told = status
	if ended {
		job.finalAt = w.Now
		w.lookClosely(job)
	}
}

// undoneTask finds a task of a job that is not done.
func (w *World) undoneTask(job *Job) (int, bool) {
	for index := range job.Spec.Tasks {
		if !w.done[core.TaskID{Job: job.Spec.ID, Index: index}] {
			return index, true
		}
	}
	return 0, false
}

func (w *World) toldCancelled(job *Job) {
	if !w.mayBeCancelled(job) {
		w.broke("went_back: %s called cancelled unasked", job.Spec.ID)
	}
	if job.CancelTold == 0 {
		job.CancelTold = w.Now
	}
}

// Submit hands in a job until it is accepted.
func (w *World) Submit(job *Job) {
	w.Jobs[job.Spec.ID] = job
	job.Submitted = w.Now
	w.resubmit(job)
}

func (w *World) resubmit(job *Job) {
	asked := w.Now
	to := w.submitTo(job)
	if to == nil {
		w.After(retryPause, func() { w.resubmit(job) })
		return
	}
	submit := func(id core.ReqID) core.Event { return core.Submit{Req: id, Job: job.Spec} }
	w.Ask(to, submit, func(answer core.Respond) {
		switch answer.Status {
		case http.StatusOK, http.StatusCreated:
			w.accepted(job, asked, answer.View.Status)
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			w.broke("%s refused with %d", job.Spec.ID, answer.Status)
		default:
			if len(job.Spec.Awaits) > 0 && !w.Upgraded() {
				w.Faults["jobs that await others refused in the upgrade"]++
			}
			pause := max(retryPause, core.Time(answer.RetryAfter)*second)
			w.After(pause, func() { w.resubmit(job) })
		}
	})
}

// accepted takes in the answer to a submission that was made at a time.
func (w *World) accepted(job *Job, asked core.Time, status core.Status) {
	first := !job.Accepted
	job.Accepted = true
	job.answeredAt = w.Now
	if asked >= job.finalAt {
		w.Told(job, status)
	}
	if first {
		w.lookClosely(job)
	}
	w.poll(job)
}

// any draws a controller.
func (w *World) any() *Node { return w.Nodes[w.Rand.IntN(len(w.Nodes))] }

// poll asks for a job's state again and again.
func (w *World) poll(job *Job) {
	pause := w.Between(leastPollPause, mostPollPause)
	if job.Told.Final() {
		pause *= finalPollFactor
	}
	w.After(pause, func() {
		asked := w.Now
		query := func(id core.ReqID) core.Event { return core.Query{Req: id, ID: job.Spec.ID} }
		w.Ask(w.any(), query, func(answer core.Respond) {
			w.polled(job, asked, answer)
			w.poll(job)
		})
	})
}

// polled takes in the answer to a question that was asked at a time, unless
// its user has given up.
func (w *World) polled(job *Job, asked core.Time, answer core.Respond) {
	if w.Now-asked > userTimeout {
		return
	}
	switch answer.Status {
	case http.StatusOK:
		job.answeredAt = w.Now
		// An earlier question may have been answered before the end was.
		if asked >= job.finalAt {
			w.Told(job, answer.View.Status)
		}
	case http.StatusNotFound:
		w.broke("forgotten: %s", job.Spec.ID)
	}
}

// Cancel asks until it is answered.
func (w *World) Cancel(job *Job) {
	job.AskedCancel = true
	accepted := job.Accepted
	cancel := func(id core.ReqID) core.Event { return core.Cancel{Req: id, ID: job.Spec.ID} }
	w.Ask(w.any(), cancel, func(answer core.Respond) {
		switch {
		case answer.Status == http.StatusOK:
			w.Told(job, answer.View.Status)
		case answer.Status == http.StatusNotFound && accepted:
			w.broke("forgotten: %s at its cancellation", job.Spec.ID)
		default:
			w.After(retryPause, func() { w.Cancel(job) })
		}
	})
}

// Unknown polls for a job that nobody has submitted.
func (w *World) Unknown(id core.JobID) {
	query := func(request core.ReqID) core.Event { return core.Query{Req: request, ID: id} }
	w.Ask(w.any(), query, func(answer core.Respond) {
		if answer.Status == http.StatusOK {
			w.broke("invented: %s", id)
		}
	})
}

// Unfinished counts the jobs whose users wait.
func (w *World) Unfinished() int {
	unfinished := 0
	for _, job := range w.Jobs {
		if !job.Told.Final() {
			unfinished++
		}
	}
	return unfinished
}
