package controller

import (
	"slices"

	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// stallThreshold is the number of consecutive calls of checkShardProgress after which a
// shard that has made no progress is logged. The shard is logged again after every
// stallThreshold further calls without progress.
const stallThreshold = 15

// shardProgress tracks for how long a shard has made no progress. A shard makes no
// progress if no controller serves it, or if its owner starts none of the tasks that it
// could start or stores none of its pending writes.
type shardProgress struct {
	stalledChecks      int    // consecutive checks without progress
	plannedStarts      uint64 // shard.TotalAttemptCount at the last check
	storedTransactions uint64 // shard.StoredTransactions at the last check
}

// stallReason is the reason why a shard makes no progress, as logged. It is empty if the
// shard is not stalled.
type stallReason string

const (
	stallNone     stallReason = ""
	stallNoOwner  stallReason = "no owner serves it"
	stallNoStarts stallReason = "waiting tasks fit on its machines and none is started"
	stallNoWrites stallReason = "its writes are not stored"
)

// checkShardProgress updates the progress of all shards and logs stalled ones. It is
// called once per CheckpointInterval.
func (c *Controller) checkShardProgress() {
	for _, shard := range c.state.Shards {
		c.recordShardProgress(shard, c.shardStallReason(shard))
	}
}

// recordShardProgress records the result of a check. It counts consecutive checks without
// progress, and logs the shard each time the count reaches a multiple of stallThreshold.
func (c *Controller) recordShardProgress(shard *state.Shard, reason stallReason) {
	progress := &c.progress[shard.ID]
	progress.plannedStarts, progress.storedTransactions = shard.TotalAttemptCount, shard.StoredTransactions
	if reason == stallNone {
		progress.stalledChecks = 0
		return
	}
	if progress.stalledChecks++; progress.stalledChecks%stallThreshold != 0 {
		return
	}
	c.loop.Log(messages.LogInfo, "shard makes no progress",
		"shard", int(shard.ID),
		"reason", string(reason),
		"checkpoints", progress.stalledChecks,
		"owner", string(shard.Owner),
		"acquiring", shard.Acquiring)
}

// shardStallReason returns why a shard makes no progress, as far as this controller
// knows. The result is stallNone if the shard is not stalled, or while the store is
// unavailable.
func (c *Controller) shardStallReason(shard *state.Shard) stallReason {
	switch {
	case c.writeQueue.IsUnavailableFor(second): // without the store, progress can neither be made nor observed
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

// isServedByPeer reports whether a shard's owner is a peer that serves it. A peer whose
// last ping is recent must list the shard in that ping. A peer without a recent ping must
// not be considered failed.
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

// hasStalledWrites reports whether writes of the shard's group records are pending and no
// transaction of the shard was stored since the last check.
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

// hasStalledStarts reports whether pending tasks fit on the shard's machines and no start
// was planned since the last check.
func (c *Controller) hasStalledStarts(shard *state.Shard) bool {
	return shard.TotalAttemptCount == c.progress[shard.ID].plannedStarts && c.scheduler.HasStartableTasks(shard)
}

// stalledShardCount returns the number of shards that have made no progress for at least
// stallThreshold checks.
func (c *Controller) stalledShardCount() int {
	stalled := 0
	for _, shard := range c.state.Shards {
		if c.progress[shard.ID].stalledChecks >= stallThreshold {
			stalled++
		}
	}
	return stalled
}
