package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// setTime advances a controller's time without discarding the effects so far.
func setTime(c *Controller, now cluster.Time) {
	effects := c.loop.Effects()
	c.loop.Begin(now, c.loop.WallTime())
	for _, effect := range effects {
		c.loop.Emit(effect)
	}
}

// takeEffects returns the emitted effects and removes them from the event loop.
func takeEffects(c *Controller) []messages.Effect {
	effects := c.loop.Effects()
	c.loop.Begin(c.loop.Now(), c.loop.WallTime())
	return effects
}

// dropTimers removes all timers and pending calls of a controller.
func dropTimers(c *Controller) {
	now, wallTime := c.loop.Now(), c.loop.WallTime()
	*c.loop = *eventloop.New()
	c.loop.Begin(now, wallTime)
}
