package ownership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// foreignWriteRetryDelay is the delay before HandleForeignWrite retries a failed read
// of the claim record.
const foreignWriteRetryDelay = second / 2

// HandleDeposed ends this controller's ownership of a shard because a later claim
// exists or a record is corrupt. It drops the shard's state, which is stale from now
// on, fails pending ownership checks and queued writes, and reads the claim record.
// It does nothing if the shard is not owned.
func (m *Manager) HandleDeposed(id cluster.ShardID) {
	shard := m.shards[id]
	if !shard.Owned {
		return
	}
	m.loop.Log(messages.LogInfo, "shard ownership lost", "shard", int(id), "term", uint64(shard.Term))
	shard.EndOwnership(m.loop.Now())
	m.changes++
	m.loader.DropShard(shard)
	for _, handle := range m.checks[id].takeCallbacks() {
		handle(false)
	}
	m.queue.DropShard(id)
	m.RereadClaim(shard)
}

// DropCorruptShard drops an owned shard that has an invalid or unexpectedly modified
// record. The record is not repaired. The shard is acquired again after a delay and its
// records are reloaded. Until then all controllers answer requests for the shard
// from the store.
func (m *Manager) DropCorruptShard(shard *state.Shard, key, reason string) {
	m.loop.Log(messages.LogError, "corrupt record; dropping the shard and reloading it after a delay", "shard", int(shard.ID), "key", key, "reason", reason)
	shard.PostponeAcquisition(m.loop.Now())
	m.HandleDeposed(shard.ID)
}

// HandleForeignWrite handles a record of an owned shard that another writer has modified.
// Usually the shard has a new owner that this controller does not know of yet, so the
// claim record is read first, and a failed read is retried. If this controller still owns
// the shard, the modified record counts as corrupt and the shard is dropped.
func (m *Manager) HandleForeignWrite(shard *state.Shard, key, reason string) {
	claim := shard.ClaimRevision
	m.queue.ReadKey(shard.Key(), func(reply messages.GetReply) {
		if !shard.IsOwnedUnder(claim) {
			return
		}
		if reply.Outcome != messages.OK {
			m.loop.After(foreignWriteRetryDelay, func() { m.HandleForeignWrite(shard, key, reason) })
			return
		}
		m.ApplyClaim(reply.KV)
		if shard.IsOwnedUnder(claim) {
			m.DropCorruptShard(shard, key, reason)
		}
	})
}
