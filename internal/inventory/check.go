package inventory

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// CheckOwner finds out whether a machine was transferred to another shard, after its
// worker has seen a higher token than this controller's.
func (inv *Inventory) CheckOwner(machine *state.Machine) {
	machine.FencedOff = true
	inv.checkRecord(machine.Group)
}

// checkRecord reads a group's record after a conflict on it, or after a worker has seen
// a higher token than its machine's.
func (inv *Inventory) checkRecord(group *state.MachineGroup) {
	if group.RecordCheckPending {
		return
	}
	group.RecordCheckPending = true
	inv.writes.ReadKey(group.Key(), func(reply messages.GetReply) {
		group.RecordCheckPending = false
		if !inv.has(group) {
			return
		}
		inv.applyCheck(group, reply)
		inv.queueNextWrite(group)
	})
}

func (inv *Inventory) applyCheck(group *state.MachineGroup, reply messages.GetReply) {
	if reply.Outcome == messages.NotFound {
		inv.handleTransferredAway(group, cluster.NoShard)
		return
	}
	if reply.Outcome != messages.OK {
		inv.loop.After(second, func() {
			if inv.has(group) {
				inv.checkRecord(group)
			}
		})
		return
	}
	shard := inv.state.Shards[group.ShardID]
	record, err := grouprecord.Decode(reply.KV.Value)
	switch {
	case err != nil:
		inv.shards.GiveUpCorrupt(shard, group.Key(), err.Error())
	case record.ShardID != group.ShardID:
		inv.handleTransferredAway(group, record.ShardID)
	case reply.KV.ModRevision > group.ModRevision && !group.WritePending:
		inv.shards.HandleForeignWrite(shard, group.Key(), "changed by another writer")
	default:
		inv.raiseFencedOffTokens(shard, group)
	}
}

// raiseFencedOffTokens raises the tokens of the machines whose workers have seen higher
// ones although the group is still the shard's: an owner that has since lost the group
// had a later token, and the present one must rise above it.
func (inv *Inventory) raiseFencedOffTokens(shard *state.Shard, group *state.MachineGroup) {
	inv.shards.RereadClaim(shard)
	for _, m := range group.SortedMachines() {
		if m.FencedOff {
			m.FencedOff = false
			inv.RaiseToken(m)
		}
	}
	inv.WriteGroup(group, writequeue.PriorityStart)
}

// handleTransferredAway drops a group that another shard has taken, or whose record is
// gone. A group is taken only while its record lists no task: if one was listed here,
// the record was changed by a writer that had no right to, and the shard is loaded anew.
func (inv *Inventory) handleTransferredAway(group *state.MachineGroup, to cluster.ShardID) {
	for _, m := range group.SortedMachines() {
		for _, a := range m.SortedAssignments() {
			if a.Phase != state.PhaseRecording && !a.ConfirmedAbsent {
				inv.shards.HandleForeignWrite(inv.state.Shards[group.ShardID], group.Key(), "moved while it listed tasks")
				return
			}
		}
	}
	inv.dropTransferred(group, to)
}

// dropTransferred forgets a group that another shard has taken. Its record listed no
// task, so what was planned for it was never sent.
func (inv *Inventory) dropTransferred(group *state.MachineGroup, to cluster.ShardID) {
	inv.loop.Log(messages.LogDebug, "machine group transferred away", "group", group.ID, "machines", len(group.Machines), "to_shard", int(to))
	delete(inv.state.Groups, group.ID)
	for _, m := range group.SortedMachines() {
		inv.dropMachine(m)
		for _, a := range m.SortedAssignments() {
			inv.unassign(a)
		}
		if inv.isShard(to) {
			inv.owners.record(m.ID, to, inv.loop.Now())
		}
	}
}
