package membership

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestUnreachablePeerMayBeAlive checks when an unreachable peer counts as failed, given
// the pings of other peers and the peer's writes to the store.
func TestUnreachablePeerMayBeAlive(t *testing.T) {
	pingFromReachable := func(m *testMembers, contact map[cluster.NodeID]int64) {
		for _, peer := range m.Peers() {
			if !peer.IsUnreachable() {
				ping := healthyPing()
				ping.MillisSinceContact = contact
				m.HandlePingReply(peer, ping, m.loop.Now())
			}
		}
	}
	for _, test := range []struct {
		name    string
		prepare func(*testMembers)
		after   cluster.Time
		want    bool
	}{
		{"others do not reach it", func(m *testMembers) { pingFromReachable(m, nil) }, 0, true},
		{"others reached it too long ago", func(m *testMembers) { pingFromReachable(m, map[cluster.NodeID]int64{"n1": 3000}) }, 0, true},
		{"others reach it", func(m *testMembers) { pingFromReachable(m, map[cluster.NodeID]int64{"n1": 2999}) }, 0, false},
		{"its liveness key has changed", func(m *testMembers) {
			m.Peer("n1").livenessChangedAt = m.loop.Now()
			pingFromReachable(m, nil)
		}, 0, false},
		{"no peer reachable, immediately", func(*testMembers) {}, 0, false},
		{"no peer reachable, after the timeout", func(*testMembers) {}, 7 * second, true},
		{"no peer reachable, recent writes seen", func(m *testMembers) {
			m.Peer("n1").instanceID = "b1"
			m.advance(3 * second)
			m.RecordWrite("b1")
		}, 4 * second, false},
		{"no peer reachable, store healthy only recently", func(m *testMembers) {
			m.store.Health.HealthySince = m.loop.Now()
		}, 7 * second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestMembers()
			peer := m.Peer("n1")
			peer.unreachable, peer.unreachableSince = true, m.loop.Now()
			m.store.Health.HealthySince = second
			test.prepare(m)
			m.advance(test.after)
			if got := m.IsFailed("n1"); got != test.want {
				t.Errorf("failed: %v, want %v", got, test.want)
			}
		})
	}
}
