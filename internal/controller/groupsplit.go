package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// groupSplit moves machines of a group into new ones by one transaction on all
// of them.
//
// From its queueing to its end the group counts as being written.
type groupSplit struct {
	controller    *Controller
	shard         *shard
	claimRevision cluster.Revision
	group         *machineGroup
	newIDs        []string // of the new groups
	keys          []string // of the group and the new ones

	pieces    [][]*machine     // by the last records built, the first one stays
	snapshots []*groupSnapshot // of the pieces
}

// splitGroup splits a group into two, or as many as a transaction may write
// where the record is far too large, as one that was written under higher limits
// may be.
func (c *Controller) splitGroup(p *shard, g *machineGroup) {
	if g.writeInFlight || len(g.machines) < 2 {
		return
	}
	n := min(max(c.valueLimit().SplitCount(g.estimatedSize()), g.minPieces), c.config.MaxTxnOps, len(g.machines))
	if g.queuedWrite != nil {
		c.writeQueue.Cancel(g.queuedWrite)
		g.queuedWrite = nil
	}
	g.writePending, g.writeInFlight, g.nextWritePriority = true, true, writequeue.PriorityCount
	s := &groupSplit{controller: c, shard: p, claimRevision: p.claimRevision, group: g, keys: []string{g.key()}}
	for range n - 1 {
		id := c.nextMachineGroupName(p)
		s.newIDs = append(s.newIDs, id)
		s.keys = append(s.keys, "groups/"+id)
	}
	c.writeQueue.Enqueue(writequeue.Start, &writequeue.Write{
		ShardID:         p.id,
		Keys:            s.keys,
		CPUsWaiting:     func() float64 { return c.cpusWaiting(g) },
		Build:           s.build,
		OnApplied:       s.handleStored,
		OnConflict:      s.handleConflict,
		OnTooLarge:      s.handleTooLarge,
		OnOwnershipLost: g.endWrite,
	})
}

// isCurrent tells whether the group is still held under the claim of the split.
func (s *groupSplit) isCurrent() bool {
	return s.controller.machineGroups[s.group.id] == s.group && s.shard.isOwnedUnder(s.claimRevision)
}

func (s *groupSplit) build(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
	c, g := s.controller, s.group
	if c.machineGroups[g.id] != g {
		g.endWrite()
		return nil, nil
	}
	g.nextWritePriority, g.addedBytes = writequeue.PriorityCount, 0
	s.pieces, s.snapshots = grouprecord.Split(g.sortedMachines(), len(s.keys), (*machine).taskCount), nil
	var ops []messages.TxnOp
	var marks []cluster.ModRevision
	for i, ms := range s.pieces {
		v, snap := c.buildGroupRecord(s.shard.id, ms, nonce)
		mark := cluster.ModRevision(0)
		if i == 0 {
			mark = g.modRevision
		}
		ops = append(ops, messages.TxnOp{Key: s.keys[i], Value: v})
		marks = append(marks, mark)
		s.snapshots = append(s.snapshots, snap)
	}
	return ops, marks
}

// handleStored moves the machines as the records now say.
func (s *groupSplit) handleStored(e cluster.Revision) {
	c, g := s.controller, s.group
	g.endWrite()
	if !s.isCurrent() {
		return
	}
	again := g.nextWritePriority
	for i, ms := range s.pieces {
		to := g
		if i > 0 {
			to = c.newGroup(s.shard, s.newIDs[i-1], 0)
			for _, m := range ms {
				to.moveIn(m)
			}
		}
		to.modRevision, to.recordSize = cluster.ModRevision(e), s.snapshots[i].size
		c.handleGroupStored(to, s.snapshots[i], e)
		if to.nextWritePriority = again; len(to.machines) > 0 { // what was asked of the whole may concern each
			c.queueNextWrite(to)
		}
	}
}

// handleConflict follows a conflict with another writer.
func (s *groupSplit) handleConflict() {
	s.group.endWrite()
	if s.controller.machineGroups[s.group.id] == s.group {
		s.controller.checkGroup(s.group)
	}
}

// handleTooLarge follows the store's refusal of the records by their length. Tasks
// end, and the record gets shorter; what the store takes now is less than the
// settings say.
func (s *groupSplit) handleTooLarge() {
	g := s.group
	g.endWrite()
	g.minPieces = 2 * len(s.keys)
	s.controller.loop.After(second, func() {
		if s.isCurrent() {
			s.controller.writeGroup(g, writequeue.Start)
		}
	})
}
