package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
)

// handlePeerRequest handles a request of another controller and responds to it. It
// rejects a request whose sender is unknown or uses another version of the protocol.
func (c *Controller) handlePeerRequest(request messages.PeerRequest) {
	message := &request.Message
	from := c.members.Sender(message)
	if from == nil {
		c.respondError(request.Request, messages.StatusBadRequest, "unknown sender or version")
		return
	}
	switch {
	case message.Ping != nil:
		c.answerPing(request.Request, from, message.Ping)
	case message.Notice != nil:
		for _, record := range message.Notice.Items {
			c.jobs.Records.Apply(record, nil)
		}
		c.respondToPeer(request.Request, messages.PeerMessage{Status: messages.StatusOK})
	case message.Query != nil:
		c.jobs.Queries.HandlePeerQuery(message.Query.IDs, func(views []cluster.JobView) {
			c.respondToPeer(request.Request, messages.PeerMessage{Views: views})
		})
	case message.Submission != nil:
		c.answerSubmission(request.Request, message.Submission)
	case message.Cancel != "":
		c.jobs.Cancellations.CancelOwned(message.Cancel, func(status messages.ResponseStatus, view *cluster.JobView) {
			c.respondToPeer(request.Request, messages.PeerMessage{Status: status, Views: viewList(view)})
		})
	default:
		c.respondError(request.Request, messages.StatusBadRequest, "empty message")
	}
}

// respondToPeer responds to a request of another controller with a message.
func (c *Controller) respondToPeer(request messages.RequestID, message messages.PeerMessage) {
	response := c.members.WithSender(message)
	c.loop.Emit(messages.Respond{Request: request, Status: messages.StatusOK, Peer: &response})
}

// answerPing handles a peer's ping and responds with a ping of this controller. It
// rejects an invalid ping.
func (c *Controller) answerPing(request messages.RequestID, from *membership.Peer, ping *messages.Ping) {
	if err := c.members.HandlePing(from, ping); err != nil {
		c.respondError(request, messages.StatusBadRequest, err.Error())
		return
	}
	c.respondToPeer(request, messages.PeerMessage{Ping: c.members.MakePing(from)})
}

// answerSubmission handles a submission that a peer forwards because the peer can't reach
// the store, and responds with the outcome.
func (c *Controller) answerSubmission(request messages.RequestID, submission *messages.ProxiedSubmission) {
	spec := submission.Spec
	spec.ID = submission.ID
	if spec.ID == "" || spec.Tasks < 1 {
		c.respondError(request, messages.StatusBadRequest, "no job")
		return
	}
	c.jobs.Submissions.HandleProxied(spec, func(outcome messages.Respond) {
		c.respondToPeer(request, messages.PeerMessage{
			Status:     outcome.Status,
			RetryAfter: outcome.RetryAfter,
			Reason:     outcome.Error,
			Views:      viewList(outcome.View),
		})
	})
}

// viewList returns a list with only the view, or nil if view is nil.
func viewList(view *cluster.JobView) []cluster.JobView {
	if view == nil {
		return nil
	}
	return []cluster.JobView{*view}
}

// handleHealth responds to a health check. This controller is unavailable while it
// starts, and while it can't reach the store but a peer can.
func (c *Controller) handleHealth(request messages.Health) {
	if c.writeQueue.Health.LastSuccess == 0 || len(c.state.MachineTypes) == 0 && c.loop.Now() < 10*second {
		c.respondError(request.Request, messages.StatusUnavailable, "starting")
		return
	}
	if c.members.IsStoreUnreachable() && c.members.IsStoreReachableElsewhere() {
		c.respondError(request.Request, messages.StatusUnavailable, "store out of reach")
		return
	}
	c.loop.Emit(messages.Respond{Request: request.Request, Status: messages.StatusOK})
}
