package controller

import (
	"stairrelay/internal/messages"
)

// handleProcessPause is called when the process has gone on after a pause. What it
// knows is as old as that: another controller may own its shards, and that no
// machine was heard in the gap says nothing about the machines.
func (c *Controller) handleProcessPause() {
	c.processHealth.RecordPause(c.loop.Now())
	c.loop.Log(messages.LogInfo, "process resumed after a pause")
	c.ownership.RereadOwnClaims()
}
