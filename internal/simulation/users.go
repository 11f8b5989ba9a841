package simulation

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// userTimeout is how long a user waits for an answer.
	userTimeout = 2 * second
	// A user polls a job again after a time between these; after the job's end
	// after this many times as long.
	minPollPause    = 2 * second
	maxPollPause    = 6 * second
	finalPollFactor = 5
	// retryPause is the least time before a user repeats a refused request.
	retryPause = second
	// dependencyPollInterval is how often a user looks whether a job's dependencies
	// are accepted.
	dependencyPollInterval = 100 * millisecond
)

// Users submits jobs, polls and cancels them, and checks the answers.
type Users struct {
	*environment
	nodes          *nodeSet
	jobs           *jobTable
	checker        *invariantChecker
	readAfterWrite *ReadAfterWrite
}

// Submit submits a job until it is accepted.
func (u *Users) Submit(job *Job) {
	u.jobs.Jobs[job.Spec.ID] = job
	job.SubmittedAt = u.Now
	u.trySubmit(job)
}

// SubmitAfterDependencies submits a job as soon as its dependencies are accepted
// or, when late, once they are over.
func (u *Users) SubmitAfterDependencies(job *Job, late bool) {
	for _, id := range job.Spec.Dependencies {
		dependency := u.jobs.Jobs[id]
		if dependency == nil || !dependency.Accepted || late && !dependency.ReportedStatus.IsFinal() {
			u.After(dependencyPollInterval, func() { u.SubmitAfterDependencies(job, late) })
			return
		}
	}
	u.FaultCounts[FaultDependentSubmitted]++
	u.Submit(job)
}

func (u *Users) trySubmit(job *Job) {
	askedAt := u.Now
	node := u.submissionTarget(job)
	if node == nil {
		u.After(retryPause, func() { u.trySubmit(job) })
		return
	}
	node.SendRequest(submitRequest(job.Spec), func(answer messages.Respond) {
		switch answer.Status {
		case messages.ReplyOK, messages.ReplyCreated:
			u.handleAccepted(job, askedAt, answer.View.Status)
		case messages.ReplyBadRequest, messages.ReplyUnschedulable:
			u.reportViolation("%s refused with %d", job.Spec.ID, answer.Status)
		case messages.ReplyNone, messages.ReplyJobNotFound, messages.ReplyMisdirected, messages.ReplyTooManyRequests, messages.ReplyUnavailable:
			if len(job.Spec.Dependencies) > 0 && !u.nodes.IsUpgraded() {
				u.FaultCounts[FaultDependentRejectedInUpgrade]++
			}
			pause := max(retryPause, cluster.Time(answer.RetryAfter)*second)
			u.After(pause, func() { u.trySubmit(job) })
		}
	})
}

// submissionTarget draws the node that a submission goes to; nil: no controller
// can take it yet.
func (u *Users) submissionTarget(job *Job) *Node {
	if len(job.Spec.Dependencies) > 0 && !u.nodes.IsUpgraded() {
		return u.nodes.randomUpgradedNode()
	}
	return u.nodes.random()
}

// handleAccepted takes in the answer to a submission that was made at a time.
func (u *Users) handleAccepted(job *Job, askedAt cluster.Time, status cluster.JobStatus) {
	first := !job.Accepted
	job.Accepted = true
	job.lastAnswerAt = u.Now
	if askedAt >= job.finalReportedAt {
		u.CheckReportedStatus(job, status)
	}
	if first {
		u.readAfterWrite.start(job)
	}
	u.poll(job)
}

// poll queries a job's status again and again.
func (u *Users) poll(job *Job) {
	pause := u.RandomBetween(minPollPause, maxPollPause)
	if job.ReportedStatus.IsFinal() {
		pause *= finalPollFactor
	}
	u.After(pause, func() {
		askedAt := u.Now
		u.nodes.random().SendRequest(queryRequest(job.Spec.ID), func(answer messages.Respond) {
			u.handlePollAnswer(job, askedAt, answer)
			u.poll(job)
		})
	})
}

// handlePollAnswer takes in the answer to a query that was made at a time, unless
// its user has given up.
func (u *Users) handlePollAnswer(job *Job, askedAt cluster.Time, answer messages.Respond) {
	if u.Now-askedAt > userTimeout {
		return
	}
	switch answer.Status {
	case messages.ReplyOK:
		job.lastAnswerAt = u.Now
		// An earlier query may have been answered before the end was.
		if askedAt >= job.finalReportedAt {
			u.CheckReportedStatus(job, answer.View.Status)
		}
	case messages.ReplyJobNotFound:
		u.reportViolation("forgotten: %s", job.Spec.ID)
	case messages.ReplyNone, messages.ReplyCreated, messages.ReplyBadRequest, messages.ReplyMisdirected,
		messages.ReplyUnschedulable, messages.ReplyTooManyRequests, messages.ReplyUnavailable:
		// The next poll asks again.
	}
}

// Cancel requests a job's cancellation until it is answered.
func (u *Users) Cancel(job *Job) {
	job.CancelRequested = true
	accepted := job.Accepted
	u.nodes.random().SendRequest(cancelRequest(job.Spec.ID), func(answer messages.Respond) {
		switch {
		case answer.Status == messages.ReplyOK:
			u.CheckReportedStatus(job, answer.View.Status)
		case answer.Status == messages.ReplyJobNotFound && accepted:
			u.reportViolation("forgotten: %s at its cancellation", job.Spec.ID)
		default:
			u.After(retryPause, func() { u.Cancel(job) })
		}
	})
}

// QueryUnknownJob queries a job that nobody has submitted.
func (u *Users) QueryUnknownJob(id cluster.JobID) {
	u.nodes.random().SendRequest(queryRequest(id), func(answer messages.Respond) {
		if answer.Status == messages.ReplyOK {
			u.reportViolation("invented: %s", id)
		}
	})
}

// CheckReportedStatus checks a status that is reported to a user against what was
// reported before.
func (u *Users) CheckReportedStatus(job *Job, status cluster.JobStatus) {
	if !u.checker.checkReportedStatus(job, status) {
		return
	}
	if status == cluster.JobCancelled && job.CancelConfirmedAt == 0 {
		job.CancelConfirmedAt = u.Now
	}
	ended := status.IsFinal() && !job.ReportedStatus.IsFinal()
	job.ReportedStatus = status
	if ended {
		job.finalReportedAt = u.Now
		u.readAfterWrite.start(job)
	}
}

// submitRequest is a user's submission of a job.
func submitRequest(spec cluster.JobSpec) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event {
		return messages.Submit{Request: id, Spec: spec}
	}
}

// queryRequest is a user's query of a job.
func queryRequest(job cluster.JobID) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event {
		return messages.Query{Request: id, ID: job}
	}
}

// cancelRequest is a user's cancellation of a job.
func cancelRequest(job cluster.JobID) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event {
		return messages.Cancel{Request: id, ID: job}
	}
}
