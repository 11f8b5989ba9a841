package simulation

import (
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// readAfterWriteRounds is the number of requests sent to each controller after a
	// job was reported as accepted, done or cancelled.
	readAfterWriteRounds = 3
	// maxReadAfterWriteDelay is the maximum random delay of each request.
	maxReadAfterWriteDelay = 50 * millisecond
	// submissionTimeout is how long a user waits for the response to a submission
	// or a cancellation.
	submissionTimeout = 5 * second
)

// ReadAfterWrite checks read-after-write consistency: once a job has been reported as
// accepted, done or cancelled, responses of all controllers must be consistent with that.
type ReadAfterWrite struct {
	*environment
	nodes *nodeSet
	users *Users
	until cluster.Time
}

// EnableFor enables the checks for a duration. Users then send requests to all
// controllers right after a job is reported as accepted, done or cancelled.
func (r *ReadAfterWrite) EnableFor(duration cluster.Time) { r.until = r.Now + duration }

// start schedules requests to all controllers about a job whose status was just reported,
// if the checks are enabled.
func (r *ReadAfterWrite) start(job *Job) {
	if r.Now >= r.until {
		return
	}
	for range readAfterWriteRounds {
		for _, node := range r.nodes.Nodes {
			draw := r.Rand.IntN(10)
			r.After(r.RandomBetween(0, maxReadAfterWriteDelay), func() { r.checkAt(node, job, draw) })
		}
	}
}

// followUp is a request about a job right after its status was reported.
type followUp struct {
	kind     FaultKind
	job      *Job
	node     *Node
	sentAt   cluster.Time
	accepted bool // whether the job was accepted when the request was sent
}

// timeout returns how long the user waits for the response.
func (f followUp) timeout() cluster.Time {
	if f.kind == FaultQueryAfterWrite {
		return userTimeout
	}
	return submissionTimeout
}

// checkAt sends a request about a job to a controller and checks the response. draw
// selects the kind of request.
func (r *ReadAfterWrite) checkAt(node *Node, job *Job, draw int) {
	request := queryRequest(job.Spec.ID)
	sent := followUp{kind: FaultQueryAfterWrite, job: job, node: node, sentAt: r.Now, accepted: job.Accepted}
	switch {
	case draw < 2:
		sent.kind = FaultSubmitAfterWrite
		request = submitRequest(job.Spec)
	case draw == 2 && job.CancelPlanned:
		sent.kind = FaultCancelAfterWrite
		job.CancelRequested = true
		request = cancelRequest(job.Spec.ID)
	}
	node.SendRequest(request, func(response messages.Respond) { r.handleResponse(sent, response) })
}

func (r *ReadAfterWrite) handleResponse(sent followUp, response messages.Respond) {
	if response.Status == messages.StatusNone || r.Now-sent.sentAt > sent.timeout() {
		return
	}
	job := sent.job
	switch {
	case response.Status == messages.StatusOK && response.View != nil:
		if sent.kind == FaultCancelAfterWrite || sent.sentAt >= job.finalReportedAt {
			r.users.CheckReportedStatus(job, response.View.Status)
		}
	case response.Status == messages.StatusUnavailable || response.Status == messages.StatusTooManyRequests:
	case !sent.accepted && sent.kind == FaultCancelAfterWrite && response.Status == messages.StatusJobNotFound:
	case isRejection(response.Status):
		r.reportViolation("forgotten: %s was reported before %v, but %s at %s return status %d", job.Spec.ID, time.Duration(sent.sentAt), sent.kind, sent.node.ID, response.Status)
	default:
		r.reportViolation("unexpected_status: %s about %s at %s return status %d", sent.kind, job.Spec.ID, sent.node.ID, response.Status)
	}
	r.FaultCounts[sent.kind]++
}

// isRejection reports whether a status means that the job is unknown or is rejected.
func isRejection(status messages.ResponseStatus) bool {
	return status == messages.StatusJobNotFound || status == messages.StatusBadRequest || status == messages.StatusUnschedulable
}
