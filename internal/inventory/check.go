package inventory

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// CheckOwner marks a machine as fenced off and reads its group's record to find out
// whether the group was transferred to another shard. It is called when the machine's
// worker has seen a higher fencing token than this controller's.
func (inv *Inventory) CheckOwner(machine *state.Machine) {
	machine.FencedOff = true
	inv.checkRecord(machine.Group)
}

// checkRecord reads a group's record to find out whether this controller still owns
// the group. It is called after a conflict on the record, or when a worker has seen a
// higher fencing token than its machine's. It has no effect while another such read is
// pending.
func (inv *Inventory) checkRecord(group *state.MachineGroup) {
	if group.RecordCheckPending {
		return
	}
	group.RecordCheckPending = true
	inv.writes.ReadKey(group.Key(), func(reply messages.GetReply) {
		group.RecordCheckPending = false
		if !inv.ownsGroup(group) {
			return
		}
		inv.applyRecordCheck(group, reply)
		inv.queueNextWrite(group)
	})
}

// applyRecordCheck handles the reply to checkRecord's read. It drops a group that was
// transferred or deleted, and the shard if the record is invalid. It reports a change by
// another writer. If the record is unchanged, it raises the tokens of machines that are
// fenced off. A failed read is repeated after a delay.
func (inv *Inventory) applyRecordCheck(group *state.MachineGroup, reply messages.GetReply) {
	if reply.Outcome == messages.NotFound {
		inv.handleTransferredAway(group, cluster.NoShard)
		return
	}
	if reply.Outcome != messages.OK {
		inv.loop.After(second, func() {
			if inv.ownsGroup(group) {
				inv.checkRecord(group)
			}
		})
		return
	}
	shard := inv.state.Shards[group.ShardID]
	record, err := grouprecord.Decode(reply.KV.Value)
	switch {
	case err != nil:
		inv.shards.DropCorruptShard(shard, group.Key(), err.Error())
	case record.ShardID != group.ShardID:
		inv.handleTransferredAway(group, record.ShardID)
	case reply.KV.ModRevision > group.ModRevision && !group.WritePending:
		inv.shards.HandleForeignWrite(shard, group.Key(), "changed by another writer")
	default:
		inv.raiseFencedOffTokens(shard, group)
	}
}

// raiseFencedOffTokens handles a group that still belongs to its shard. It raises the
// tokens of the machines whose workers have seen a higher one from another owner, because
// the workers reject commands under a lower token. It also rereads the shard's claim and
// queues a write of the group's record.
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

// handleTransferredAway drops a group that was transferred to another shard, or whose
// record was deleted. A group is transferred only while its record lists no task. If
// this controller has stored a task in the record, a writer other than the owner must have
// changed it, and the change is reported as a foreign write.
func (inv *Inventory) handleTransferredAway(group *state.MachineGroup, to cluster.ShardID) {
	for _, m := range group.SortedMachines() {
		for _, a := range m.SortedAssignments() {
			if a.Phase != state.PhaseRecording && !a.ConfirmedAbsent {
				inv.shards.HandleForeignWrite(inv.state.Shards[group.ShardID], group.Key(), "transferred to another shard while it listed tasks")
				return
			}
		}
	}
	inv.dropGroup(group, to)
}

// dropGroup removes from memory a group that was transferred to another shard, or whose
// record was deleted or quarantined. It makes the tasks assigned to the group's machines
// pending again. If to is a shard, it is recorded as the owner hint of the machines.
//
// This can't run a task twice. The record of a transferred group lists no tasks, so no
// start was sent. A shard with a quarantined record starts no tasks before it is repaired.
func (inv *Inventory) dropGroup(group *state.MachineGroup, to cluster.ShardID) {
	inv.loop.Log(messages.LogDebug, "machine group was transferred, deleted or quarantined; removing its machines from memory", "group", group.ID, "machines", len(group.Machines), "to_shard", int(to))
	delete(inv.state.Groups, group.ID)
	for _, m := range group.SortedMachines() {
		inv.dropMachine(m)
		for _, a := range m.SortedAssignments() {
			inv.unassign(a)
		}
		if inv.isShard(to) {
			inv.ownerHints.add(m.ID, to, inv.loop.Now())
		}
	}
}
