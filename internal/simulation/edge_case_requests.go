package simulation

import (
	"fmt"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// The pause between two odd requests.
	minEdgeCasePause = 100 * millisecond
	maxEdgeCasePause = 500 * millisecond
	// oddQueryCount is how often a rejected job is queried, within oddQueryPeriod.
	rejectedQueryCount  = 3
	rejectedQueryPeriod = 20 * second
)

// OddRequests makes requests that users seldom make, and checks the answers.
type EdgeCaseRequests struct {
	*environment
	nodes         *nodeSet
	users         *Users
	jobs          *jobTable
	rejectedCount int
}

// SendFor makes odd requests for a while.
func (o *EdgeCaseRequests) SendFor(duration cluster.Time) { o.sendUntil(o.Now + duration) }

func (o *EdgeCaseRequests) sendUntil(until cluster.Time) {
	if o.Now >= until {
		return
	}
	o.sendOne()
	o.After(o.RandomBetween(minEdgeCasePause, maxEdgeCasePause), func() { o.sendUntil(until) })
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

// submitAgain submits an unfinished job again, which the controllers answer with
// its status.
func (o *EdgeCaseRequests) resubmitUnfinished() {
	const kind = FaultRepeatedSubmission
	job := o.drawJob((*Job).isUnfinished)
	if job == nil {
		return
	}
	askedAt := o.Now
	o.nodes.random().SendRequest(submitRequest(job.Spec), func(answer messages.Respond) {
		if answer.Status != messages.ReplyTooManyRequests {
			o.checkStatusAnswer(kind, job, answer, func() bool { return askedAt >= job.finalReportedAt })
		}
		o.FaultCounts[kind]++
	})
}

// cancelDone cancels a job that is done, which the controllers answer with its
// status.
func (o *EdgeCaseRequests) cancelDone() {
	const kind = FaultDoneJobCancelled
	job := o.drawJob(func(job *Job) bool { return job.Accepted && job.ReportedStatus == cluster.JobDone })
	if job == nil {
		return
	}
	o.nodes.random().SendRequest(cancelRequest(job.Spec.ID), func(answer messages.Respond) {
		o.checkStatusAnswer(kind, job, answer, func() bool { return true })
		o.FaultCounts[kind]++
	})
}

// drawJob draws one of the jobs for which something holds; nil: there is none.
func (o *EdgeCaseRequests) drawJob(holds func(*Job) bool) *Job {
	jobs := o.jobs.selectJobs(holds)
	if len(jobs) == 0 {
		return nil
	}
	return jobs[o.Rand.IntN(len(jobs))]
}

// checkStatusAnswer checks an answer that should bring the status of a job; the
// status counts if it is current.
func (o *EdgeCaseRequests) checkStatusAnswer(kind FaultKind, job *Job, answer messages.Respond, current func() bool) {
	switch {
	case isUndecided(answer.Status):
	case answer.Status != messages.ReplyOK:
		o.reportViolation("forgotten: %s get %d: %s", kind, answer.Status, job.Spec.ID)
	case answer.View == nil:
		o.reportViolation("%s get no state: %s", kind, job.Spec.ID)
	case current():
		o.users.CheckReportedStatus(job, answer.View.Status)
	}
}

// isUndecided tells whether a request may succeed when it is made again: it had no
// answer, or could not be decided.
func isUndecided(status messages.ReplyStatus) bool {
	return status == messages.ReplyNone || status == messages.ReplyUnavailable
}

// rejectedSubmission is a submission that the controllers have to reject.
type rejectedSubmission struct {
	kind      FaultKind
	spec      cluster.JobSpec
	rejection messages.ReplyStatus // what the program's HTTP server found wrong, if anything
	want      messages.ReplyStatus
}

// submitUnschedulable submits a job that fits no machine.
func (o *EdgeCaseRequests) submitUnschedulable() {
	spec := o.newRejectedSpec()
	spec.ResourceRequest.CPU = 1_000_000_000
	o.submitRejected(rejectedSubmission{kind: FaultUnschedulableSubmission, spec: spec, want: messages.ReplyUnschedulable})
}

// submitMalformed submits a job whose description makes no sense.
func (o *EdgeCaseRequests) submitMalformed() {
	o.submitRejected(rejectedSubmission{
		kind:      FaultMalformedSubmission,
		spec:      o.newRejectedSpec(),
		rejection: messages.ReplyBadRequest,
		want:      messages.ReplyBadRequest,
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

// submitRejected makes a submission that has to be rejected, and then queries the
// job, which nobody may know.
func (o *EdgeCaseRequests) submitRejected(submission rejectedSubmission) {
	request := func(id messages.RequestID) messages.Event {
		return messages.Submit{Request: id, Spec: submission.spec, Rejection: submission.rejection}
	}
	o.nodes.random().SendRequest(request, func(answer messages.Respond) { o.checkRejection(submission, answer) })
	for range rejectedQueryCount {
		o.After(o.RandomBetween(millisecond, rejectedQueryPeriod), func() { o.queryRejected(submission) })
	}
}

func (o *EdgeCaseRequests) checkRejection(submission rejectedSubmission, answer messages.Respond) {
	switch {
	case answer.Status == submission.want:
		o.FaultCounts[submission.kind]++
	case isUndecided(answer.Status):
	case answer.Status == messages.ReplyTooManyRequests && submission.rejection == messages.ReplyNone:
		// A controller with too much to do need not look at the job.
	default:
		o.reportViolation("%s get %d: %s", submission.kind, answer.Status, submission.spec.ID)
	}
}

func (o *EdgeCaseRequests) queryRejected(submission rejectedSubmission) {
	id := submission.spec.ID
	o.nodes.random().SendRequest(queryRequest(id), func(answer messages.Respond) {
		if !isUndecided(answer.Status) && answer.Status != messages.ReplyJobNotFound {
			o.reportViolation("invented: queries of %s, one of the %s, get %d", id, submission.kind, answer.Status)
		}
	})
}
