package jobs

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

const (
	// cancelTimeout is how long CancelOwned waits for a cancellation to be stored.
	cancelTimeout = 2800 * millisecond
	// cancelCallTimeout is the timeout of a cancellation that is forwarded to the owner
	// of the job's shard.
	cancelCallTimeout = 3 * second
)

// Cancellations cancels jobs for users and other controllers. A request is answered with
// a final status only after that status, or the cancellation that implies it, is stored.
type Cancellations struct {
	*shared

	records *Records
	queries *Queries
}

// HandleCancel handles a user's request to cancel a job.
func (c *Cancellations) HandleCancel(request messages.Cancel) {
	(&cancellation{cancellations: c, request: request.Request, id: request.ID}).evaluate(true)
}

// cancellation is an unanswered request of a user to cancel a job.
type cancellation struct {
	cancellations *Cancellations
	request       messages.RequestID
	id            cluster.JobID
}

// evaluate cancels the job if its shard is owned, and otherwise forwards the request to
// the owner. An unknown job is looked up first; mayRetry is whether the lookup may call
// evaluate again.
func (c *cancellation) evaluate(mayRetry bool) {
	known := c.cancellations.state.Jobs.Known[c.id]
	switch {
	case known == nil:
		c.lookUp(mayRetry)
	case known.FinalStatus != "":
		c.answer(known.FinalStatus)
	case c.cancellations.state.Shards[known.ShardID].Owned:
		c.cancellations.CancelOwned(c.id, func(_ messages.ResponseStatus, view *cluster.JobView) {
			if view == nil {
				c.answer("")
				return
			}
			c.answer(view.Status)
		})
	default:
		c.forwardToOwner(known)
	}
}

// answer sends the user the job's final status. If final is empty, the status could not be
// determined, and the user is asked to retry.
func (c *cancellation) answer(final cluster.JobStatus) {
	response := messages.Respond{Request: c.request, Status: messages.StatusOK}
	if final == "" {
		response.Status, response.RetryAfter = messages.StatusUnavailable, shortRetryAfterSeconds
	} else {
		response.View = &cluster.JobView{ID: c.id, Status: final}
	}
	c.cancellations.loop.Emit(response)
}

// forwardToOwner forwards the request to the owner of the job's shard, and answers it
// with the final status in the owner's reply.
func (c *cancellation) forwardToOwner(known *state.KnownJob) {
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
		c.cancellations.records.dependencies.applyFinalStatus(c.id, final)
		c.answer(final)
	})
}

// lookUp looks up an unknown job in the store. If the job is finished or does not exist,
// it answers the request accordingly. If the job is unfinished and mayRetry is set, it
// evaluates the request again. Otherwise it asks the user to retry.
func (c *cancellation) lookUp(mayRetry bool) {
	c.cancellations.queries.lookUpInStore(c.id, func(status messages.ResponseStatus, view cluster.JobView) {
		switch {
		case status == messages.StatusOK && view.Status.IsFinal():
			c.answer(view.Status)
		case status == messages.StatusOK && mayRetry:
			c.evaluate(false)
		case status == messages.StatusJobNotFound:
			c.cancellations.loop.Emit(messages.Respond{Request: c.request, Status: messages.StatusJobNotFound})
		default:
			c.answer("")
		}
	})
}

// CancelOwned stops the tasks of a job of an owned shard and stores its cancellation. It
// calls handle with the job's final status once that status is stored. It calls handle
// with StatusUnavailable and nil if no final status is stored within cancelTimeout, or if
// this controller does not own the job or loses its shard.
func (c *Cancellations) CancelOwned(id cluster.JobID, handle func(messages.ResponseStatus, *cluster.JobView)) {
	if known := c.state.Jobs.FinalJob(id); known != nil {
		handle(messages.StatusOK, &cluster.JobView{ID: id, Status: known.FinalStatus})
		return
	}
	job := c.state.Jobs.Owned[id]
	if job == nil || !c.state.Shards[job.ShardID].Ready {
		handle(messages.StatusUnavailable, nil)
		return
	}
	answered := false
	answer := func(final cluster.JobStatus) {
		if answered {
			return
		}
		answered = true
		if final == "" {
			handle(messages.StatusUnavailable, nil)
			return
		}
		handle(messages.StatusOK, &cluster.JobView{ID: id, Status: final})
	}
	c.loop.After(cancelTimeout, func() { answer("") })
	job.Waiters = append(job.Waiters, answer)
	if !job.Cancelling {
		// The tasks are stopped before the write is confirmed, because its reply may be
		// lost while other controllers already read and report the cancellation.
		job.Cancelling = true
		c.Tasks.WithdrawUnsentStarts(job)
		c.Tasks.StopAll(job)
	}
	c.records.WriteJob(job, writequeue.PriorityAdmission)
}
