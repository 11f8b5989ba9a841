package jobs

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	// cancelTimeout is how long a cancellation may wait until it is stored.
	cancelTimeout = 2800 * millisecond
	// cancelCallTimeout is how long the owner of the job's shard may take to answer.
	cancelCallTimeout = 3 * second
)

// Cancellations cancels jobs for users and other controllers. A cancellation is
// answered only after it is stored.
type Cancellations struct {
	*shared

	records *Records
	queries *Queries
}

// HandleCancel answers a user's cancellation.
func (c *Cancellations) HandleCancel(request messages.Cancel) {
	(&cancellation{cancellations: c, request: request.Request, id: request.ID}).evaluate(true)
}

// cancellation is a user's cancellation that is not answered yet.
type cancellation struct {
	cancellations *Cancellations
	request       messages.RequestID
	id            cluster.JobID
}

// evaluate cancels the job here or has its owner do so. A job that is not known here
// is looked up once, where that is still possible.
func (c *cancellation) evaluate(mayLookUp bool) {
	known := c.cancellations.state.Jobs.Known[c.id]
	switch {
	case known == nil:
		c.lookUp(mayLookUp)
	case known.FinalStatus != "":
		c.answer(known.FinalStatus)
	case c.cancellations.state.Shards[known.ShardID].Owned:
		c.cancellations.CancelOwned(c.id, func(_ messages.ReplyStatus, view *cluster.JobView) {
			if view == nil {
				c.answer("")
				return
			}
			c.answer(view.Status)
		})
	default:
		c.askOwner(known)
	}
}

// answer tells the user the job's final status; "": it is not known now.
func (c *cancellation) answer(final cluster.JobStatus) {
	response := messages.Respond{Request: c.request, Status: messages.ReplyOK}
	if final == "" {
		response.Status, response.RetryAfter = messages.ReplyUnavailable, shortRetryAfterSeconds
	} else {
		response.View = &cluster.JobView{ID: c.id, Status: final}
	}
	c.cancellations.loop.Emit(response)
}

// askOwner has the job cancelled by the owner of its shard.
func (c *cancellation) askOwner(known *state.KnownJob) {
	members := c.cancellations.Members
	owner := members.Peer(c.cancellations.state.Shards[known.ShardID].Owner)
	if owner == nil || owner.IsUnreachable() {
		c.answer("")
		return
	}
	members.Call(owner.ID(), cancelCallTimeout, messages.PeerMessage{Cancel: c.id}, func(reply messages.PeerReply) {
		if reply.Outcome != messages.OK || len(reply.Message.Views) != 1 || !reply.Message.Views[0].Status.IsFinal() {
			c.answer("")
			return
		}
		final := reply.Message.Views[0].Status
		c.cancellations.records.dependencies.applyFinalStatus(c.id, known, final)
		c.answer(final)
	})
}

// lookUp looks for a job that is not known here in the state service.
func (c *cancellation) lookUp(mayRetry bool) {
	c.cancellations.queries.lookUpInStore(c.id, func(status messages.ReplyStatus, view cluster.JobView) {
		switch {
		case status == messages.ReplyOK && view.Status.IsFinal():
			c.answer(view.Status)
		case status == messages.ReplyOK && mayRetry:
			c.evaluate(false)
		case status == messages.ReplyJobNotFound:
			c.cancellations.loop.Emit(messages.Respond{Request: c.request, Status: messages.ReplyJobNotFound})
		default:
			c.answer("")
		}
	})
}

// CancelOwned cancels a job of an owned shard. The handler gets the job's final
// status after that is stored, and nil when it was not stored in time or the job is
// not served here.
func (c *Cancellations) CancelOwned(id cluster.JobID, handle func(messages.ReplyStatus, *cluster.JobView)) {
	if known := c.state.Jobs.FinalJob(id); known != nil {
		handle(messages.ReplyOK, &cluster.JobView{ID: id, Status: known.FinalStatus})
		return
	}
	job := c.state.Jobs.Owned[id]
	if job == nil || !c.state.Shards[job.ShardID].Ready {
		handle(messages.ReplyUnavailable, nil)
		return
	}
	answered := false
	answer := func(final cluster.JobStatus) {
		if answered {
			return
		}
		answered = true
		if final == "" {
			handle(messages.ReplyUnavailable, nil)
			return
		}
		handle(messages.ReplyOK, &cluster.JobView{ID: id, Status: final})
	}
	c.loop.After(cancelTimeout, func() { answer("") })
	job.Waiters = append(job.Waiters, answer)
	if !job.Cancelling {
		// Its tasks are of no use from now on, and the answer of the write may be
		// lost though others read, and tell, that the job is cancelled.
		job.Cancelling = true
		c.Tasks.WithdrawUnsentStarts(job)
		c.Tasks.StopAll(job)
	}
	c.records.WriteJob(job, writequeue.PriorityAdmission)
}
