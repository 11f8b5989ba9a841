package controller

import (
	"stairrelay/internal/messages"
)

// handleProcessPause is called when the process resumes after a pause. Its state is
// stale: another controller may have acquired its shards, and heartbeats missed during
// the pause must not count against the machines.
func (c *Controller) handleProcessPause() {
	c.processHealth.RecordPause(c.loop.Now())
	c.loop.Log(messages.LogInfo, "process resumed after a pause")
	c.ownership.RereadOwnClaims()
}
