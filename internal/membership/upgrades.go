package membership

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
)

// Rolling upgrades. A controller of a release without job dependencies ignores the
// dependencies in a job's record and would start the job before they are done. A record
// with dependencies may therefore be stored only after all controllers are known to be
// upgraded to a release that supports dependencies.
//
// A controller is known to be upgraded if one of its pings reports the feature level or
// a claim record lists it. A claim record lists the owner and all controllers that the
// owner knew to be upgraded. Controllers are never downgraded, so the set of upgraded
// controllers only grows.

// RecordUpgraded adds controllers to those known to be upgraded.
func (m *Members) RecordUpgraded(ids ...cluster.NodeID) {
	for _, id := range ids {
		m.upgraded[id] = true
	}
}

// UpgradedNodes returns the controllers known to be upgraded, including this one,
// sorted.
func (m *Members) UpgradedNodes() []cluster.NodeID {
	return slices.Sorted(maps.Keys(m.upgraded))
}

// AllUpgraded reports whether all controllers are known to be upgraded.
func (m *Members) AllUpgraded() bool {
	return !slices.ContainsFunc(m.peers, func(peer *Peer) bool { return !m.isUpgraded(peer) })
}

// isUpgraded reports whether a peer is known to be upgraded. Its last ping takes
// precedence over claim records.
func (m *Members) isUpgraded(peer *Peer) bool {
	if peer.lastPingAt > 0 {
		return peer.lastPing.FeatureLevel >= m.config.FeatureLevel
	}
	return m.upgraded[peer.id]
}
