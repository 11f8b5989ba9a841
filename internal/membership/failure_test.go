package membership

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestUnreachablePeerSeenAlive: an unreachable peer counts as failed unless another
// peer hears it, or the state service shows that it lives; a node that hears nobody
// waits longer.
func TestUnreachablePeerSeenAlive(t *testing.T) {
	hearsAll := func(m *testMembers, contact map[cluster.NodeID]int64) {
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
		{"others do not hear it", func(m *testMembers) { hearsAll(m, nil) }, 0, true},
		{"others heard it long ago", func(m *testMembers) { hearsAll(m, map[cluster.NodeID]int64{"n1": 3000}) }, 0, true},
		{"others hear it", func(m *testMembers) { hearsAll(m, map[cluster.NodeID]int64{"n1": 2999}) }, 0, false},
		{"its liveness key has changed", func(m *testMembers) {
			m.Peer("n1").recoverySeenAt = m.loop.Now()
			hearsAll(m, nil)
		}, 0, false},
		{"nobody is heard, at once", func(*testMembers) {}, 0, false},
		{"nobody is heard for a while", func(*testMembers) {}, 7 * second, true},
		{"nobody is heard, and its writes are seen", func(m *testMembers) {
			m.Peer("n1").instanceID = "b1"
			m.advance(3 * second)
			m.RecordWrite("b1")
		}, 4 * second, false},
		{"nobody is heard, and the state service serves since a moment", func(m *testMembers) {
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
