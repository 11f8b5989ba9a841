package controller

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
)

// Rolling upgrades. A controller of the release before pipelines would start a
// job at once that awaits others, as it ignores that field of the job's record.
// Such a record may therefore come about only once every controller is known to
// run a release that understands it.
//
// A controller is known to be upgraded when it has said so in a call, or when a
// claim in the store lists it: each claim lists its holder and all controllers
// that the holder knew to be upgraded. An upgraded controller is not replaced by
// an earlier release again, so the knowledge stays true and only grows.
type versionRegistry struct {
	upgraded map[cluster.NodeID]bool
}

func newVersionRegistry(self cluster.NodeID) versionRegistry {
	return versionRegistry{upgraded: map[cluster.NodeID]bool{self: true}}
}

// recordUpgraded adds controllers that are known to be upgraded.
func (r *versionRegistry) recordUpgraded(ids ...cluster.NodeID) {
	for _, id := range ids {
		r.upgraded[id] = true
	}
}

// upgradedNodes names the controllers that are known to be upgraded, sorted.
func (r *versionRegistry) upgradedNodes() []cluster.NodeID {
	return slices.Sorted(maps.Keys(r.upgraded))
}

// supportsDependencies tells whether a controller certainly runs a release that
// knows what awaiting means. What it said last in its present run counts most.
func (c *Controller) supportsDependencies(p *peer) bool {
	if p.lastPingAt > 0 {
		return p.lastPing.FeatureLevel >= dependencyFeatureLevel
	}
	return c.versionRegistry.upgraded[p.id]
}

// allSupportDependencies tells whether a job that awaits others may be
// stored: no controller that could take its part would ignore the field.
func (c *Controller) allSupportDependencies() bool {
	for _, p := range c.peers {
		if !c.supportsDependencies(p) {
			return false
		}
	}
	return true
}
