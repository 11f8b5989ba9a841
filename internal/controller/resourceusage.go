package controller

import (
	"maps"

	"stairrelay/internal/state"
)

// teamUsageOf sums what each team's tasks take, wherever they are or may be. The sum
// is the caller's own.
func (c *Controller) teamUsageOf(p *state.Shard) state.TeamUsage { return maps.Clone(p.Usage) }
