package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"
)

// surplusPredicate returns a function that tells whether an idle machine is of no use to
// any shard. A machine is better offered to another shard with too few machines than
// released while that one scales out. What all machines share is worked out at most once.
func (c *Controller) surplusPredicate() func(*state.Machine) bool {
	var loads fairshare.Snapshot
	workByShard := map[cluster.ShardID]scheduling.PendingWork{}
	return func(machine *state.Machine) bool {
		if loads == nil {
			loads = c.allShardLoads()
		}
		if loads.OthersHaveShortfall(machine.ShardID) {
			return false
		}
		pending, ok := workByShard[machine.ShardID]
		if !ok {
			pending = c.scheduler.Queue.PendingWork(c.state.Shards[machine.ShardID])
			workByShard[machine.ShardID] = pending
		}
		for i := range pending {
			if c.scheduler.Eligibility.IsAllowedOn(pending[i].Job, machine) {
				return false
			}
		}
		return true
	}
}
