package inventory

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// groupTransfer moves a group of idle machines to a shard owned here, by a conditional
// write on a record that lists no task. The revision of this write is the machines'
// fencing token: it lies above all earlier ones.
//
// Where the shard that offers the group is owned here too, the group stays with it
// until the write is stored, and counts as being written until then.
type groupTransfer struct {
	inventory       *Inventory
	shard           *state.Shard
	claimRevision   cluster.Revision
	groupID         string
	offeredRevision cluster.ModRevision // of the record when it was offered
	fromShard       cluster.ShardID
	machines        []grouprecord.Machine
	localGroup      *state.MachineGroup // of a shard owned here; nil: another controller's
	recordSize      int                 // of the record as last built
}

// AcquireGroup takes a group that was offered to a shard at a mod revision of its
// record.
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

// begin queues the write if the record lists machines that may be taken.
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

// isInUse tells whether a machine must stay with its shard.
func isInUse(line grouprecord.Machine) bool { return len(line.Tasks) > 0 || line.Releasing }

// lock counts a group that is owned here as being written; false: it can't be taken
// any more.
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
	group.Lock()
	return true
}

// unlock leaves the group with the shard that offered it.
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

// handleStored follows the write: the machines belong to the shard now.
func (t *groupTransfer) handleStored(revision cluster.Revision) {
	inv := t.inventory
	if t.localGroup != nil && inv.has(t.localGroup) {
		inv.dropTransferred(t.localGroup, t.shard.ID)
	}
	if !t.shard.IsOwnedUnder(t.claimRevision) || inv.state.Groups[t.groupID] != nil {
		return
	}
	group := inv.state.AddGroup(t.shard, t.groupID, cluster.ModRevision(revision))
	group.RecordSize = t.recordSize
	for _, line := range t.machines {
		if inv.state.Machines[line.ID] == nil {
			inv.AddMachine(group, line, cluster.FencingToken(revision))
		}
	}
	inv.loop.Log(messages.LogDebug, "machine group acquired", "group", t.groupID, "machines", len(t.machines), "shard", int(t.shard.ID), "from_shard", int(t.fromShard))
	inv.scheduler.RequestScheduling()
	inv.scheduler.MaintainMachines()
}

// handleConflict follows a conflict with another writer of the record.
func (t *groupTransfer) handleConflict() {
	if t.localGroup == nil {
		return
	}
	t.localGroup.EndWrite()
	if t.inventory.has(t.localGroup) {
		t.inventory.checkRecord(t.localGroup)
	}
}
