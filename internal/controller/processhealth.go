package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// processHealth tells how the process itself is served by its machine.
type processHealth struct {
	load      messages.ProcessLoad // as last told
	resumedAt cluster.Time         // when the process last went on after standing still
}

const (
	// processPauseThreshold: timers are due several times a second, so a gap between events
	// as long as this means that the process stood still while its clocks ran on.
	processPauseThreshold = 3 * second
	// busyLimit is the part of the allowed processor time, and lagLimit the delay
	// of events, above which what can wait is done less often.
	busyLimit = 0.75
	lagLimit  = 150 * millisecond
)

// isOverloaded tells whether the process is about to use more than its share of
// the processor. What comes in late then are leases, acceptances and calls of
// other controllers; placing and renting less often leaves time for those.
func (h *processHealth) isOverloaded() bool {
	return h.load.CPUUsage > busyLimit || h.load.EventDelay > lagLimit
}

// stretchDelay stretches the time between two decisions that can wait while the
// process is strained.
func (h *processHealth) stretchDelay(d cluster.Time) cluster.Time {
	if !h.isOverloaded() {
		return d
	}
	return min(5*d+h.load.EventDelay/2, second)
}

// handleProcessPause is called when the process has stood still. What it knows is as old as
// that: another may hold its parts, and that no machine was heard in the gap
// says nothing about the machines.
func (c *Controller) handleProcessPause() {
	c.processHealth.resumedAt = c.loop.Now()
	c.loop.Log(messages.LogInfo, "stood still")
	for _, p := range c.state.Shards {
		if p.Owned {
			c.rereadShard(p)
		}
	}
}

// heartbeatAge is how long a machine could have been heard and was not.
func (c *Controller) heartbeatAge(m *state.Machine) cluster.Time {
	return c.loop.Now() - max(m.LastHeartbeat, c.processHealth.resumedAt)
}
