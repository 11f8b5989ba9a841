package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// setTime moves a controller's time on within a step.
func setTime(c *Controller, now cluster.Time) {
	effects := c.loop.Effects()
	c.loop.Begin(now, c.loop.WallTime())
	for _, effect := range effects {
		c.loop.Emit(effect)
	}
}

// takeEffects returns what has been emitted, and forgets it.
func takeEffects(c *Controller) []messages.Effect {
	effects := c.loop.Effects()
	c.loop.Begin(c.loop.Now(), c.loop.WallTime())
	return effects
}

// dropTimers leaves a controller without timers and pending calls.
func dropTimers(c *Controller) {
	now, wallTime := c.loop.Now(), c.loop.WallTime()
	*c.loop = *eventloop.New()
	c.loop.Begin(now, wallTime)
}
