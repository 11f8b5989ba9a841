package ownership

import (
	"encoding/json"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// AcquireEligibleShards starts to acquire every shard that this controller should own and
// does not own yet.
func (m *Manager) AcquireEligibleShards() {
	for _, shard := range m.shards {
		m.AcquireIfEligible(shard)
	}
}

// AcquireIfEligible starts to acquire a shard if this controller should own it. It does
// nothing while an acquisition is in flight or postponed, before the claim record was
// read, or while the store is unavailable. The decision is not safety-critical. An
// unnecessary acquisition only interrupts the service of the shard, because the
// compare-and-swap on the claim record and the fencing tokens exclude the previous owner.
func (m *Manager) AcquireIfEligible(shard *state.Shard) {
	if shard.Owned || shard.Acquiring || !shard.RecordRead || m.loop.Now() < shard.AcquireNotBefore {
		return
	}
	if m.isStoreUnavailable() {
		return // the write would stay queued during the outage and could then depose a recovered owner
	}
	if m.shouldOwn(shard) {
		m.Acquire(shard)
	}
}

// shouldOwn reports whether this controller should acquire a shard that has no
// owner or is owned by another controller or by an earlier process of this one.
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

// isFailoverTarget reports whether a node has failed and this controller is its
// first successor in the ring that has not failed.
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

// Acquire enqueues a compare-and-swap of a shard's claim record that makes this
// controller the owner. Once it is applied, this controller owns the shard and loads its
// records, unless a later claim is known by then. After a conflict the claim record is
// read again.
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
				return // a later claim is already known
			}
			m.beginOwnership(shard, term, claim, previousOwner)
		},
		OnConflict: func() {
			shard.Acquiring = false
			m.RereadClaim(shard)
		},
	})
}

// beginOwnership records a successful acquisition and starts to load the shard.
func (m *Manager) beginOwnership(shard *state.Shard, term cluster.Term, claim cluster.Revision, previousOwner cluster.NodeID) {
	shard.BeginOwnership(m.config.Self, term, claim, m.loop.Now())
	m.loop.Log(messages.LogInfo, "shard acquired",
		"shard", int(shard.ID),
		"term", uint64(term),
		"previous_owner", string(previousOwner))
	m.loader.LoadShard(shard)
}
