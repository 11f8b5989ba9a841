package controller

import (
	"stairrelay/internal/messages"
)

// handleProcessPause handles the end of a pause of the process. It records the time, so
// that heartbeats missed during the pause don't count against the machines, and rereads
// the claims of the owned shards, which other controllers may have acquired.
func (c *Controller) handleProcessPause() {
	c.processHealth.RecordPause(c.loop.Now())
	c.loop.Log(messages.LogInfo, "process resumed after a pause")
	c.ownership.RereadOwnClaims()
}
