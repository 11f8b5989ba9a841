package inventory

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// tokenRaiseWeight is the weight in cpusWaiting of the CPUs of a machine whose token is being
// raised. Until the higher token is stored, the machine gets no new tasks and its worker's
// lease may expire.
const tokenRaiseWeight = 4

// cpusWaiting returns the weighted number of CPUs that are idle until the records of the
// given groups are stored. It counts the CPUs of tasks that may start only then, on the same
// or another machine, and the CPUs of machines that can be used or offered only then.
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

// WriteMachine enqueues a write of the record of a machine's group. All changes of the group
// while the write is queued are included in the same put.
func (inv *Inventory) WriteMachine(machine *state.Machine, priority writequeue.Priority) {
	inv.WriteGroup(machine.Group, priority)
}

// groupClaim is a group and the claim under which it was owned when a write of its record
// was queued.
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

// isCurrent reports whether the group is still owned under the same claim.
func (c *groupClaim) isCurrent() bool {
	return c.inventory.ownsGroup(c.group) && c.shard.IsOwnedUnder(c.claimRevision)
}

// handleConflict checks the group's record after a conflict with another writer.
func (c *groupClaim) handleConflict() {
	c.group.EndWrite()
	if c.inventory.ownsGroup(c.group) {
		c.inventory.checkRecord(c.group)
	}
}

// ownsGroup reports whether a group still belongs to an owned shard.
func (inv *Inventory) ownsGroup(group *state.MachineGroup) bool {
	return inv.state.Groups[group.ID] == group
}

// groupWrite is a write of one group's record.
type groupWrite struct {
	groupClaim
	priority writequeue.Priority
	snapshot *recordSnapshot // of the last record built

	isPartial bool // the record still lists tasks that it need not list
}

// WriteGroup enqueues a write of a group's record. If a write is already queued, it raises
// the priority of the queued write. If a write is in flight, another write follows it. If
// the record is being read after a conflict, the write follows the read, because a write
// that is conditional on the outdated mod revision would conflict again.
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
	if !w.inventory.ownsGroup(group) {
		group.WritePending = false
		return nil, nil
	}
	group.WriteInFlight, w.isPartial = true, false
	group.MarkRecordBuilt()
	w.snapshot = newRecordSnapshot(group.SortedMachines())
	value := w.snapshot.encode(group.ShardID, writeID)
	if len(value) > int(w.inventory.config.ValueLimit) {
		w.snapshot.keepRanges()
		value = w.snapshot.encode(group.ShardID, writeID)
		w.isPartial = true
	}
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
	if w.isPartial {
		w.inventory.loop.After(second, func() {
			if w.isCurrent() {
				w.inventory.WriteGroup(w.group, w.priority)
			}
		})
	}
}

// handleTooLarge splits the group after the store has rejected its record as too large. A
// group of one machine can't be split and is written again after a delay.
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

// queueNextWrite enqueues the write that was requested while another write or a read of the
// record was in flight, if there is one.
func (inv *Inventory) queueNextWrite(group *state.MachineGroup) {
	if group.NextWritePriority < writequeue.PriorityCount && inv.ownsGroup(group) {
		inv.WriteGroup(group, group.NextWritePriority)
	}
}
