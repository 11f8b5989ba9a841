package simulation

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
)

// NewUpgradeSimulator makes a cluster whose controllers all run the production
// version, under the limits that the state service has at first. cfg holds the
// lower limits to come, which only the current version knows of.
func NewUpgradeSimulator(seed uint64, cfg controller.Config, before StoreLimits, cloud *FakeCloud, options ...Option) *Simulator {
	s := assemble(seed, cfg, cloud, options)
	s.limitsBeforeUpgrade = before
	for _, node := range s.Nodes {
		node.Version = ProductionVersion
	}
	s.StateService.Limits = before
	s.start()
	return s
}

// LowerStoreLimits brings the lower limits into force: from now on the state
// service refuses what is above them.
func (s *Simulator) LowerStoreLimits() {
	s.StateService.Limits = StoreLimits{WriteRPS: s.config.WriteRPS, ValueBytes: s.config.MaxValueBytes, TxnOps: s.config.MaxTxnOps}
	s.FaultCounts[FaultStoreLimitsLowered]++
}

// Upgrade ends a node's process; the one that is started in its place after a
// while runs the current version.
func (n *Node) Upgrade(downtime cluster.Time) {
	if n.running {
		n.Kill()
	}
	n.Version = CurrentVersion
	n.set.FaultCounts[FaultNodeUpgraded]++
	n.set.After(downtime, n.Start)
}

// IsUpgraded tells whether every node's present or next process is of the current
// version.
func (s *nodeSet) IsUpgraded() bool { return len(s.upgradedNodes()) == len(s.Nodes) }

// current lists the nodes of the current version.
func (s *nodeSet) upgradedNodes() []*Node {
	var current []*Node
	for _, node := range s.Nodes {
		if node.Version == CurrentVersion {
			current = append(current, node)
		}
	}
	return current
}

// randomCurrent draws a node of the current version, or none: users ask nothing
// new of the production version.
func (s *nodeSet) randomUpgradedNode() *Node {
	current := s.upgradedNodes()
	if len(current) == 0 {
		return nil
	}
	return current[s.Rand.IntN(len(current))]
}

// configOf is the configuration that a node's version makes of the settings: the
// production version ignores the lower limits, the current one uses the present
// write rate until it is refused.
func (s *nodeSet) configOf(node *Node) controller.Config {
	cfg := s.config
	cfg.CurrentWriteRPS = s.limitsBeforeUpgrade.WriteRPS
	if node.Version == ProductionVersion {
		cfg.WriteRPS = s.limitsBeforeUpgrade.WriteRPS
		cfg.MaxValueBytes = s.limitsBeforeUpgrade.ValueBytes
		cfg.MaxTxnOps = s.limitsBeforeUpgrade.TxnOps
	}
	return cfg
}
