package inventory

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// tokenRaiseWeight is how many times its size a machine counts whose token is to be
// raised: it starts nothing until then, and the leases of its tasks run on.
const tokenRaiseWeight = 4

// cpusWaiting counts the CPUs that wait for the groups' records: of tasks that may
// start, here or elsewhere, once the record says so, and of machines that can be used,
// or offered, only after it.
func (inv *Inventory) cpusWaiting(groups ...*state.MachineGroup) float64 {
	var sum cluster.Amount
	for _, g := range groups {
		for _, m := range g.Machines {
			sum += inv.machineCPUsWaiting(m)
		}
	}
	return float64(sum) / cluster.AmountsPerUnit
}

func (inv *Inventory) machineCPUsWaiting(m *state.Machine) cluster.Amount {
	var sum cluster.Amount
	size := inv.state.MachineTypes[m.MachineType].Capacity.CPU
	switch {
	case m.RaisingToken:
		sum += tokenRaiseWeight * size
	case m.Cordoned:
		sum += size
	}
	for _, a := range m.Assignments {
		if a.Phase == state.PhaseRecording || a.ConfirmedAbsent && a.Job.IsActive() {
			sum += a.ResourceRequest.CPU
		}
	}
	return sum
}

// WriteMachine stores which tasks may be on a machine, with the rest of its group. All
// that changes while the write waits its turn goes into the same put.
func (inv *Inventory) WriteMachine(machine *state.Machine, priority writequeue.Priority) {
	inv.WriteGroup(machine.Group, priority)
}

// groupClaim is a group as it is owned when a write of its record is queued.
type groupClaim struct {
	inventory     *Inventory
	shard         *state.Shard
	claimRevision cluster.Revision
	group         *state.MachineGroup
}

func (inv *Inventory) newGroupClaim(group *state.MachineGroup) groupClaim {
	shard := inv.state.Shards[group.ShardID]
	return groupClaim{inventory: inv, shard: shard, claimRevision: shard.ClaimRevision, group: group}
}

// isCurrent tells whether the group is still owned under the same claim.
func (c *groupClaim) isCurrent() bool {
	return c.inventory.has(c.group) && c.shard.IsOwnedUnder(c.claimRevision)
}

// handleConflict follows a conflict with another writer.
func (c *groupClaim) handleConflict() {
	c.group.EndWrite()
	if c.inventory.has(c.group) {
		c.inventory.checkRecord(c.group)
	}
}

// has tells whether a group is still among those of the owned shards.
func (inv *Inventory) has(group *state.MachineGroup) bool {
	return inv.state.Groups[group.ID] == group
}

// groupWrite is the write of one group's record.
type groupWrite struct {
	groupClaim
	priority writequeue.Priority
	snapshot *recordSnapshot // of the last record built
}

// WriteGroup stores a group's record. One that is in flight already is followed by
// another. While the record is being read after a conflict nothing is written: a write
// at a mod revision that is known to be wrong would conflict again, its check would
// find nothing for the next one, and so on without end.
func (inv *Inventory) WriteGroup(group *state.MachineGroup, priority writequeue.Priority) {
	if group.RecordCheckPending {
		group.NextWritePriority = min(group.NextWritePriority, priority)
		return
	}
	if group.WritePending {
		group.NextWritePriority = min(group.NextWritePriority, priority)
		inv.writes.RaisePriority(group.Key(), priority)
		return
	}
	group.WritePending, group.NextWritePriority = true, writequeue.PriorityCount
	w := &groupWrite{groupClaim: inv.newGroupClaim(group), priority: priority}
	group.QueuedWrite = &writequeue.Write{
		ShardID:         group.ShardID,
		Keys:            []string{group.Key()},
		CPUsWaiting:     func() float64 { return inv.cpusWaiting(group) },
		Build:           w.build,
		OnApplied:       w.handleStored,
		OnConflict:      w.handleConflict,
		OnTooLarge:      w.handleTooLarge,
		OnOwnershipLost: group.EndWrite,
	}
	inv.writes.Enqueue(priority, group.QueuedWrite)
}

func (w *groupWrite) build(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
	group := w.group
	group.QueuedWrite = nil
	if !w.inventory.has(group) {
		group.WritePending = false
		return nil, nil
	}
	group.WriteInFlight = true
	group.MarkRecordBuilt()
	w.snapshot = newRecordSnapshot(group.SortedMachines())
	value := w.snapshot.encode(group.ShardID, writeID)
	group.RecordSize = w.snapshot.size
	return []messages.TxnOp{{Key: group.Key(), Value: value}}, []cluster.ModRevision{group.ModRevision}
}

func (w *groupWrite) handleStored(revision cluster.Revision) {
	w.group.EndWrite()
	if !w.isCurrent() {
		return
	}
	w.group.ModRevision = cluster.ModRevision(revision)
	w.inventory.applyStored(w.group, w.snapshot, revision)
	w.inventory.queueNextWrite(w.group)
}

// handleTooLarge follows the refusal of a record by its length: the group is split, or
// written again later where it has one machine.
func (w *groupWrite) handleTooLarge() {
	inv, group := w.inventory, w.group
	group.EndWrite()
	if !w.isCurrent() {
		return
	}
	group.NextWritePriority = min(group.NextWritePriority, w.priority)
	if len(group.Machines) > 1 {
		next := group.NextWritePriority
		inv.Split(group)
		group.NextWritePriority = next
		return
	}
	inv.loop.After(second, func() { inv.queueNextWrite(group) })
}

// queueNextWrite queues the write that was wanted while one was in flight.
func (inv *Inventory) queueNextWrite(group *state.MachineGroup) {
	if group.NextWritePriority < writequeue.PriorityCount && inv.has(group) {
		inv.WriteGroup(group, group.NextWritePriority)
	}
}
