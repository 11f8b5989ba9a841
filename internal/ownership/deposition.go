package ownership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// foreignWriteRetryPause is the pause after the claim record could not be read that
// tells what another controller's write of a shard's record means.
const foreignWriteRetryPause = second / 2

// HandleDeposed is called when a later claim of a shard is known: all that this
// controller knew of the shard is out of date from now on.
func (m *Manager) HandleDeposed(id cluster.ShardID) {
	shard := m.shards[id]
	if !shard.Owned {
		return
	}
	m.loop.Log(messages.LogInfo, "shard lost", "shard", int(id), "term", uint64(shard.Term))
	shard.EndOwnership(m.loop.Now())
	m.changes++
	m.store.DropShard(shard)
	for _, answer := range m.checks[id].takeWaiting() {
		answer(false)
	}
	m.queue.DropShard(id)
	m.RereadClaim(shard)
}

// GiveUpCorrupt gives up a shard whose records were changed in a way that this
// process can't account for: nothing is guessed, the shard is acquired again after
// a pause and read anew. Meanwhile every controller answers from the state service.
func (m *Manager) DropCorruptShard(shard *state.Shard, key, reason string) {
	m.loop.Log(messages.LogError, "corrupt record, shard given up", "shard", int(shard.ID), "key", key, "reason", reason)
	shard.PostponeAcquire(m.loop.Now())
	m.HandleDeposed(shard.ID)
}

// HandleForeignWrite finds out why another writer changed a record of an owned
// shard. Mostly the shard has a new owner of whom this one has not heard; only if it
// still is owned here does the record make no sense.
func (m *Manager) HandleForeignWrite(shard *state.Shard, key, reason string) {
	claim := shard.ClaimRevision
	m.queue.ReadKey(shard.Key(), func(reply messages.GetReply) {
		if !shard.IsOwnedUnder(claim) {
			return
		}
		if reply.Outcome != messages.OK {
			m.loop.After(foreignWriteRetryPause, func() { m.HandleForeignWrite(shard, key, reason) })
			return
		}
		m.ApplyClaim(reply.KV)
		if shard.IsOwnedUnder(claim) {
			m.DropCorruptShard(shard, key, reason)
		}
	})
}
