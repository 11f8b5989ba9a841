package inventory

import (
	"cmp"
	"slices"

	"stairrelay/internal/grouprecord"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// SplitAndMerge splits those groups of a shard whose records approach the value limit. It
// merges small groups to save puts, because the record of each changed group costs one put.
func (inv *Inventory) SplitAndMerge(shard *state.Shard) {
	limit := inv.config.ValueLimit
	var small []*state.MachineGroup
	for _, group := range inv.state.SortedGroups() {
		if group.ShardID != shard.ID || group.WriteInFlight || group.Offer != nil || len(group.Machines) == 0 {
			continue
		}
		if size := group.EstimatedSize(); limit.ShouldSplit(size) && len(group.Machines) > 1 {
			inv.Split(group)
		} else if limit.ShouldMerge(size) {
			small = append(small, group)
		}
	}
	inv.merge(shard, small)
}

// merge merges as many of the smallest groups as fit into one record that is well below
// the value limit.
func (inv *Inventory) merge(shard *state.Shard, small []*state.MachineGroup) {
	slices.SortStableFunc(small, func(a, b *state.MachineGroup) int { return cmp.Compare(a.EstimatedSize(), b.EstimatedSize()) })
	sizes := make([]grouprecord.Size, len(small))
	for i, group := range small {
		sizes[i] = grouprecord.Size{Bytes: group.EstimatedSize(), Machines: len(group.Machines)}
	}
	count := inv.config.ValueLimit.MergeableCount(sizes, inv.config.MaxTxnOps)
	if count < 2 {
		return
	}
	target := small[count-1] // the largest group, into which the others are merged
	var moving []*state.Machine
	for _, group := range small[:count-1] {
		moving = append(moving, group.SortedMachines()...)
	}
	// This write cancels the queued writes of the groups and stores their changes, which
	// may include starts. It therefore has the priority of starts.
	inv.Regroup(shard, moving, target, writequeue.PriorityStart, func(*state.MachineGroup) {})
}
