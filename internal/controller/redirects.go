package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// redirectWorker answers a heartbeat with the node to turn to; empty: any other. This
// node is not named, as the worker would come back at once.
func (c *Controller) redirectWorker(request messages.RequestID, to cluster.NodeID) {
	if to == c.config.Self {
		to = ""
	}
	c.loop.Emit(messages.Respond{Request: request, Status: messages.ReplyMisdirected, Heartbeat: &messages.HeartbeatResponse{RedirectTo: to}})
}
