package membership

import "stairrelay/internal/cluster"

const (
	// livenessWindow is how long a peer counts as alive after a change of its
	// liveness key was seen.
	livenessWindow = 6 * second
	// maxContactAge is how long an unreachable peer counts as alive after it has answered
	// a ping of another peer.
	maxContactAge = 3 * second
	// isolatedFailureTimeout is how long a peer must have been unreachable and must not
	// have written to the store before a node that reaches no peer considers it failed.
	isolatedFailureTimeout = 6 * second
	// isolatedStoreHealthyTime is how long the store must have been available to a node
	// that reaches no peer before this node considers a peer failed. After a shorter time,
	// the node could have missed the peer's writes.
	isolatedStoreHealthyTime = 8 * second
)

// IsFailed reports whether a peer is considered unable to serve its shards. This is the
// case if the peer is unreachable and there is no evidence that it may be alive, or if
// its current ping reports that it can't reach the store or its workers while this node
// reaches the store or its own workers, respectively. The result is false for this node
// and for unknown nodes.
func (m *Members) IsFailed(id cluster.NodeID) bool {
	peer := m.Peer(id)
	switch {
	case peer == nil:
		return false
	case peer.unreachable:
		return !m.mayBeAlive(peer)
	case !peer.hasAnswered || peer.PingAge() > MaxPingAge:
		return false
	}
	return m.reportsUnableToServe(peer)
}

// mayBeAlive reports whether an unreachable peer may still be serving its shards.
func (m *Members) mayBeAlive(peer *Peer) bool {
	// After an outage of the whole network between controllers, the first peers to
	// reconnect would otherwise acquire the shards of those not yet reachable.
	if peer.livenessChangedAt > 0 && m.loop.Now()-peer.livenessChangedAt < livenessWindow {
		return true
	}
	reachesOthers, othersReachIt := m.indirectContact(peer)
	if othersReachIt {
		return true // only the link from this node is down
	}
	// A node that reaches no other peer is probably partitioned itself, so it waits
	// longer and also considers the peer's writes to the store.
	return !reachesOthers && !m.hasStoppedWriting(peer)
}

// indirectContact evaluates the last pings of the other peers. It reports whether this
// node reaches any of them, and whether one of those recently reached the unreachable
// peer.
func (m *Members) indirectContact(peer *Peer) (reachesOthers, othersReachIt bool) {
	reachesOthers = len(m.peers) == 1 // there are no other peers
	for _, other := range m.peers {
		if other == peer || other.unreachable || other.PingAge() > MaxPingAge {
			continue
		}
		reachesOthers = true
		millis, known := other.lastPing.MillisSinceContact[peer.id]
		if known && millis < int64(maxContactAge/millisecond) {
			return true, true
		}
	}
	return reachesOthers, false
}

// hasStoppedWriting reports whether a peer has been unreachable, and no write by it has
// been seen in the store, for longer than isolatedFailureTimeout. The result is false
// while this node may have missed the peer's writes because of a recent outage of the
// store.
func (m *Members) hasStoppedWriting(peer *Peer) bool {
	now := m.loop.Now()
	return now-peer.unreachableSince > isolatedFailureTimeout &&
		now-peer.lastWriteSeenAt > isolatedFailureTimeout &&
		now-m.store.Health.HealthySince > isolatedStoreHealthyTime
}

// reportsUnableToServe reports whether the peer's last ping says that it can't reach the
// store or its workers, while this node reaches the store or its own workers,
// respectively.
//
// This node's own access to the store must be stable. Otherwise the first
// controller to reconnect after an outage would acquire all shards.
func (m *Members) reportsUnableToServe(peer *Peer) bool {
	if !peer.lastPing.StoreReachable && m.store.Health.IsStable(m.loop.Now()) {
		return true
	}
	return !peer.lastPing.WorkersReachable &&
		m.workers.CanReachWorkers() &&
		m.workers.HasHeartbeatWithin(2*m.config.HeartbeatInterval)
}
