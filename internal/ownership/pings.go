package ownership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// Peer is the recipient of a ping.
type Peer interface {
	ID() cluster.NodeID
	// IsUnreachable reports whether the peer has not answered a ping, its retries and the
	// subsequent probes.
	IsUnreachable() bool
	// IsHealthyFor reports whether the peer has reported for longer than the given
	// duration that it reaches the store and its workers.
	IsHealthyFor(cluster.Time) bool
}

// DescribeOwnership sets the fields of a ping that list the shards this controller
// owns, those of them that it offers back to the peer, and the latest known terms.
func (m *Manager) DescribeOwnership(to Peer, ping *messages.Ping) {
	for _, shard := range m.shards {
		if !shard.Owned {
			continue
		}
		ping.Shards = append(ping.Shards, messages.ShardTerm{Shard: shard.ID, Term: shard.Term})
		if m.offersFailback(shard, to) {
			ping.FailbackOffers = append(ping.FailbackOffers, shard.ID)
		}
	}
	ping.KnownTerms = m.knownTerms()
}

// offersFailback reports whether an owned shard should be offered back to a peer. The
// peer must be the shard's preferred owner and healthy, the shard must be ready and must
// not have changed owners recently, and failbackRelievesLoad must be true.
func (m *Manager) offersFailback(shard *state.Shard, to Peer) bool {
	delay := m.config.FailbackDelay
	return shard.PreferredOwner == to.ID() && shard.Ready &&
		!to.IsUnreachable() && to.IsHealthyFor(delay) &&
		m.loop.Now()-shard.OwnershipChangedAt > delay &&
		m.failbackRelievesLoad(shard)
}

// failbackRelievesLoad reports whether handing back a shard would reduce the load of this
// controller or cost nothing. This is the case if the shard is idle, or if this
// controller owns another shard that is not idle. Otherwise the move would interrupt the
// shard's users and machines and only shift the whole load to another controller.
func (m *Manager) failbackRelievesLoad(returned *state.Shard) bool {
	if isIdle(returned) {
		return true
	}
	for _, other := range m.shards {
		if other != returned && other.Owned && !isIdle(other) {
			return true
		}
	}
	return false
}

// isIdle reports whether a shard has neither jobs nor machines.
func isIdle(shard *state.Shard) bool { return len(shard.Jobs)+len(shard.Machines) == 0 }

// knownTerms returns the latest known term of each shard, indexed by shard ID.
func (m *Manager) knownTerms() []cluster.Term {
	terms := make([]cluster.Term, len(m.shards))
	for id, shard := range m.shards {
		terms[id] = shard.Term
	}
	return terms
}

// ApplyPing updates the shards' ownership from a peer's ping or its reply to one, and
// starts to acquire the shards that this controller should own as a result.
func (m *Manager) ApplyPing(from cluster.NodeID, ping *messages.Ping) {
	for _, owned := range ping.Shards {
		if m.isShardID(owned.Shard) {
			m.applyPeerClaim(from, m.shards[owned.Shard], owned.Term)
		}
	}
	for _, id := range ping.FailbackOffers {
		if m.isShardID(id) {
			m.applyFailbackOffer(from, m.shards[id])
		}
	}
	m.applyTerms(ping.KnownTerms)
	m.AcquireEligibleShards()
}

// applyPeerClaim applies a peer's report that it owns a shard under a term. A later term
// than the known one ends this controller's ownership. Unless an acquisition is in
// flight, it also updates the known owner and triggers a read of the claim record. An
// earlier failback offer of the peer is dropped, as its ping lists the offers that still
// hold.
func (m *Manager) applyPeerClaim(from cluster.NodeID, shard *state.Shard, term cluster.Term) {
	if term > shard.Term && shard.Owned {
		m.HandleDeposed(shard.ID)
	}
	if term > shard.Term && !shard.Acquiring {
		// A ping does not contain the mod revision of the claim record, which the
		// compare-and-swap of an acquisition needs.
		shard.Owner, shard.Term = from, term
		m.RereadClaim(shard)
	}
	shard.FailbackOffered = shard.FailbackOffered && shard.Owner != from
}

// applyFailbackOffer records that a peer offers a shard back. The offer is ignored
// unless the peer owns the shard and this controller is its preferred owner.
func (m *Manager) applyFailbackOffer(from cluster.NodeID, shard *state.Shard) {
	if shard.PreferredOwner == m.config.Self && shard.Owner == from {
		shard.FailbackOffered = true
	}
}

// applyTerms applies the terms that another controller knows, indexed by shard ID. A
// later term ends this controller's ownership of a shard. While this controller cannot
// reach the store, this may be the only evidence of a new owner, and further heartbeat
// responses would keep renewing the leases of the shard's workers.
func (m *Manager) applyTerms(terms []cluster.Term) {
	for id, term := range terms {
		if id < len(m.shards) && m.shards[id].Owned && term > m.shards[id].Term {
			m.HandleDeposed(m.shards[id].ID)
		}
	}
}
