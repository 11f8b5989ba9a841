package inventory

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// groupSplit moves machines of a group into new groups by a transaction that writes the
// records of all these groups. The group is locked while this write is queued or in flight.
type groupSplit struct {
	groupClaim
	newIDs []string // of the new groups
	keys   []string // of the group and the new ones

	pieces    [][]*state.Machine // as last built; the first one stays in the group
	snapshots []*recordSnapshot  // of the pieces
}

// Split enqueues a write that splits a group in two, or into more groups if its record is
// much too large, which may happen after the value limit was lowered. MaxTxnOps limits the
// number of groups, because one transaction writes all their records.
func (inv *Inventory) Split(group *state.MachineGroup) {
	if group.WriteInFlight || len(group.Machines) < 2 {
		return
	}
	count := max(inv.config.ValueLimit.SplitCount(group.EstimatedSize()), group.MinSplitCount)
	count = min(count, inv.config.MaxTxnOps, len(group.Machines))
	inv.lock(group)
	s := &groupSplit{groupClaim: inv.newGroupClaim(group), keys: []string{group.Key()}}
	for range count - 1 {
		id := inv.names.NextGroup(s.shard)
		s.newIDs = append(s.newIDs, id)
		s.keys = append(s.keys, state.GroupKey(id))
	}
	inv.writes.Enqueue(writequeue.PriorityStart, &writequeue.Write{
		ShardID:         s.shard.ID,
		Keys:            s.keys,
		CPUsWaiting:     func() float64 { return inv.cpusWaiting(group) },
		Build:           s.build,
		OnApplied:       s.handleStored,
		OnConflict:      s.handleConflict,
		OnTooLarge:      s.handleTooLarge,
		OnOwnershipLost: group.EndWrite,
	})
}

// lock locks a group for a transaction on several groups. It cancels a queued write of the
// group's record, because the transaction writes the record too.
func (inv *Inventory) lock(group *state.MachineGroup) {
	if group.QueuedWrite != nil {
		inv.writes.Cancel(group.QueuedWrite)
		group.QueuedWrite = nil
	}
	group.LockForTransaction()
}

// build returns the writes of the records of all pieces.
func (s *groupSplit) build(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
	group := s.group
	if !s.inventory.ownsGroup(group) {
		group.EndWrite()
		return nil, nil
	}
	group.MarkRecordBuilt()
	s.pieces, s.snapshots = grouprecord.Split(group.SortedMachines(), len(s.keys), (*state.Machine).TaskCount), nil
	var operations []messages.TxnOp
	var modRevisions []cluster.ModRevision
	for i, machines := range s.pieces {
		snapshot := newRecordSnapshot(machines)
		modRevision := cluster.ModRevision(0) // the key of a new group must be absent
		if i == 0 {
			modRevision = group.ModRevision
		}
		operations = append(operations, messages.TxnOp{Key: s.keys[i], Value: snapshot.encode(s.shard.ID, writeID)})
		modRevisions = append(modRevisions, modRevision)
		s.snapshots = append(s.snapshots, snapshot)
	}
	return operations, modRevisions
}

// handleStored moves the machines after the records were stored.
func (s *groupSplit) handleStored(revision cluster.Revision) {
	inv := s.inventory
	s.group.EndWrite()
	if !s.isCurrent() {
		return
	}
	next := s.group.NextWritePriority // a requested write may be for a machine in any piece
	for i, machines := range s.pieces {
		target := s.group
		if i > 0 {
			target = inv.state.AddGroup(s.shard, s.newIDs[i-1], 0)
			for _, m := range machines {
				target.MoveIn(m)
			}
		}
		inv.applyRegrouped(target, s.snapshots[i], revision, next)
	}
}

// applyRegrouped applies the record of one of the groups that a transaction has stored. It
// then enqueues the group's next write with the priority next, unless next is
// writequeue.PriorityCount, which means that no write was requested.
func (inv *Inventory) applyRegrouped(group *state.MachineGroup, snapshot *recordSnapshot, revision cluster.Revision, next writequeue.Priority) {
	group.ModRevision, group.RecordSize = cluster.ModRevision(revision), snapshot.size
	inv.applyStored(group, snapshot, revision)
	group.NextWritePriority = next
	if len(group.Machines) > 0 {
		inv.queueNextWrite(group)
	}
}

// handleTooLarge doubles the number of pieces for the next split after the store has
// rejected the records as too large, because the store's limit is lower than the configured
// one. The group's record is written again after a delay, because it gets shorter as tasks
// end. If it is still too large, the group is split again.
func (s *groupSplit) handleTooLarge() {
	s.group.EndWrite()
	s.group.MinSplitCount = 2 * len(s.keys)
	s.inventory.loop.After(second, func() {
		if s.isCurrent() {
			s.inventory.WriteGroup(s.group, writequeue.PriorityStart)
		}
	})
}
