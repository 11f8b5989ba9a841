package controller

import (
	"slices"

	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// stallThreshold is how many checkpoints in a row a shard may go without
// progress before it is logged, and again after as many more.
const stallThreshold = 15

// shardProgress counts for how long a shard has not been served, so that operators
// learn of a state that no failure detector sees: every controller is alive, yet
// nobody owns the shard, or its owner makes no progress with it.
type shardProgress struct {
	stalledCheckpoints int    // checkpoints in a row
	plannedStarts      uint64 // starts planned, as of the last checkpoint
	storedTransactions uint64 // transactions stored, as of then
}

// stallReason says in what way a shard is not served.
type stallReason string

const (
	stallNone     stallReason = ""
	stallNoOwner  stallReason = "no owner serves it"
	stallNoStarts stallReason = "waiting tasks fit on its machines and none is started"
	stallNoWrites stallReason = "its writes are not stored"
)

// checkShardProgress notes at each checkpoint which shards are served.
func (c *Controller) checkShardProgress() {
	for _, shard := range c.state.Shards {
		c.recordShardProgress(shard, c.shardStallReason(shard))
	}
}

// recordShardProgress counts the checkpoints without progress, and logs each time that
// there were too many.
func (c *Controller) recordShardProgress(shard *state.Shard, reason stallReason) {
	progress := &c.progress[shard.ID]
	progress.plannedStarts, progress.storedTransactions = shard.PlannedStarts, shard.StoredTransactions
	if reason == stallNone {
		progress.stalledCheckpoints = 0
		return
	}
	if progress.stalledCheckpoints++; progress.stalledCheckpoints%stallThreshold != 0 {
		return
	}
	c.loop.Log(messages.LogInfo, "shard makes no progress",
		"shard", int(shard.ID),
		"reason", string(reason),
		"checkpoints", progress.stalledCheckpoints,
		"owner", string(shard.Owner),
		"acquiring", shard.Acquiring)
}

// shardStallReason says whether a shard is served, as far as this controller knows.
func (c *Controller) shardStallReason(shard *state.Shard) stallReason {
	switch {
	case c.writeQueue.IsUnavailableFor(second): // nobody can get on with anything
		return stallNone
	case !shard.Owned:
		if c.isServedByPeer(shard) {
			return stallNone
		}
		return stallNoOwner
	case !shard.Ready:
		return stallNoOwner
	case c.hasStalledWrites(shard):
		return stallNoWrites
	case c.hasStalledStarts(shard):
		return stallNoStarts
	}
	return stallNone
}

// isServedByPeer tells whether the shard's owner says that it owns it, or is
// alive though its pings do not arrive.
func (c *Controller) isServedByPeer(shard *state.Shard) bool {
	owner := c.members.Peer(shard.Owner)
	if owner == nil {
		return false
	}
	if owner.PingAge() > membership.MaxPingAge {
		return !c.members.IsFailed(shard.Owner)
	}
	return slices.ContainsFunc(owner.LastPing().Shards, func(owned messages.ShardTerm) bool { return owned.Shard == shard.ID })
}

// hasStalledWrites tells whether records of the shard's machines wait to be stored,
// and nothing of the shard was stored since the last checkpoint.
func (c *Controller) hasStalledWrites(shard *state.Shard) bool {
	if shard.StoredTransactions != c.progress[shard.ID].storedTransactions {
		return false
	}
	for _, group := range c.state.Groups {
		if group.ShardID == shard.ID && group.WritePending {
			return true
		}
	}
	return false
}

// hasStalledStarts tells whether waiting tasks fit on the shard's machines, and none
// was given one since the last checkpoint.
func (c *Controller) hasStalledStarts(shard *state.Shard) bool {
	return shard.PlannedStarts == c.progress[shard.ID].plannedStarts && c.scheduler.HasStartableTasks(shard)
}

// stalledShardCount counts the shards that have not been served for so long that
// it was logged.
func (c *Controller) stalledShardCount() int {
	stalled := 0
	for _, shard := range c.state.Shards {
		if c.progress[shard.ID].stalledCheckpoints >= stallThreshold {
			stalled++
		}
	}
	return stalled
}
