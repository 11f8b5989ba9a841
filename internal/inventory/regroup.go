package inventory

import (
	"slices"
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// regrouping moves machines of a shard into one group by one transaction on all the
// groups concerned. From its queueing to its end all these groups count as being
// written, so nothing else changes their records.
type regrouping struct {
	inventory     *Inventory
	shard         *state.Shard
	claimRevision cluster.Revision
	machines      []*state.Machine // that are to be moved
	sources       []*state.MachineGroup
	target        *state.MachineGroup   // nil: a new one, not stored yet
	targetID      string                // of the target
	affected      []*state.MachineGroup // the sources, and the target if it exists
	done          func(*state.MachineGroup)

	moving    []*state.Machine  // by the last records built
	snapshots []*recordSnapshot // of the sources and the target, in these records
}

// Regroup moves machines of a shard into one group, a new one if target is nil. done
// gets the group, or nil if they could not be moved.
func (inv *Inventory) Regroup(shard *state.Shard, machines []*state.Machine, target *state.MachineGroup, priority writequeue.Priority, done func(*state.MachineGroup)) {
	sources, ok := sourceGroups(machines, target)
	if !ok || len(sources) == 0 || len(sources)+1 > inv.config.MaxTxnOps || target != nil && target.WriteInFlight {
		done(nil)
		return
	}
	r := &regrouping{
		inventory:     inv,
		shard:         shard,
		claimRevision: shard.ClaimRevision,
		machines:      machines,
		sources:       sources,
		target:        target,
		targetID:      inv.names.NextGroup(shard),
		affected:      slices.Clone(sources),
		done:          done,
	}
	if target != nil {
		r.targetID = target.ID
		r.affected = append(r.affected, target)
	}
	inv.writes.Enqueue(priority, &writequeue.Write{
		ShardID:         shard.ID,
		Keys:            r.lock(),
		CPUsWaiting:     func() float64 { return inv.cpusWaiting(r.affected...) },
		Build:           r.build,
		OnApplied:       r.handleStored,
		OnConflict:      r.handleConflict,
		OnOwnershipLost: r.handleOwnershipLost,
	})
}

// sourceGroups lists the groups that machines are in; false: one of them is in the
// target already, or its record is on its way to the state service.
func sourceGroups(machines []*state.Machine, target *state.MachineGroup) ([]*state.MachineGroup, bool) {
	var sources []*state.MachineGroup
	for _, m := range machines {
		if m.Group.WriteInFlight || m.Group == target {
			return nil, false
		}
		if !slices.Contains(sources, m.Group) {
			sources = append(sources, m.Group)
		}
	}
	return sources, true
}

// lock counts the groups as being written, and returns the keys of all records.
func (r *regrouping) lock() []string {
	var keys []string
	for _, group := range r.affected {
		r.inventory.lock(group)
		keys = append(keys, group.Key())
	}
	if r.target == nil {
		keys = append(keys, state.GroupKey(r.targetID))
	}
	return keys
}

func (r *regrouping) unlock() {
	for _, group := range r.affected {
		group.EndWrite()
	}
}

// build makes the records of the groups that are left and of the one that the machines
// move to.
func (r *regrouping) build(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
	r.snapshots = nil
	r.moving = r.stillToMove()
	var operations []messages.TxnOp
	var modRevisions []cluster.ModRevision
	for _, group := range r.sources {
		group.MarkBuilt()
		operations = append(operations, messages.TxnOp{Key: group.Key(), Value: r.encode(r.remaining(group), writeID)})
		modRevisions = append(modRevisions, group.ModRevision)
	}
	modRevision := cluster.ModRevision(0) // of a new group's key: absent
	if r.target != nil {
		modRevision = r.target.ModRevision
		r.target.MarkBuilt()
	}
	value := r.encode(r.machinesOfTarget(), writeID)
	if !r.inventory.config.ValueLimit.WithinSoftLimit(len(value)) || len(r.moving) == 0 {
		r.abandon()
		return nil, nil
	}
	operations = append(operations, messages.TxnOp{Key: state.GroupKey(r.targetID), Value: value})
	return operations, append(modRevisions, modRevision)
}

// encode returns the record of a group that consists of the given machines, and keeps
// what it says for when it is stored.
func (r *regrouping) encode(machines []*state.Machine, writeID string) []byte {
	snapshot := newRecordSnapshot(machines)
	r.snapshots = append(r.snapshots, snapshot)
	return snapshot.encode(r.shard.ID, writeID)
}

// remaining lists the machines that stay in a source.
func (r *regrouping) remaining(group *state.MachineGroup) []*state.Machine {
	return slices.DeleteFunc(group.SortedMachines(), func(m *state.Machine) bool { return slices.Contains(r.moving, m) })
}

// machinesOfTarget lists the machines of the target after the move, by id.
func (r *regrouping) machinesOfTarget() []*state.Machine {
	machines := slices.Clone(r.moving)
	if r.target != nil {
		machines = append(machines, r.target.SortedMachines()...)
	}
	sort.Slice(machines, func(i, k int) bool { return machines[i].ID < machines[k].ID })
	return machines
}

// stillToMove lists the machines that are where they were.
func (r *regrouping) stillToMove() []*state.Machine {
	var moving []*state.Machine
	for _, m := range r.machines {
		if r.inventory.state.Machines[m.ID] == m && m.Group != r.target && slices.Contains(r.sources, m.Group) {
			moving = append(moving, m)
		}
	}
	return moving
}

// abandon leaves the groups as they are. Their own writes may have been cancelled for
// this one.
func (r *regrouping) abandon() {
	r.unlock()
	for _, group := range r.affected {
		r.inventory.WriteGroup(group, writequeue.PriorityStart)
	}
	r.done(nil)
}

// handleStored moves the machines as the records now say.
func (r *regrouping) handleStored(revision cluster.Revision) {
	inv := r.inventory
	r.unlock()
	if !r.shard.IsOwnedUnder(r.claimRevision) {
		r.done(nil)
		return
	}
	if r.target == nil {
		r.target = inv.state.AddGroup(r.shard, r.targetID, 0)
		r.affected = append(r.affected, r.target)
	}
	for _, m := range r.moving {
		r.target.MoveIn(m)
	}
	next := writequeue.PriorityCount // what was asked of one group may now concern another
	for _, group := range r.affected {
		next = min(next, group.NextWritePriority)
	}
	for i, group := range append(slices.Clone(r.sources), r.target) {
		inv.applyRegrouped(group, r.snapshots[i], revision, next)
	}
	r.done(r.target)
}

// handleConflict follows a conflict with another writer.
func (r *regrouping) handleConflict() {
	r.unlock()
	for _, group := range r.affected {
		if r.inventory.has(group) {
			r.inventory.checkRecord(group)
		}
	}
	r.done(nil)
}

// handleOwnershipLost follows the loss of the shard.
func (r *regrouping) handleOwnershipLost() {
	r.unlock()
	r.done(nil)
}
