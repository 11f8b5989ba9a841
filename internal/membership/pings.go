package membership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// storeUnreachableAfter is how long the state service may not serve this
	// controller before its pings and health checks say so.
	storeUnreachableAfter = 2500 * millisecond
	// startupGrace is how long a new process may take to reach the state service
	// before it counts as unable to: one that is back within a fraction of a second
	// should acquire its own shard again, not lose it to the peer that it tells so.
	startupGrace = 3 * second
	// storeProbeWindow is how long this controller keeps in touch with the state
	// service after a peer has said that it is not served.
	storeProbeWindow = 3 * second
)

// HasLostStore tells whether the state service has not served this controller for
// so long that others should know.
func (m *Members) IsStoreUnreachable() bool { return m.store.IsUnavailableFor(storeUnreachableAfter) }

// MakePing makes a ping, or the answer to one.
func (m *Members) MakePing(to *Peer) *messages.Ping {
	ping := &messages.Ping{
		InstanceID:         m.config.InstanceID,
		StoreReachable:     !m.IsStoreUnreachable() && (m.store.Health.LastSuccess > 0 || m.loop.Now() < startupGrace),
		StoreFailing:       m.store.Health.IsFailing(),
		WorkersReachable:   m.workers.CanReachWorkers(),
		MillisSinceContact: map[cluster.NodeID]int64{},
		WriteDemand:        m.store.Demand(),
		FeatureLevel:       m.config.FeatureLevel,
	}
	for _, peer := range m.peers {
		if peer.hasAnswered {
			ping.MillisSinceContact[peer.id] = int64((m.loop.Now() - peer.lastAnswerAt) / millisecond)
		}
	}
	m.host.DescribeShards(to, ping)
	return ping
}

// HandlePing takes in a peer's own ping. An invalid one is refused with a
// *PingError.
func (m *Members) HandlePing(from *Peer, ping *messages.Ping) error {
	if err := m.checkPing(from, ping); err != nil {
		return err
	}
	m.applyPing(from, ping)
	return nil
}

// HandlePingReply takes in a peer's valid answer to a ping that was sent at a time.
// Only answers acknowledge terms: a peer's own pings may have been held up for
// minutes.
func (m *Members) HandlePingReply(from *Peer, ping *messages.Ping, sentAt cluster.Time) {
	from.hasAnswered, from.lastAnswerAt, from.suspected = true, m.loop.Now(), false
	if from.unreachable {
		from.unreachable = false
		m.loop.Log(messages.LogInfo, "peer reachable again", "node", string(from.id))
		m.handleReachabilityChange()
	}
	m.applyPing(from, ping)
	from.acknowledgement.SentAt, from.acknowledgement.Terms = sentAt, ping.KnownTerms
}

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
