package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/state"
)

// surplusPredicate returns a function that tells whether an idle machine is of no use
// to any part. Another part with too few machines is better offered it than
// left to rent one. What all machines share is worked out at most once.
func (c *Controller) surplusPredicate() func(*state.Machine) bool {
	var loads fairshare.Snapshot
	work := map[cluster.ShardID][]pendingWork{}
	return func(m *state.Machine) bool {
		if loads == nil {
			loads = c.allShardLoads()
		}
		if loads.OthersHaveShortfall(m.ShardID) {
			return false
		}
		w, ok := work[m.ShardID]
		if !ok {
			w = c.listPendingWork(c.state.Shards[m.ShardID])
			work[m.ShardID] = w
		}
		for _, x := range w {
			if c.isAllowedOn(x.job, m) {
				return false
			}
		}
		return true
	}
}
