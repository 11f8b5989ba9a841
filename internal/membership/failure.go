package membership

import "stairrelay/internal/cluster"

const (
	// recoveryWindow is how long a change of an unreachable peer's liveness key
	// shows that the peer serves.
	recoveryWindow = 6 * second
	// contactFreshness is how recent another peer's contact with an unreachable one
	// must be to show that only the link from here is cut.
	contactFreshness = 3 * second
	// isolatedPatience is how long a node that hears no peer waits before it counts
	// an unreachable one as failed, and how long that one's writes must be missing.
	isolatedPatience = 6 * second
	// isolatedStorePatience is how long the state service must have served such a
	// node, so that it would have seen those writes.
	isolatedStorePatience = 8 * second
)

// IsFailed tells whether a node can't own its shards: calls don't reach it and no
// other node hears it either, or it says itself that it can't serve.
func (m *Members) IsFailed(id cluster.NodeID) bool {
	peer := m.Peer(id)
	switch {
	case peer == nil:
		return false
	case peer.unreachable:
		return !m.isSeenAlive(peer)
	case !peer.hasAnswered || peer.PingAge() > MaxPingAge:
		return false
	}
	return m.saysItCannotServe(peer)
}

// isSeenAlive tells whether anything shows that an unreachable peer may serve.
func (m *Members) isSeenAlive(peer *Peer) bool {
	// Where all links between controllers were refused, the first to be heard again
	// would otherwise acquire the shards of those that are not heard yet.
	if peer.recoverySeenAt > 0 && m.loop.Now()-peer.recoverySeenAt < recoveryWindow {
		return true
	}
	hearsOthers, othersHearIt := m.askOthersAbout(peer)
	if othersHearIt {
		return true // only our own link to it is cut
	}
	// A node that hears no other is more likely cut off than the last one alive: it
	// waits longer and takes records being written as a sign of life. After its own
	// partition it must have had the state service for a while to see those.
	return !hearsOthers && !m.isSilentInStore(peer)
}

// askOthersAbout looks at what the other peers say of an unreachable one: whether
// any is heard here, and whether one of those hears it.
func (m *Members) askOthersAbout(peer *Peer) (hearsOthers, othersHearIt bool) {
	hearsOthers = len(m.peers) == 1 // there is no other to hear
	for _, other := range m.peers {
		if other == peer || other.unreachable || other.PingAge() > MaxPingAge {
			continue
		}
		hearsOthers = true
		millis, known := other.lastPing.MillisSinceContact[peer.id]
		if known && millis < int64(contactFreshness/millisecond) {
			return true, true
		}
	}
	return hearsOthers, false
}

// isSilentInStore tells whether the state service has shown no write of an
// unreachable peer for so long that it must have stopped.
func (m *Members) isSilentInStore(peer *Peer) bool {
	now := m.loop.Now()
	return now-peer.unreachableSince > isolatedPatience &&
		now-peer.lastWriteSeenAt > isolatedPatience &&
		now-m.store.Health.HealthySince > isolatedStorePatience
}

// saysItCannotServe tells whether a peer says that it has lost the state service or
// its workers, while this node has them.
//
// The state service counts as lost to the peer alone only if it has served this
// node all along: after an outage the first node to be served would otherwise
// acquire all shards. What an idle controller heard of it long ago says nothing.
func (m *Members) saysItCannotServe(peer *Peer) bool {
	if !peer.lastPing.StoreReachable && m.store.Health.IsStable(m.loop.Now()) {
		return true
	}
	return !peer.lastPing.WorkersReachable &&
		m.workers.CanReachWorkers() &&
		m.workers.HasHeartbeatWithin(2*m.config.HeartbeatInterval)
}
