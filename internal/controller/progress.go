package controller

import (
	"slices"

	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// stallThreshold is how many checkpoints in a row a part may go without
// progress before operators are told, and again after as many more.
const stallThreshold = 15

// shardProgress counts for how long a part has not been served, so that operators
// learn of a state that no failure detector sees: every controller is alive, yet
// nobody holds the part, or its holder gets nowhere with it.
type shardProgress struct {
	stalledCheckpoints int    // checkpoints in a row
	plannedStarts      uint64 // starts planned, as of the last checkpoint
	storedTransactions uint64 // transactions stored, as of then
}

// stallReason says in what way a part is not served.
type stallReason string

const (
	stallNone     stallReason = ""
	stallNoOwner  stallReason = "nobody serves it"
	stallNoStarts stallReason = "waiting tasks fit on its machines and none is started"
	stallNoWrites stallReason = "its writes are not stored"
)

// checkShardProgress notes at each checkpoint which parts are served.
func (c *Controller) checkShardProgress() {
	for _, p := range c.state.Shards {
		c.recordShardProgress(p, c.shardStallReason(p))
	}
}

// recordShardProgress counts the checkpoints without progress, and logs each time that
// there were too many.
func (c *Controller) recordShardProgress(p *state.Shard, why stallReason) {
	state := &c.progress[p.ID]
	state.plannedStarts, state.storedTransactions = p.PlannedStarts, p.StoredTransactions
	if why == stallNone {
		state.stalledCheckpoints = 0
		return
	}
	if state.stalledCheckpoints++; state.stalledCheckpoints%stallThreshold != 0 {
		return
	}
	c.loop.Log(messages.LogInfo, "part makes no progress",
		"part", int(p.ID),
		"why", string(why),
		"checkpoints", state.stalledCheckpoints,
		"holder", string(p.Owner),
		"claiming", p.Acquiring)
}

// shardStallReason says whether a part is served, as far as this controller knows.
func (c *Controller) shardStallReason(p *state.Shard) stallReason {
	switch {
	case c.writeQueue.IsUnavailableFor(second): // nobody can get on with anything
		return stallNone
	case !p.Owned:
		if c.isServedByPeer(p) {
			return stallNone
		}
		return stallNoOwner
	case !p.Ready:
		return stallNoOwner
	case c.hasStalledWrites(p):
		return stallNoWrites
	case c.hasStalledStarts(p):
		return stallNoStarts
	}
	return stallNone
}

// isServedByPeer tells whether the part's holder says that it holds it, or is
// alive though its word does not come through.
func (c *Controller) isServedByPeer(p *state.Shard) bool {
	owner := c.members.Peer(p.Owner)
	if owner == nil {
		return false
	}
	if owner.PingAge() > membership.PingFreshness {
		return !c.members.IsFailed(p.Owner)
	}
	return slices.ContainsFunc(owner.LastPing().Shards, func(held messages.ShardTerm) bool { return held.Shard == p.ID })
}

// hasStalledWrites tells whether records of the part's machines wait to be stored,
// and nothing of the part was stored since the last checkpoint.
func (c *Controller) hasStalledWrites(p *state.Shard) bool {
	if p.StoredTransactions != c.progress[p.ID].storedTransactions {
		return false
	}
	for _, g := range c.state.Groups {
		if g.ShardID == p.ID && g.WritePending {
			return true
		}
	}
	return false
}

// hasStalledStarts tells whether waiting tasks fit on the part's machines, and none
// was given one since the last checkpoint.
func (c *Controller) hasStalledStarts(p *state.Shard) bool {
	return p.PlannedStarts == c.progress[p.ID].plannedStarts && c.scheduler.HasStartableTasks(p)
}

// stalledShardCount counts the parts that have not been served for so long that
// operators were told.
func (c *Controller) stalledShardCount() int {
	stalled := 0
	for _, p := range c.state.Shards {
		if c.progress[p.ID].stalledCheckpoints >= stallThreshold {
			stalled++
		}
	}
	return stalled
}
