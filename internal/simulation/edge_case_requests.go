package simulation

import (
	"fmt"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// Bounds of the random delay between two requests.
	minEdgeCaseDelay = 100 * millisecond
	maxEdgeCaseDelay = 500 * millisecond
	// rejectedQueryCount is the number of queries about a rejected job, which are
	// sent within rejectedQueryPeriod.
	rejectedQueryCount  = 3
	rejectedQueryPeriod = 20 * second
)

// EdgeCaseRequests sends redundant and invalid requests and checks the responses.
type EdgeCaseRequests struct {
	*environment
	nodes         *nodeSet
	users         *Users
	jobs          *jobTable
	rejectedCount int
}

// SendFor sends requests at random intervals for a duration.
func (o *EdgeCaseRequests) SendFor(duration cluster.Time) { o.sendUntil(o.Now + duration) }

func (o *EdgeCaseRequests) sendUntil(until cluster.Time) {
	if o.Now >= until {
		return
	}
	o.sendOne()
	o.After(o.RandomBetween(minEdgeCaseDelay, maxEdgeCaseDelay), func() { o.sendUntil(until) })
}

func (o *EdgeCaseRequests) sendOne() {
	switch o.Rand.IntN(4) {
	case 0:
		o.resubmitUnfinished()
	case 1:
		o.cancelDone()
	case 2:
		o.submitUnschedulable()
	default:
		o.submitMalformed()
	}
}

// resubmitUnfinished repeats the submission of an unfinished job. Submissions are
// idempotent, so the controllers must respond with the job's status.
func (o *EdgeCaseRequests) resubmitUnfinished() {
	const kind = FaultRepeatedSubmission
	job := o.randomJob((*Job).isUnfinished)
	if job == nil {
		return
	}
	sentAt := o.Now
	o.nodes.randomNode().SendRequest(submitRequest(job.Spec), func(response messages.Respond) {
		if response.Status != messages.StatusTooManyRequests {
			o.checkStatusResponse(kind, job, response, func() bool { return sentAt >= job.finalReportedAt })
		}
		o.FaultCounts[kind]++
	})
}

// cancelDone requests the cancellation of a job that was reported done. The controllers
// must respond with the job's status.
func (o *EdgeCaseRequests) cancelDone() {
	const kind = FaultDoneJobCancelled
	job := o.randomJob(func(job *Job) bool { return job.Accepted && job.ReportedStatus == cluster.JobDone })
	if job == nil {
		return
	}
	o.nodes.randomNode().SendRequest(cancelRequest(job.Spec.ID), func(response messages.Respond) {
		o.checkStatusResponse(kind, job, response, func() bool { return true })
		o.FaultCounts[kind]++
	})
}

// randomJob returns a random job that satisfies a predicate, or nil if there is none.
func (o *EdgeCaseRequests) randomJob(holds func(*Job) bool) *Job {
	jobs := o.jobs.selectJobs(holds)
	if len(jobs) == 0 {
		return nil
	}
	return jobs[o.Rand.IntN(len(jobs))]
}

// checkStatusResponse checks a response that must contain the status of a job, unless the
// request is undecided. The status itself is checked only if current returns true.
func (o *EdgeCaseRequests) checkStatusResponse(kind FaultKind, job *Job, response messages.Respond, current func() bool) {
	switch {
	case isUndecided(response.Status):
	case response.Status != messages.StatusOK:
		o.reportViolation("forgotten: %s return status %d: %s", kind, response.Status, job.Spec.ID)
	case response.View == nil:
		o.reportViolation("missing_status: %s return no job status: %s", kind, job.Spec.ID)
	case current():
		o.users.CheckReportedStatus(job, response.View.Status)
	}
}

// isUndecided reports whether a request got no response or could not be processed, so
// that it can be retried.
func isUndecided(status messages.ResponseStatus) bool {
	return status == messages.StatusNone || status == messages.StatusUnavailable
}

// rejectedSubmission is a submission that the controllers must reject.
type rejectedSubmission struct {
	kind      FaultKind
	spec      cluster.JobSpec
	rejection messages.ResponseStatus // set by the HTTP server if the request is malformed
	want      messages.ResponseStatus
}

// submitUnschedulable submits a job that fits no machine.
func (o *EdgeCaseRequests) submitUnschedulable() {
	spec := o.newRejectedSpec()
	spec.ResourceRequest.CPU = 1_000_000_000
	o.submitRejected(rejectedSubmission{kind: FaultUnschedulableSubmission, spec: spec, want: messages.StatusUnschedulable})
}

// submitMalformed sends the controller a submission whose body the HTTP server has found
// to be invalid.
func (o *EdgeCaseRequests) submitMalformed() {
	o.submitRejected(rejectedSubmission{
		kind:      FaultMalformedSubmission,
		spec:      o.newRejectedSpec(),
		rejection: messages.StatusBadRequest,
		want:      messages.StatusBadRequest,
	})
}

func (o *EdgeCaseRequests) newRejectedSpec() cluster.JobSpec {
	o.rejectedCount++
	return cluster.JobSpec{
		ID:              cluster.JobID(fmt.Sprintf("j-7%05d", o.rejectedCount)),
		Class:           "odd",
		Team:            o.config.Teams[0].Name,
		Priority:        cluster.Normal,
		Tasks:           1,
		ResourceRequest: cluster.Resources{CPU: 1_000_000, Memory: 1_000_000},
		Image:           "img",
		ImageGB:         1,
		RuntimeSeconds:  5,
	}
}

// submitRejected sends a submission that must be rejected, and queries about the job,
// which must be unknown.
func (o *EdgeCaseRequests) submitRejected(submission rejectedSubmission) {
	request := func(id messages.RequestID) messages.Event {
		return messages.Submit{Request: id, Spec: submission.spec, Rejection: submission.rejection}
	}
	o.nodes.randomNode().SendRequest(request, func(response messages.Respond) { o.checkRejection(submission, response) })
	for range rejectedQueryCount {
		o.After(o.RandomBetween(millisecond, rejectedQueryPeriod), func() { o.queryRejected(submission) })
	}
}

func (o *EdgeCaseRequests) checkRejection(submission rejectedSubmission, response messages.Respond) {
	switch {
	case response.Status == submission.want:
		o.FaultCounts[submission.kind]++
	case isUndecided(response.Status):
	case response.Status == messages.StatusTooManyRequests && submission.rejection == messages.StatusNone:
		// An overloaded controller may reject a submission without validating it.
	default:
		o.reportViolation("unexpected_status: %s return status %d: %s", submission.kind, response.Status, submission.spec.ID)
	}
}

func (o *EdgeCaseRequests) queryRejected(submission rejectedSubmission) {
	id := submission.spec.ID
	o.nodes.randomNode().SendRequest(queryRequest(id), func(response messages.Respond) {
		if !isUndecided(response.Status) && response.Status != messages.StatusJobNotFound {
			o.reportViolation("invented: queries of rejected job %s, one of the %s, return status %d", id, submission.kind, response.Status)
		}
	})
}
