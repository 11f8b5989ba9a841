package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// storeUnreachableAfter is how long the store must be unavailable before this
	// controller's pings and health checks report it as unreachable.
	storeUnreachableAfter = 2500 * millisecond
	// startupGracePeriod is how long a new process reports the store as reachable
	// before its first successful request. Otherwise a peer could acquire the shards of
	// a process that restarts quickly.
	startupGracePeriod = 3 * second
	// storeProbeWindow is how long this controller probes the store after a peer has
	// reported that the store is failing.
	storeProbeWindow = 3 * second
)

// IsStoreUnreachable reports whether the store has been unavailable to this
// controller for longer than storeUnreachableAfter.
func (m *Members) IsStoreUnreachable() bool { return m.store.IsUnavailableFor(storeUnreachableAfter) }

// MakePing returns the ping to send to a peer, either as a request or as the response to
// the peer's ping.
func (m *Members) MakePing(to *Peer) *messages.Ping {
	ping := &messages.Ping{
		InstanceID:         m.config.InstanceID,
		StoreReachable:     !m.IsStoreUnreachable() && (m.store.Health.LastSuccess > 0 || m.loop.Now() < startupGracePeriod),
		StoreFailing:       m.store.Health.IsFailing(),
		WorkersReachable:   m.workers.CanReachWorkers(),
		MillisSinceContact: map[cluster.NodeID]int64{},
		WriteDemand:        m.store.Demand(),
		FeatureLevel:       m.config.FeatureLevel,
	}
	for _, peer := range m.peers {
		if peer.hasAnswered {
			ping.MillisSinceContact[peer.id] = int64((m.loop.Now() - peer.lastReplyAt) / millisecond)
		}
	}
	m.host.DescribeShards(to, ping)
	return ping
}

// HandlePing updates the state of a peer from a ping that the peer has sent, and passes
// the ping to the host. If the ping is invalid, HandlePing ignores it and returns a
// *PingError.
func (m *Members) HandlePing(from *Peer, ping *messages.Ping) error {
	if err := m.checkPing(from, ping); err != nil {
		return err
	}
	m.applyPing(from, ping)
	return nil
}

// HandlePingReply handles a peer's valid reply to a ping sent at sentAt. It records that
// the peer is reachable, handles the reply like a ping, and records the reply as the
// peer's last acknowledgement. A ping sent by the peer is no acknowledgement, because it
// may have been delayed for an unknown time.
func (m *Members) HandlePingReply(from *Peer, ping *messages.Ping, sentAt cluster.Time) {
	from.hasAnswered, from.lastReplyAt, from.suspected = true, m.loop.Now(), false
	if from.unreachable {
		from.unreachable = false
		m.loop.Log(messages.LogInfo, "peer reachable again", "node", string(from.id))
		m.handleReachabilityChange()
	}
	m.applyPing(from, ping)
	from.acknowledgement.SentAt, from.acknowledgement.Terms = sentAt, ping.KnownTerms
}

// applyPing updates a peer's state from its ping or reply, and passes the ping or reply
// to the host. If the peer reports that the store is failing or unreachable, this
// controller probes the store for storeProbeWindow.
func (m *Members) applyPing(from *Peer, ping *messages.Ping) {
	from.recordPing(ping)
	if ping.FeatureLevel >= m.config.FeatureLevel {
		m.RecordUpgraded(from.id)
	}
	if ping.StoreFailing || !ping.StoreReachable {
		m.store.Health.ProbeUntil = m.loop.Now() + storeProbeWindow
	}
	m.host.HandlePing(from, ping)
}
