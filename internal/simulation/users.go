package simulation

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// userTimeout is how long a user waits for the response to a query.
	userTimeout = 2 * second
	// A user polls a job at random intervals between minPollInterval and
	// maxPollInterval. After a final status was reported, the intervals are
	// finalPollFactor times as long.
	minPollInterval = 2 * second
	maxPollInterval = 6 * second
	finalPollFactor = 5
	// retryDelay is the minimum delay before a user retries an unsuccessful request.
	retryDelay = second
	// dependencyPollInterval is how often a user checks whether a job's
	// dependencies have been accepted.
	dependencyPollInterval = 100 * millisecond
)

// Users submits, polls and cancels jobs, and checks the responses.
type Users struct {
	*environment
	nodes          *nodeSet
	jobs           *jobTable
	checker        *invariantChecker
	readAfterWrite *ReadAfterWrite
	network        *Network
}

// Submit submits a job and retries until it is accepted.
func (u *Users) Submit(job *Job) {
	u.jobs.Jobs[job.Spec.ID] = job
	job.SubmittedAt = u.Now
	u.trySubmit(job)
}

// SubmitAfterDependencies submits a job as soon as all its dependencies have been accepted.
// If late is set, it waits until a final status of each dependency has been reported.
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
	sentAt := u.Now
	node := u.submissionTarget(job)
	if node == nil {
		u.After(retryDelay, func() { u.trySubmit(job) })
		return
	}
	node.SendRequest(submitRequest(job.Spec), func(response messages.Respond) {
		switch response.Status {
		case messages.StatusOK, messages.StatusCreated:
			u.repeat(submitRequest(job.Spec))
			u.handleAccepted(job, sentAt, response.View.Status)
		case messages.StatusBadRequest, messages.StatusUnschedulable:
			u.reportViolation("valid job %s rejected with status %d", job.Spec.ID, response.Status)
		case messages.StatusNone, messages.StatusJobNotFound, messages.StatusMisdirected, messages.StatusTooManyRequests, messages.StatusUnavailable:
			if len(job.Spec.Dependencies) > 0 && !u.nodes.IsUpgraded() {
				u.FaultCounts[FaultDependentRejectedInUpgrade]++
			}
			delay := max(retryDelay, cluster.Time(response.RetryAfter)*second)
			u.After(delay, func() { u.trySubmit(job) })
		}
	})
}

// submissionTarget returns a random node to which a job can be submitted, or nil if
// no controller accepts it yet. Jobs with dependencies need an upgraded controller.
func (u *Users) submissionTarget(job *Job) *Node {
	if len(job.Spec.Dependencies) > 0 && !u.nodes.IsUpgraded() {
		return u.nodes.randomUpgradedNode()
	}
	return u.nodes.randomNode()
}

// handleAccepted handles the response to an accepted submission that was sent at sentAt,
// and starts to poll the job.
func (u *Users) handleAccepted(job *Job, sentAt cluster.Time, status cluster.JobStatus) {
	first := !job.Accepted
	job.Accepted = true
	job.lastResponseAt = u.Now
	if sentAt >= job.finalReportedAt {
		u.CheckReportedStatus(job, status)
	}
	if first {
		u.readAfterWrite.start(job)
	}
	u.poll(job)
}

// poll queries a job's status periodically.
func (u *Users) poll(job *Job) {
	interval := u.RandomBetween(minPollInterval, maxPollInterval)
	if job.ReportedStatus.IsFinal() {
		interval *= finalPollFactor
	}
	u.After(interval, func() {
		sentAt := u.Now
		u.nodes.randomNode().SendRequest(queryRequest(job.Spec.ID), func(response messages.Respond) {
			u.handlePollResponse(job, sentAt, response)
			u.poll(job)
		})
	})
}

// handlePollResponse handles the response to a query that was sent at sentAt. It ignores a
// response that arrives after the user's timeout.
func (u *Users) handlePollResponse(job *Job, sentAt cluster.Time, response messages.Respond) {
	if u.Now-sentAt > userTimeout {
		return
	}
	switch response.Status {
	case messages.StatusOK:
		job.lastResponseAt = u.Now
		// A query that was sent before the final status was reported may return an
		// older status.
		if sentAt >= job.finalReportedAt {
			u.CheckReportedStatus(job, response.View.Status)
		}
	case messages.StatusJobNotFound:
		u.reportViolation("forgotten: query of accepted job %s returned not found", job.Spec.ID)
	case messages.StatusNone, messages.StatusCreated, messages.StatusBadRequest, messages.StatusMisdirected,
		messages.StatusUnschedulable, messages.StatusTooManyRequests, messages.StatusUnavailable:
		// The next poll retries.
	}
}

// Cancel requests the cancellation of a job and retries until the request succeeds.
func (u *Users) Cancel(job *Job) {
	job.CancelRequested = true
	accepted := job.Accepted
	u.nodes.randomNode().SendRequest(cancelRequest(job.Spec.ID), func(response messages.Respond) {
		switch {
		case response.Status == messages.StatusOK:
			u.repeat(cancelRequest(job.Spec.ID))
			u.CheckReportedStatus(job, response.View.Status)
		case response.Status == messages.StatusJobNotFound && accepted:
			u.reportViolation("forgotten: cancellation of accepted job %s returned not found", job.Spec.ID)
		default:
			u.After(retryDelay, func() { u.Cancel(job) })
		}
	})
}

// repeat delivers a request that was executed a second time, to any controller. Nobody
// receives the response.
func (u *Users) repeat(request func(messages.RequestID) messages.Event) {
	u.network.repeat(u.network.RepeatChance, func() {
		u.FaultCounts[FaultRepeatedUserRequest]++
		u.nodes.randomNode().SendRequest(request, func(messages.Respond) {})
	})
}

// QueryUnknownJob queries a job that was never submitted. The query must not succeed.
func (u *Users) QueryUnknownJob(id cluster.JobID) {
	u.nodes.randomNode().SendRequest(queryRequest(id), func(response messages.Respond) {
		if response.Status == messages.StatusOK {
			u.reportViolation("invented: query of %s, which was never submitted, succeeded", id)
		}
	})
}

// CheckReportedStatus checks and records a status that is reported to a user.
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

func submitRequest(spec cluster.JobSpec) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event {
		return messages.Submit{Request: id, Spec: spec}
	}
}

func queryRequest(job cluster.JobID) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event {
		return messages.Query{Request: id, ID: job}
	}
}

func cancelRequest(job cluster.JobID) func(messages.RequestID) messages.Event {
	return func(id messages.RequestID) messages.Event {
		return messages.Cancel{Request: id, ID: job}
	}
}
