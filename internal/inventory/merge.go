package inventory

import (
	"cmp"
	"slices"

	"stairrelay/internal/grouprecord"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// SplitAndMerge keeps the records of a shard's groups well under the value limit, and
// few: every group with a change costs a put.
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

// merge moves the machines of the smallest groups into one, as many as it takes well.
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
	target := small[count-1] // the largest of them stays
	var moving []*state.Machine
	for _, group := range small[:count-1] {
		moving = append(moving, group.SortedMachines()...)
	}
	// With the starts' priority: most of these groups have a write waiting, which this
	// one makes needless, and each group less saves a put per wave of starts from now on.
	inv.Regroup(shard, moving, target, writequeue.PriorityStart, func(*state.MachineGroup) {})
}
