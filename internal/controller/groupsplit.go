package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// groupSplit moves machines of a group into new ones by one transaction on all
// of them.
//
// From its queueing to its end the group counts as being written.
type groupSplit struct {
	controller    *Controller
	shard         *state.Shard
	claimRevision cluster.Revision
	group         *state.MachineGroup
	newIDs        []string // of the new groups
	keys          []string // of the group and the new ones

	pieces    [][]*state.Machine // by the last records built, the first one stays
	snapshots []*groupSnapshot   // of the pieces
}

// splitGroup splits a group into two, or as many as a transaction may write
// where the record is far too large, as one that was written under higher limits
// may be.
func (c *Controller) splitGroup(p *state.Shard, g *state.MachineGroup) {
	if g.WriteInFlight || len(g.Machines) < 2 {
		return
	}
	n := min(max(c.valueLimit().SplitCount(g.EstimatedSize()), g.MinPieces), c.config.MaxTxnOps, len(g.Machines))
	if g.QueuedWrite != nil {
		c.writeQueue.Cancel(g.QueuedWrite)
		g.QueuedWrite = nil
	}
	g.WritePending, g.WriteInFlight, g.NextWritePriority = true, true, writequeue.PriorityCount
	s := &groupSplit{controller: c, shard: p, claimRevision: p.ClaimRevision, group: g, keys: []string{g.Key()}}
	for range n - 1 {
		id := c.nextMachineGroupName(p)
		s.newIDs = append(s.newIDs, id)
		s.keys = append(s.keys, "groups/"+id)
	}
	c.writeQueue.Enqueue(writequeue.Start, &writequeue.Write{
		ShardID:         p.ID,
		Keys:            s.keys,
		CPUsWaiting:     func() float64 { return c.cpusWaiting(g) },
		Build:           s.build,
		OnApplied:       s.handleStored,
		OnConflict:      s.handleConflict,
		OnTooLarge:      s.handleTooLarge,
		OnOwnershipLost: g.EndWrite,
	})
}

// isCurrent tells whether the group is still held under the claim of the split.
func (s *groupSplit) isCurrent() bool {
	return s.controller.state.Groups[s.group.ID] == s.group && s.shard.IsOwnedUnder(s.claimRevision)
}

func (s *groupSplit) build(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
	c, g := s.controller, s.group
	if c.state.Groups[g.ID] != g {
		g.EndWrite()
		return nil, nil
	}
	g.NextWritePriority, g.AddedBytes = writequeue.PriorityCount, 0
	s.pieces, s.snapshots = grouprecord.Split(g.SortedMachines(), len(s.keys), (*state.Machine).TaskCount), nil
	var ops []messages.TxnOp
	var marks []cluster.ModRevision
	for i, ms := range s.pieces {
		v, snap := c.buildGroupRecord(s.shard.ID, ms, nonce)
		mark := cluster.ModRevision(0)
		if i == 0 {
			mark = g.ModRevision
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
	g.EndWrite()
	if !s.isCurrent() {
		return
	}
	again := g.NextWritePriority
	for i, ms := range s.pieces {
		to := g
		if i > 0 {
			to = c.newGroup(s.shard, s.newIDs[i-1], 0)
			for _, m := range ms {
				to.MoveIn(m)
			}
		}
		to.ModRevision, to.RecordSize = cluster.ModRevision(e), s.snapshots[i].size
		c.handleGroupStored(to, s.snapshots[i], e)
		if to.NextWritePriority = again; len(to.Machines) > 0 { // what was asked of the whole may concern each
			c.queueNextWrite(to)
		}
	}
}

// handleConflict follows a conflict with another writer.
func (s *groupSplit) handleConflict() {
	s.group.EndWrite()
	if s.controller.state.Groups[s.group.ID] == s.group {
		s.controller.checkGroup(s.group)
	}
}

// handleTooLarge follows the store's refusal of the records by their length. Tasks
// end, and the record gets shorter; what the store takes now is less than the
// settings say.
func (s *groupSplit) handleTooLarge() {
	g := s.group
	g.EndWrite()
	g.MinPieces = 2 * len(s.keys)
	s.controller.loop.After(second, func() {
		if s.isCurrent() {
			s.controller.writeGroup(g, writequeue.Start)
		}
	})
}
