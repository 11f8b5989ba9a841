package ownership

import (
	"encoding/json"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// ConsiderAcquires considers for each shard whether this controller should acquire
// it.
func (m *Manager) ConsiderAcquires() {
	for _, shard := range m.shards {
		m.ConsiderAcquire(shard)
	}
}

// ConsiderAcquire acquires a shard if this controller should own it. Nothing here
// is needed for safety: a wrong acquire costs a pause, never a rule.
func (m *Manager) ConsiderAcquire(shard *state.Shard) {
	if shard.Owned || shard.Acquiring || !shard.RecordRead || m.loop.Now() < shard.AcquireNotBefore {
		return
	}
	if m.isStoreOut() {
		return // an acquire that waited for the end of the outage could depose an owner that is back
	}
	if m.shouldOwn(shard) {
		m.Acquire(shard)
	}
}

// shouldOwn tells whether this controller should own a shard that another one, an
// earlier process of this one, or nobody owns.
func (m *Manager) shouldOwn(shard *state.Shard) bool {
	self := m.config.Self
	switch {
	case shard.Owner == self: // acquired by an earlier process
		return true
	case shard.Owner == "" && shard.PreferredOwner == self:
		return true
	case shard.Owner == "":
		return m.isFailoverTarget(shard.PreferredOwner)
	case !shard.IsBackoffOver(m.loop.Now()):
		return false
	case shard.PreferredOwner == self && shard.FailbackOffered:
		return true
	}
	return m.isFailoverTarget(shard.Owner)
}

// isFailoverTarget tells whether a node has failed, and this one is the first in
// the ring after it that has not.
func (m *Manager) isFailoverTarget(failed cluster.NodeID) bool {
	if !m.peers.IsFailed(failed) {
		return false
	}
	nodes := m.config.Nodes
	position := max(slices.Index(nodes, failed), 0)
	for offset := 1; offset < len(nodes); offset++ {
		next := nodes[(position+offset)%len(nodes)]
		if next == m.config.Self {
			return true
		}
		if !m.peers.IsFailed(next) {
			return false
		}
	}
	return false
}

// Acquire writes a claim record of this controller's on condition that the shard's
// present one has not changed.
func (m *Manager) Acquire(shard *state.Shard) {
	shard.Acquiring = true
	previousOwner, term := shard.Owner, shard.Term+1
	m.queue.Enqueue(writequeue.PriorityClaim, &writequeue.Write{
		ShardID: shard.ID,
		Keys:    []string{shard.Key()},
		Build: func(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
			value, _ := json.Marshal(ClaimRecord{
				Owner:    m.config.Self,
				Term:     term,
				WriteID:  writeID,
				Upgraded: m.peers.UpgradedNodes(),
			})
			return []messages.TxnOp{{Key: shard.Key(), Value: value}}, []cluster.ModRevision{shard.ModRevision}
		},
		OnApplied: func(claim cluster.Revision) {
			shard.Acquiring = false
			if cluster.ModRevision(claim) < shard.ModRevision {
				return // deposed already
			}
			m.beginOwnership(shard, term, claim, previousOwner)
		},
		OnConflict: func() {
			shard.Acquiring = false
			m.RereadClaim(shard)
		},
	})
}

// beginOwnership begins to load a shard that was acquired.
func (m *Manager) beginOwnership(shard *state.Shard, term cluster.Term, claim cluster.Revision, previousOwner cluster.NodeID) {
	shard.BeginOwnership(m.config.Self, term, claim, m.loop.Now())
	m.loop.Log(messages.LogInfo, "shard acquired",
		"shard", int(shard.ID),
		"term", uint64(term),
		"previous_owner", string(previousOwner))
	m.store.LoadShard(shard)
}
