package membership

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
)

// Rolling upgrades. A controller of the release before pipelines would start a job
// at once that depends on others, as it ignores that field of the job's record.
// Such a record may therefore be stored only once every controller is known to
// run a release that understands it.
//
// A controller is known to be upgraded when a ping of its own has said so, or when a
// shard's claim record lists it: each lists its owner and all controllers that the
// owner knew to be upgraded. An upgraded controller is not replaced by an earlier
// release again, so the knowledge stays true and only grows.

// RecordUpgraded adds controllers that are known to be upgraded.
func (m *Members) RecordUpgraded(ids ...cluster.NodeID) {
	for _, id := range ids {
		m.upgraded[id] = true
	}
}

// UpgradedNodes lists the controllers that are known to be upgraded, sorted; this
// one is among them.
func (m *Members) UpgradedNodes() []cluster.NodeID {
	return slices.Sorted(maps.Keys(m.upgraded))
}

// AllUpgraded tells whether all controllers are certainly upgraded.
func (m *Members) AllUpgraded() bool {
	return !slices.ContainsFunc(m.peers, func(peer *Peer) bool { return !m.isUpgraded(peer) })
}

// isUpgraded tells whether a peer is certainly upgraded. What it said last to this
// process counts most.
func (m *Members) isUpgraded(peer *Peer) bool {
	if peer.lastPingAt > 0 {
		return peer.lastPing.FeatureLevel >= m.config.FeatureLevel
	}
	return m.upgraded[peer.id]
}
