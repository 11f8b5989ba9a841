package controller

import (
	"maps"
	"slices"

	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// cleanUpGroups has the records written that list tasks which are proven absent, and
// keeps the records' sizes within bounds.
func (c *Controller) cleanUpGroups() {
	for _, id := range slices.Sorted(maps.Keys(c.state.Groups)) {
		group := c.state.Groups[id]
		if !group.WritePending && listsAbsentTask(group) {
			c.inventory.WriteGroup(group, writequeue.Background)
		}
	}
	for _, shard := range c.state.Shards {
		if shard.Owned && shard.Ready {
			c.inventory.SplitAndMerge(shard)
		}
	}
}

// listsAbsentTask tells whether a task that a group's record lists is proven not to be on
// its machine.
func listsAbsentTask(group *state.MachineGroup) bool {
	for _, machine := range group.Machines {
		for _, assignment := range machine.Assignments {
			if assignment.ConfirmedAbsent {
				return true
			}
		}
	}
	return false
}
