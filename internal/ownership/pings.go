package ownership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// Peer is another controller that a ping goes to.
type Peer interface {
	ID() cluster.NodeID
	// IsUnreachable tells whether the peer does not answer calls.
	IsUnreachable() bool
	// IsHealthyFor tells whether the peer has said for longer than a time that it
	// reaches the state service and its workers.
	IsHealthyFor(cluster.Time) bool
}

// DescribeOwnership adds to a ping which shards this controller owns, which of them
// it offers to hand back to the peer, and the latest terms that it knows.
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

// offersFailback tells whether a peer may acquire a shard that it is the preferred
// owner of: both have been settled for a while.
func (m *Manager) offersFailback(shard *state.Shard, to Peer) bool {
	delay := m.config.FailbackDelay
	return shard.PreferredOwner == to.ID() && shard.Ready &&
		!to.IsUnreachable() && to.IsHealthyFor(delay) &&
		m.loop.Now()-shard.OwnershipChangedAt > delay &&
		m.failbackRelievesLoad(shard)
}

// failbackRelievesLoad tells whether handing a shard back would take work off this
// controller that it does beside other work. A shard that has all the work would
// only change owners: its machines and users would wait for that for nothing.
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

// isIdle tells whether a shard has neither jobs nor machines.
func isIdle(shard *state.Shard) bool { return len(shard.Jobs)+len(shard.Machines) == 0 }

// knownTerms lists the latest terms known here, by shard.
func (m *Manager) knownTerms() []cluster.Term {
	terms := make([]cluster.Term, len(m.shards))
	for number, shard := range m.shards {
		terms[number] = shard.Term
	}
	return terms
}

// ApplyPing takes in what a peer's ping, or its answer to one, says of the shards'
// owners, and acquires what should be owned here after that.
func (m *Manager) ApplyPing(from cluster.NodeID, ping *messages.Ping) {
	for _, owned := range ping.Shards {
		if m.isNumber(owned.Shard) {
			m.applyPeerClaim(from, m.shards[owned.Shard], owned.Term)
		}
	}
	for _, id := range ping.FailbackOffers {
		if m.isNumber(id) {
			m.applyFailbackOffer(from, m.shards[id])
		}
	}
	m.applyTerms(ping.KnownTerms)
	m.AcquireEligibleShards()
}

// applyPeerClaim takes in that a peer says that it owns a shard under a term.
func (m *Manager) applyPeerClaim(from cluster.NodeID, shard *state.Shard, term cluster.Term) {
	if term > shard.Term && shard.Owned {
		m.HandleDeposed(shard.ID)
	}
	if term > shard.Term && !shard.Acquiring {
		// The claim's mod revision is not in the ping, so the claim record has to be
		// read before an acquire from here can succeed.
		shard.Owner, shard.Term = from, term
		m.RereadClaim(shard)
	}
	shard.FailbackOffered = shard.FailbackOffered && shard.Owner != from
}

// applyFailbackOffer takes in that the owner of a shard would hand it back to this
// controller, if that is its preferred owner.
func (m *Manager) applyFailbackOffer(from cluster.NodeID, shard *state.Shard) {
	if shard.PreferredOwner == m.config.Self && shard.Owner == from {
		shard.FailbackOffered = true
	}
}

// applyTerms takes in what another controller knows of the shards' terms. A later
// one is enough to give a shard up: while the state service is out of reach here,
// nothing else would tell, and the workers would be kept by answers that have no
// validity.
func (m *Manager) applyTerms(terms []cluster.Term) {
	for number, term := range terms {
		if number < len(m.shards) && m.shards[number].Owned && term > m.shards[number].Term {
			m.HandleDeposed(m.shards[number].ID)
		}
	}
}
