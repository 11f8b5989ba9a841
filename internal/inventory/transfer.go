package inventory

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// groupTransfer moves a group of idle machines to a shard owned here. Its write is
// conditional on the mod revision at which the group's record listed no task. The revision
// of the write becomes the machines' fencing token, which is higher than all earlier ones.
//
// If the shard that offers the group is owned here too, the group stays with it and is
// locked until the write has succeeded or failed.
type groupTransfer struct {
	inventory       *Inventory
	shard           *state.Shard
	claimRevision   cluster.Revision
	groupID         string
	offeredRevision cluster.ModRevision // of the record when the group was offered
	fromShard       cluster.ShardID
	machines        []grouprecord.Machine
	localGroup      *state.MachineGroup // nil if another controller owns the group
	recordSize      int                 // of the last encoded record, in bytes
}

// AcquireGroup begins the transfer of a group to a shard to which the group was offered. The
// argument modRevision is that of the group's record at the time of the offer. The transfer
// is abandoned if the record has changed since, or if a machine of the group is in use.
func (inv *Inventory) AcquireGroup(shard *state.Shard, key string, modRevision cluster.ModRevision) {
	t := &groupTransfer{
		inventory:       inv,
		shard:           shard,
		claimRevision:   shard.ClaimRevision,
		groupID:         groupID(key),
		offeredRevision: modRevision,
	}
	inv.writes.ReadKey(key, func(reply messages.GetReply) {
		if reply.Outcome == messages.OK && reply.KV.ModRevision == modRevision && shard.IsOwnedUnder(t.claimRevision) {
			t.begin(reply.KV.Value)
		}
	})
}

// begin enqueues the write if the record lists machines that may be transferred.
func (t *groupTransfer) begin(value []byte) {
	record, err := grouprecord.Decode(value)
	if err != nil || record.ShardID == t.shard.ID || len(record.Machines) == 0 {
		return
	}
	t.fromShard, t.machines = record.ShardID, record.Machines
	if slices.ContainsFunc(t.machines, isInUse) || !t.lock() {
		return
	}
	t.inventory.writes.Enqueue(writequeue.PriorityScaleOut, &writequeue.Write{
		ShardID:         t.shard.ID,
		Keys:            []string{state.GroupKey(t.groupID)},
		Build:           t.build,
		OnApplied:       t.handleStored,
		OnConflict:      t.handleConflict,
		OnOwnershipLost: t.unlock,
	})
}

// isInUse reports whether a machine must stay with its shard, because it may have tasks or
// is being released.
func isInUse(entry grouprecord.Machine) bool { return len(entry.Tasks) > 0 || entry.Releasing }

// lock locks the group if it is owned here. It returns false if the group can no longer be
// transferred.
func (t *groupTransfer) lock() bool {
	group := t.inventory.state.Groups[t.groupID]
	if group == nil {
		return true
	}
	if group.WritePending || group.ModRevision != t.offeredRevision || group.Offer == nil {
		return false
	}
	for _, m := range group.Machines {
		if len(m.Assignments) > 0 {
			return false
		}
	}
	t.localGroup = group
	group.LockForTransaction()
	return true
}

// unlock unlocks the group, which stays with the shard that offered it.
func (t *groupTransfer) unlock() {
	if t.localGroup != nil {
		t.localGroup.EndWrite()
		t.inventory.queueNextWrite(t.localGroup)
	}
}

func (t *groupTransfer) build(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
	value := grouprecord.Encode(grouprecord.Record{ShardID: t.shard.ID, Machines: t.machines, WriteID: writeID})
	t.recordSize = len(value)
	return []messages.TxnOp{{Key: state.GroupKey(t.groupID), Value: value}}, []cluster.ModRevision{t.offeredRevision}
}

// handleStored adds the group to the shard after the write was applied, and drops the group
// from the shard that offered it if that shard is owned here. It requests a scheduling run
// and runs the machine maintenance.
func (t *groupTransfer) handleStored(revision cluster.Revision) {
	inv := t.inventory
	if t.localGroup != nil && inv.ownsGroup(t.localGroup) {
		inv.dropGroup(t.localGroup, t.shard.ID)
	}
	if !t.shard.IsOwnedUnder(t.claimRevision) || inv.state.Groups[t.groupID] != nil {
		return
	}
	group := inv.state.AddGroup(t.shard, t.groupID, cluster.ModRevision(revision))
	group.RecordSize = t.recordSize
	for _, entry := range t.machines {
		if inv.state.Machines[entry.ID] == nil {
			inv.AddMachine(group, entry, cluster.FencingToken(revision))
		}
	}
	inv.loop.Log(messages.LogDebug, "machine group acquired", "group", t.groupID, "machines", len(t.machines), "shard", int(t.shard.ID), "from_shard", int(t.fromShard))
	inv.scheduler.RequestScheduling()
	inv.scheduler.MaintainMachines()
}

// handleConflict checks the record of a group owned here after a conflict with another
// writer.
func (t *groupTransfer) handleConflict() {
	if t.localGroup == nil {
		return
	}
	t.localGroup.EndWrite()
	if t.inventory.ownsGroup(t.localGroup) {
		t.inventory.checkRecord(t.localGroup)
	}
}
