package inventory

import (
	"slices"
	"sort"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// regrouping moves machines of a shard into one group by a transaction that writes the
// records of all affected groups. The groups are locked while this write is queued or in
// flight, so that no other write changes their records.
type regrouping struct {
	inventory     *Inventory
	shard         *state.Shard
	claimRevision cluster.Revision
	machines      []*state.Machine // to be moved
	sources       []*state.MachineGroup
	target        *state.MachineGroup // nil until a new group is stored
	targetID      string
	affected      []*state.MachineGroup // the sources, and the target if it exists
	done          func(*state.MachineGroup)

	moving    []*state.Machine  // moved by the records as last built
	snapshots []*recordSnapshot // of the sources and the target, as last built
}

// Regroup moves machines of a shard into the group target, or into a new group if target
// is nil. It enqueues one write of all affected groups, which replaces their queued writes.
// It calls done with the group after the write was applied, or with nil if the machines
// could not be moved.
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

// sourceGroups returns the groups of the given machines. It returns false if one of the
// machines is in the target already, or if a write of one of the groups is in flight.
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

// lock locks the affected groups and returns the keys of all records to be written.
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

// build returns the writes of the sources' records without the moving machines, and of the
// target's record with them. If the target's record would be too large or no machine can be
// moved, it abandons the regrouping and returns no writes.
func (r *regrouping) build(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
	r.snapshots = nil
	r.moving = r.machinesToMove()
	var operations []messages.TxnOp
	var modRevisions []cluster.ModRevision
	for _, group := range r.sources {
		group.MarkRecordBuilt()
		operations = append(operations, messages.TxnOp{Key: group.Key(), Value: r.encode(r.remainingMachines(group), writeID)})
		modRevisions = append(modRevisions, group.ModRevision)
	}
	modRevision := cluster.ModRevision(0) // the key of a new group must be absent
	if r.target != nil {
		modRevision = r.target.ModRevision
		r.target.MarkRecordBuilt()
	}
	value := r.encode(r.targetMachines(), writeID)
	if !r.inventory.config.ValueLimit.WithinSoftLimit(len(value)) || len(r.moving) == 0 {
		r.abandon()
		return nil, nil
	}
	operations = append(operations, messages.TxnOp{Key: state.GroupKey(r.targetID), Value: value})
	return operations, append(modRevisions, modRevision)
}

// encode returns the record of a group that consists of the given machines, and appends
// its content to the snapshots.
func (r *regrouping) encode(machines []*state.Machine, writeID string) []byte {
	snapshot := newRecordSnapshot(machines)
	r.snapshots = append(r.snapshots, snapshot)
	return snapshot.encode(r.shard.ID, writeID)
}

// remainingMachines returns the machines that stay in a source.
func (r *regrouping) remainingMachines(group *state.MachineGroup) []*state.Machine {
	return slices.DeleteFunc(group.SortedMachines(), func(m *state.Machine) bool { return slices.Contains(r.moving, m) })
}

// targetMachines returns the machines of the target after the move, sorted by ID.
func (r *regrouping) targetMachines() []*state.Machine {
	machines := slices.Clone(r.moving)
	if r.target != nil {
		machines = append(machines, r.target.SortedMachines()...)
	}
	sort.Slice(machines, func(i, k int) bool { return machines[i].ID < machines[k].ID })
	return machines
}

// machinesToMove returns those of the machines that are still in one of the sources.
func (r *regrouping) machinesToMove() []*state.Machine {
	var moving []*state.Machine
	for _, m := range r.machines {
		if r.inventory.state.Machines[m.ID] == m && m.Group != r.target && slices.Contains(r.sources, m.Group) {
			moving = append(moving, m)
		}
	}
	return moving
}

// abandon unlocks the groups without moving machines. It enqueues a write of each group,
// because lock may have cancelled a queued write.
func (r *regrouping) abandon() {
	r.unlock()
	for _, group := range r.affected {
		r.inventory.WriteGroup(group, writequeue.PriorityStart)
	}
	r.done(nil)
}

// handleStored moves the machines after the records were stored.
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
	next := writequeue.PriorityCount // a requested write may be for a machine that has moved to another group
	for _, group := range r.affected {
		next = min(next, group.NextWritePriority)
	}
	for i, group := range append(slices.Clone(r.sources), r.target) {
		inv.applyRegrouped(group, r.snapshots[i], revision, next)
	}
	r.done(r.target)
}

// handleConflict checks the records of the groups after a conflict with another writer.
func (r *regrouping) handleConflict() {
	r.unlock()
	for _, group := range r.affected {
		if r.inventory.ownsGroup(group) {
			r.inventory.checkRecord(group)
		}
	}
	r.done(nil)
}

// handleOwnershipLost unlocks the groups after the shard was lost.
func (r *regrouping) handleOwnershipLost() {
	r.unlock()
	r.done(nil)
}
