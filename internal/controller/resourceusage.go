package controller

import "maps"

// teamUsageOf sums what each team's tasks take, wherever they are or may be. The sum
// is the caller's own.
func (c *Controller) teamUsageOf(p *shard) teamUsage { return maps.Clone(p.usage) }
