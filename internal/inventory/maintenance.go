package inventory

import (
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// MaintainRecords writes the records that still list tasks which are confirmed absent,
// and splits and merges records by size.
func (inv *Inventory) MaintainRecords() {
	for _, group := range inv.state.SortedGroups() {
		if !group.WritePending && listsAbsentTask(group) {
			inv.WriteGroup(group, writequeue.PriorityBackground)
		}
	}
	for _, shard := range inv.state.Shards {
		if shard.Owned && shard.Ready {
			inv.SplitAndMerge(shard)
		}
	}
}

func listsAbsentTask(group *state.MachineGroup) bool {
	for _, m := range group.Machines {
		for _, a := range m.Assignments {
			if a.ConfirmedAbsent {
				return true
			}
		}
	}
	return false
}
