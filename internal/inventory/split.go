package inventory

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// groupSplit moves machines of a group into new ones by one transaction on all of
// them. From its queueing to its end the group counts as being written.
type groupSplit struct {
	groupClaim
	newIDs []string // of the new groups
	keys   []string // of the group and the new ones

	pieces    [][]*state.Machine // by the last records built; the first one stays
	snapshots []*recordSnapshot  // of the pieces
}

// Split splits a group into two, or into as many as a transaction may write where the
// record is far too large, as one may be that was written under higher limits.
func (inv *Inventory) Split(group *state.MachineGroup) {
	if group.WriteInFlight || len(group.Machines) < 2 {
		return
	}
	count := max(inv.config.ValueLimit.SplitCount(group.EstimatedSize()), group.MinPieces)
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

// lock counts a group as being written by a transaction on several groups. A write of
// its own that still waits its turn says nothing that the transaction won't.
func (inv *Inventory) lock(group *state.MachineGroup) {
	if group.QueuedWrite != nil {
		inv.writes.Cancel(group.QueuedWrite)
		group.QueuedWrite = nil
	}
	group.Lock()
}

func (s *groupSplit) build(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
	group := s.group
	if !s.inventory.has(group) {
		group.EndWrite()
		return nil, nil
	}
	group.MarkBuilt()
	s.pieces, s.snapshots = grouprecord.Split(group.SortedMachines(), len(s.keys), (*state.Machine).TaskCount), nil
	var operations []messages.TxnOp
	var modRevisions []cluster.ModRevision
	for i, machines := range s.pieces {
		snapshot := newRecordSnapshot(machines)
		modRevision := cluster.ModRevision(0) // of a new group's key: absent
		if i == 0 {
			modRevision = group.ModRevision
		}
		operations = append(operations, messages.TxnOp{Key: s.keys[i], Value: snapshot.encode(s.shard.ID, writeID)})
		modRevisions = append(modRevisions, modRevision)
		s.snapshots = append(s.snapshots, snapshot)
	}
	return operations, modRevisions
}

// handleStored moves the machines as the records now say.
func (s *groupSplit) handleStored(revision cluster.Revision) {
	inv := s.inventory
	s.group.EndWrite()
	if !s.isCurrent() {
		return
	}
	next := s.group.NextWritePriority // what was asked of the whole may concern each piece
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

// applyRegrouped follows the record of one of the groups that a transaction has stored,
// and queues the write that was wanted meanwhile.
func (inv *Inventory) applyRegrouped(group *state.MachineGroup, snapshot *recordSnapshot, revision cluster.Revision, next writequeue.Priority) {
	group.ModRevision, group.RecordSize = cluster.ModRevision(revision), snapshot.size
	inv.applyStored(group, snapshot, revision)
	group.NextWritePriority = next
	if len(group.Machines) > 0 {
		inv.queueNextWrite(group)
	}
}

// handleTooLarge follows the refusal of the records by their length. Tasks end, and the
// record gets shorter; what the state service takes now is less than the settings say.
func (s *groupSplit) handleTooLarge() {
	s.group.EndWrite()
	s.group.MinPieces = 2 * len(s.keys)
	s.inventory.loop.After(second, func() {
		if s.isCurrent() {
			s.inventory.WriteGroup(s.group, writequeue.PriorityStart)
		}
	})
}
