package controller

import (
	"slices"
	"sort"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// regrouping moves machines of a part into one group by one transaction on all
// the groups concerned.
//
// From its queueing to its end all these groups count as being written, so
// nothing else changes their records.
type regrouping struct {
	controller    *Controller
	shard         *state.Shard
	claimRevision cluster.Revision
	machines      []*state.Machine // that are to be moved
	sources       []*state.MachineGroup
	target        *state.MachineGroup   // nil: a new one
	affected      []*state.MachineGroup // from, and to if it exists already
	targetID      string                // of to
	done          func(*state.MachineGroup)

	moving    []*state.Machine // by the last records built
	snapshots []*groupSnapshot // of from and to, in these records
}

// regroup moves machines of a part into one group, a new one if to is nil. done
// gets the group, or nil.
func (c *Controller) regroup(p *state.Shard, ms []*state.Machine, to *state.MachineGroup, prio writequeue.Priority, done func(*state.MachineGroup)) {
	from, ok := sourceGroups(ms, to)
	if !ok || len(from) == 0 || len(from)+1 > c.config.MaxTxnOps || to != nil && to.WriteInFlight {
		done(nil)
		return
	}
	r := &regrouping{controller: c, shard: p, claimRevision: p.ClaimRevision, machines: ms, sources: from, target: to, done: done}
	r.targetID = c.nextMachineGroupName(p)
	r.affected = slices.Clone(from)
	if to != nil {
		r.targetID = to.ID
		r.affected = append(r.affected, to)
	}
	c.writeQueue.Enqueue(prio, &writequeue.Write{
		ShardID:         p.ID,
		Keys:            r.lock(),
		CPUsWaiting:     func() float64 { return c.cpusWaiting(r.affected...) },
		Build:           r.build,
		OnApplied:       r.handleStored,
		OnConflict:      r.handleConflict,
		OnOwnershipLost: r.handleShardLost,
	})
}

// sourceGroups lists the groups that machines are in; false: one of them is in
// the target already, or its record is on its way to the store.
func sourceGroups(ms []*state.Machine, to *state.MachineGroup) ([]*state.MachineGroup, bool) {
	var from []*state.MachineGroup
	for _, m := range ms {
		if m.Group.WriteInFlight || m.Group == to {
			return nil, false
		}
		if !slices.Contains(from, m.Group) {
			from = append(from, m.Group)
		}
	}
	return from, true
}

// lock marks the groups as being written, and returns the keys of all records.
func (r *regrouping) lock() []string {
	var keys []string
	for _, g := range r.affected {
		// A write that still waits its turn says nothing that this one won't.
		if g.QueuedWrite != nil {
			r.controller.writeQueue.Cancel(g.QueuedWrite)
			g.QueuedWrite = nil
		}
		g.WritePending, g.WriteInFlight, g.NextWritePriority = true, true, writequeue.PriorityCount
		keys = append(keys, g.Key())
	}
	if r.target == nil {
		keys = append(keys, "groups/"+r.targetID)
	}
	return keys
}

func (r *regrouping) unlock() {
	for _, g := range r.affected {
		g.EndWrite()
	}
}

// build makes the records of the groups that are left and of the one they go to.
func (r *regrouping) build(nonce string) ([]messages.TxnOp, []cluster.ModRevision) {
	c := r.controller
	r.snapshots = nil
	r.moving = r.stillToMove()
	var ops []messages.TxnOp
	var marks []cluster.ModRevision
	for _, g := range r.sources {
		rest := slices.DeleteFunc(g.SortedMachines(), func(m *state.Machine) bool { return slices.Contains(r.moving, m) })
		g.NextWritePriority, g.AddedBytes = writequeue.PriorityCount, 0
		v, s := c.buildGroupRecord(r.shard.ID, rest, nonce)
		ops = append(ops, messages.TxnOp{Key: g.Key(), Value: v})
		marks = append(marks, g.ModRevision)
		r.snapshots = append(r.snapshots, s)
	}
	mark, into := cluster.ModRevision(0), slices.Clone(r.moving)
	if r.target != nil {
		mark = r.target.ModRevision
		r.target.NextWritePriority, r.target.AddedBytes = writequeue.PriorityCount, 0
		into = append(into, r.target.SortedMachines()...)
	}
	sort.Slice(into, func(i, k int) bool { return into[i].ID < into[k].ID })
	v, s := c.buildGroupRecord(r.shard.ID, into, nonce)
	r.snapshots = append(r.snapshots, s)
	if !c.valueLimit().WithinSoftLimit(len(v)) || len(r.moving) == 0 {
		r.abandon()
		return nil, nil
	}
	return append(ops, messages.TxnOp{Key: "groups/" + r.targetID, Value: v}), append(marks, mark)
}

// stillToMove lists the machines that are where they were.
func (r *regrouping) stillToMove() []*state.Machine {
	var moving []*state.Machine
	for _, m := range r.machines {
		if r.controller.state.Machines[m.ID] == m && m.Group != r.target && slices.Contains(r.sources, m.Group) {
			moving = append(moving, m)
		}
	}
	return moving
}

// abandon leaves the groups as they are. Their own writes may have been taken
// back for this one.
func (r *regrouping) abandon() {
	r.unlock()
	for _, g := range r.affected {
		r.controller.writeGroup(g, writequeue.Start)
	}
	r.done(nil)
}

// handleStored moves the machines as the records now say.
func (r *regrouping) handleStored(e cluster.Revision) {
	c := r.controller
	r.unlock()
	if !r.shard.IsOwnedUnder(r.claimRevision) {
		r.done(nil)
		return
	}
	if r.target == nil {
		r.target = c.newGroup(r.shard, r.targetID, 0)
		r.affected = append(r.affected, r.target)
	}
	for _, m := range r.moving {
		r.target.MoveIn(m)
	}
	again := writequeue.PriorityCount
	for _, g := range r.affected {
		again = min(again, g.NextWritePriority)
	}
	for i, g := range append(slices.Clone(r.sources), r.target) {
		g.ModRevision, g.RecordSize = cluster.ModRevision(e), r.snapshots[i].size
		c.handleGroupStored(g, r.snapshots[i], e)
		if g.NextWritePriority = again; len(g.Machines) > 0 { // what was asked of one may now concern the other
			c.queueNextWrite(g)
		}
	}
	r.done(r.target)
}

// handleConflict follows a conflict with another writer.
func (r *regrouping) handleConflict() {
	r.unlock()
	for _, g := range r.affected {
		if r.controller.state.Groups[g.ID] == g {
			r.controller.checkGroup(g)
		}
	}
	r.done(nil)
}

// handleShardLost follows the loss of the part.
func (r *regrouping) handleShardLost() {
	r.unlock()
	r.done(nil)
}
