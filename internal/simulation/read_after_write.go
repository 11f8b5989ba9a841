package simulation

import (
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// readAfterWriteRounds is how often each controller is asked.
	readAfterWriteRounds = 3
	// maxReadAfterWritePause is the time within which all of them are asked.
	maxReadAfterWritePause = 50 * millisecond
	// submissionTimeout is how long a user waits for the answer to a submission or
	// a cancellation.
	submissionTimeout = 5 * second
)

// ReadAfterWrite checks that no controller forgets what was reported to a user, by
// asking all of them right after.
type ReadAfterWrite struct {
	*environment
	nodes *nodeSet
	users *Users
	until cluster.Time
}

// EnableFor has users ask all controllers, again and again, right after a job was
// reported as accepted, done or cancelled.
func (r *ReadAfterWrite) EnableFor(duration cluster.Time) { r.until = r.Now + duration }

// start checks what was just reported of a job.
func (r *ReadAfterWrite) start(job *Job) {
	if r.Now >= r.until {
		return
	}
	for range readAfterWriteRounds {
		for _, node := range r.nodes.Nodes {
			draw := r.Rand.IntN(10)
			r.After(r.RandomBetween(0, maxReadAfterWritePause), func() { r.checkAt(node, job, draw) })
		}
	}
}

// followUp is a request about a job right after something was reported of it.
type followUp struct {
	kind     FaultKind
	job      *Job
	node     *Node
	askedAt  cluster.Time
	accepted bool // the job was accepted when it was asked about
}

// timeout is how long the user waits for the answer.
func (f followUp) timeout() cluster.Time {
	if f.kind == FaultQueryAfterWrite {
		return userTimeout
	}
	return submissionTimeout
}

// checkAt asks one controller about a job that it may not forget any more.
func (r *ReadAfterWrite) checkAt(node *Node, job *Job, draw int) {
	request := queryRequest(job.Spec.ID)
	sent := followUp{kind: FaultQueryAfterWrite, job: job, node: node, askedAt: r.Now, accepted: job.Accepted}
	switch {
	case draw < 2:
		sent.kind = FaultSubmitAfterWrite
		request = submitRequest(job.Spec)
	case draw == 2 && job.CancelPlanned:
		sent.kind = FaultCancelAfterWrite
		job.CancelRequested = true
		request = cancelRequest(job.Spec.ID)
	}
	node.SendRequest(request, func(answer messages.Respond) { r.handleAnswer(sent, answer) })
}

func (r *ReadAfterWrite) handleAnswer(sent followUp, answer messages.Respond) {
	if answer.Status == messages.ReplyNone || r.Now-sent.askedAt > sent.timeout() {
		return
	}
	job := sent.job
	switch {
	case answer.Status == messages.ReplyOK && answer.View != nil:
		if sent.kind == FaultCancelAfterWrite || sent.askedAt >= job.finalReportedAt {
			r.users.CheckReportedStatus(job, answer.View.Status)
		}
	case answer.Status == messages.ReplyUnavailable || answer.Status == messages.ReplyTooManyRequests:
	case !sent.accepted && sent.kind == FaultCancelAfterWrite && answer.Status == messages.ReplyJobNotFound:
	case isRefusal(answer.Status):
		r.reportViolation("forgotten: %s was reported before %v; %s at %s then get %d", job.Spec.ID, time.Duration(sent.askedAt), sent.kind, sent.node.ID, answer.Status)
	default:
		r.reportViolation("%s about %s at %s get %d", sent.kind, job.Spec.ID, sent.node.ID, answer.Status)
	}
	r.FaultCounts[sent.kind]++
}

// isRefusal tells whether an answer says that the job is unknown or can't be run.
func isRefusal(status messages.ReplyStatus) bool {
	return status == messages.ReplyJobNotFound || status == messages.ReplyBadRequest || status == messages.ReplyUnschedulable
}
