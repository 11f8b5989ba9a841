package inventory

import (
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// MaintainRecords enqueues writes of the records that still list tasks that are confirmed
// absent, and splits and merges groups by the size of their records.
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
