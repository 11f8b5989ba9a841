package simulation

import (
	"net/http"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// Users, and what they are told.

const (
	// userTimeout is how long a user waits for an answer.
	userTimeout = 2 * second
	// A user asks again after a time between these; after a job's end after this
	// many times as long.
	minPollPause    = 2 * second
	maxPollPause    = 6 * second
	finalPollFactor = 5
	// retryPause is the least time before a user repeats a refused request.
	retryPause = second
)

// CheckReportedStatus checks an answer that a user got.
func (w *Simulator) CheckReportedStatus(job *Job, status cluster.JobStatus) {
	if status == cluster.JobDone {
		if index, found := w.findUndoneTask(job); found {
			w.reportViolation("not_done: %s is called done before task %d is", job.Spec.ID, index)
			return
		}
	}
	w.checkDependentCancelled(job, status, w.Now)
	if job.ReportedStatus.IsFinal() && status != job.ReportedStatus {
		w.reportViolation("went_back: %s was %s, now %s", job.Spec.ID, job.ReportedStatus, status)
	}
	if status == cluster.JobCancelled {
		w.recordCancelConfirmed(job)
	}
	ended := status.IsFinal() && !job.ReportedStatus.IsFinal()
	job.ReportedStatus = status
	if ended {
		job.finalReportedAt = w.Now
		w.checkReadAfterWrite(job)
	}
}

// findUndoneTask finds a task of a job that is not done.
func (w *Simulator) findUndoneTask(job *Job) (int, bool) {
	for index := range job.Spec.Tasks {
		if !w.doneTasks[cluster.TaskID{Job: job.Spec.ID, Index: index}] {
			return index, true
		}
	}
	return 0, false
}

func (w *Simulator) recordCancelConfirmed(job *Job) {
	if !w.mayBeCancelled(job) {
		w.reportViolation("went_back: %s called cancelled unasked", job.Spec.ID)
	}
	if job.CancelConfirmedAt == 0 {
		job.CancelConfirmedAt = w.Now
	}
}

// Submit hands in a job until it is accepted.
func (w *Simulator) Submit(job *Job) {
	w.Jobs[job.Spec.ID] = job
	job.SubmittedAt = w.Now
	w.trySubmit(job)
}

func (w *Simulator) trySubmit(job *Job) {
	asked := w.Now
	to := w.submissionTarget(job)
	if to == nil {
		w.After(retryPause, func() { w.trySubmit(job) })
		return
	}
	submit := func(id messages.RequestID) messages.Event { return messages.Submit{Request: id, Spec: job.Spec} }
	w.SendRequest(to, submit, func(answer messages.Respond) {
		switch answer.Status {
		case http.StatusOK, http.StatusCreated:
			w.handleAccepted(job, asked, answer.View.Status)
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			w.reportViolation("%s refused with %d", job.Spec.ID, answer.Status)
		default:
			if len(job.Spec.Dependencies) > 0 && !w.IsUpgraded() {
				w.FaultCounts["jobs that await others refused in the upgrade"]++
			}
			pause := max(retryPause, cluster.Time(answer.RetryAfter)*second)
			w.After(pause, func() { w.trySubmit(job) })
		}
	})
}

// handleAccepted takes in the answer to a submission that was made at a time.
func (w *Simulator) handleAccepted(job *Job, asked cluster.Time, status cluster.JobStatus) {
	first := !job.Accepted
	job.Accepted = true
	job.lastAnswerAt = w.Now
	if asked >= job.finalReportedAt {
		w.CheckReportedStatus(job, status)
	}
	if first {
		w.checkReadAfterWrite(job)
	}
	w.pollJob(job)
}

// randomNode draws a controller.
func (w *Simulator) randomNode() *Node { return w.Nodes[w.Rand.IntN(len(w.Nodes))] }

// pollJob asks for a job's state again and again.
func (w *Simulator) pollJob(job *Job) {
	pause := w.RandomBetween(minPollPause, maxPollPause)
	if job.ReportedStatus.IsFinal() {
		pause *= finalPollFactor
	}
	w.After(pause, func() {
		asked := w.Now
		query := func(id messages.RequestID) messages.Event { return messages.Query{Request: id, ID: job.Spec.ID} }
		w.SendRequest(w.randomNode(), query, func(answer messages.Respond) {
			w.handlePollAnswer(job, asked, answer)
			w.pollJob(job)
		})
	})
}

// handlePollAnswer takes in the answer to a question that was asked at a time, unless
// its user has given up.
func (w *Simulator) handlePollAnswer(job *Job, asked cluster.Time, answer messages.Respond) {
	if w.Now-asked > userTimeout {
		return
	}
	switch answer.Status {
	case http.StatusOK:
		job.lastAnswerAt = w.Now
		// An earlier question may have been answered before the end was.
		if asked >= job.finalReportedAt {
			w.CheckReportedStatus(job, answer.View.Status)
		}
	case http.StatusNotFound:
		w.reportViolation("forgotten: %s", job.Spec.ID)
	}
}

// Cancel asks until it is answered.
func (w *Simulator) Cancel(job *Job) {
	job.CancelRequested = true
	accepted := job.Accepted
	cancel := func(id messages.RequestID) messages.Event { return messages.Cancel{Request: id, ID: job.Spec.ID} }
	w.SendRequest(w.randomNode(), cancel, func(answer messages.Respond) {
		switch {
		case answer.Status == http.StatusOK:
			w.CheckReportedStatus(job, answer.View.Status)
		case answer.Status == http.StatusNotFound && accepted:
			w.reportViolation("forgotten: %s at its cancellation", job.Spec.ID)
		default:
			w.After(retryPause, func() { w.Cancel(job) })
		}
	})
}

// QueryUnknownJob polls for a job that nobody has submitted.
func (w *Simulator) QueryUnknownJob(id cluster.JobID) {
	query := func(request messages.RequestID) messages.Event { return messages.Query{Request: request, ID: id} }
	w.SendRequest(w.randomNode(), query, func(answer messages.Respond) {
		if answer.Status == http.StatusOK {
			w.reportViolation("invented: %s", id)
		}
	})
}

// UnfinishedJobCount counts the jobs whose users wait.
func (w *Simulator) UnfinishedJobCount() int {
	unfinished := 0
	for _, job := range w.Jobs {
		if !job.ReportedStatus.IsFinal() {
			unfinished++
		}
	}
	return unfinished
}
