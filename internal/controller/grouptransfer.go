package controller

import (
	"slices"
	"strings"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

// groupTransfer moves a group of idle machines to a part held here, by a conditional
// write on a record that lists no task. The revision of this write is the
// machines' token: it lies above all earlier ones.
//
// Where the part that offers the group is held here too, the group stays in its
// books until the write is done, and counts as being written until then.
type groupTransfer struct {
	controller      *Controller
	shard           *state.Shard
	claimRevision   cluster.Revision
	groupID         string
	offeredRevision cluster.ModRevision // of the record when it was offered
	fromShard       cluster.ShardID
	machines        []grouprecord.Machine
	localGroup      *state.MachineGroup // of a part held here; nil: another controller's
	recordSize      int                 // of the record as last built
}

// acquireGroup takes a group that was offered to a part at a revision of its record.
func (c *Controller) acquireGroup(p *state.Shard, key string, mark cluster.ModRevision) {
	take := &groupTransfer{controller: c, shard: p, claimRevision: p.ClaimRevision, groupID: strings.TrimPrefix(key, "groups/"), offeredRevision: mark}
	c.writeQueue.ReadKey(key, func(r messages.GetReply) {
		if r.Outcome == messages.OK && r.KV.ModRevision == mark && p.IsOwnedUnder(take.claimRevision) {
			take.begin(r.KV.Value)
		}
	})
}

func (t *groupTransfer) key() string { return "groups/" + t.groupID }

// begin queues the write if the record lists machines that may be taken.
func (t *groupTransfer) begin(value []byte) {
	c := t.controller
	record, err := grouprecord.Decode(value)
	if err != nil || record.ShardID == t.shard.ID || len(record.Machines) == 0 {
		return
	}
	t.fromShard, t.machines = record.ShardID, record.Machines
	if slices.ContainsFunc(t.machines, isMachineInUse) || !t.lock() {
		return
	}
	c.writeQueue.Enqueue(writequeue.ScaleOut, &writequeue.Write{
		ShardID:         t.shard.ID,
		Keys:            []string{t.key()},
		Build:           t.build,
		OnApplied:       t.handleStored,
		OnConflict:      t.handleConflict,
		OnOwnershipLost: t.unlock,
	})
}

// isMachineInUse tells whether a machine must stay with its part.
func isMachineInUse(m grouprecord.Machine) bool { return len(m.Tasks) > 0 || m.Releasing }

// lock marks a group that is held here as being written; false: it can't be
// taken any more.
func (t *groupTransfer) lock() bool {
	g := t.controller.state.Groups[t.groupID]
	if g == nil {
		return true
	}
	if g.WritePending || g.ModRevision != t.offeredRevision || g.Offer == nil {
		return false
	}
	for _, m := range g.Machines {
		if len(m.Assignments) > 0 {
			return false
		}
	}
	t.localGroup = g
	g.WritePending, g.WriteInFlight, g.NextWritePriority = true, true, writequeue.PriorityCount
	return true
}

// unlock leaves the group with the part that offered it.
func (t *groupTransfer) unlock() {
	if t.localGroup != nil {
		t.localGroup.EndWrite()
		t.controller.queueNextWrite(t.localGroup)
	}
}

func (t *groupTransfer) build(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
	value := grouprecord.Encode(grouprecord.Record{ShardID: t.shard.ID, Machines: t.machines, WriteID: nonce})
	t.recordSize = len(value)
	return []messages.TxnOp{{Key: t.key(), Value: value}}, []cluster.ModRevision{t.offeredRevision}
}

// handleStored follows the write: the machines are the part's now.
func (t *groupTransfer) handleStored(e cluster.Revision) {
	c, p := t.controller, t.shard
	if g := t.localGroup; g != nil && c.state.Groups[t.groupID] == g {
		c.dropTransferredGroup(g, p.ID)
	}
	if !p.IsOwnedUnder(t.claimRevision) || c.state.Groups[t.groupID] != nil {
		return
	}
	g := c.newGroup(p, t.groupID, cluster.ModRevision(e))
	g.RecordSize = t.recordSize
	for _, line := range t.machines {
		if c.state.Machines[line.ID] == nil {
			c.addMachine(g, line, cluster.FencingToken(e))
		}
	}
	c.loop.Log(messages.LogDebug, "took idle machines", "group", t.groupID, "machines", len(t.machines), "part", int(p.ID), "from", int(t.fromShard))
	c.scheduler.Trigger.Request()
	c.maintainMachines()
}

// handleConflict follows a conflict with another writer of the record.
func (t *groupTransfer) handleConflict() {
	g := t.localGroup
	if g == nil {
		return
	}
	g.EndWrite()
	if t.controller.state.Groups[t.groupID] == g {
		t.controller.checkGroup(g)
	}
}
