package simulation

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
)

// NewUpgradeSimulator returns a simulated cluster in which all controllers run the
// production version. The store initially enforces the limits in before; cfg holds
// the lower limits that follow, which only the current version supports.
func NewUpgradeSimulator(seed uint64, cfg controller.Config, before StoreLimits, cloud *FakeCloud, options ...Option) *Simulator {
	s := assemble(seed, cfg, cloud, options)
	s.limitsBeforeUpgrade = before
	for _, node := range s.Nodes {
		node.Version = ProductionVersion
	}
	s.Store.Limits = before
	s.start()
	return s
}

// LowerStoreLimits makes the store enforce the lower limits of the configuration.
func (s *Simulator) LowerStoreLimits() {
	s.Store.Limits = StoreLimits{WriteRPS: s.config.WriteRPS, ValueBytes: s.config.MaxValueBytes, TxnOps: s.config.MaxTxnOps}
	s.FaultCounts[FaultStoreLimitsLowered]++
}

// Upgrade kills the node's process and starts one of the current version after the
// downtime.
func (n *Node) Upgrade(downtime cluster.Time) {
	if n.running {
		n.Kill()
	}
	n.Version = CurrentVersion
	n.set.FaultCounts[FaultNodeUpgraded]++
	n.set.After(downtime, n.Start)
}

// IsUpgraded reports whether all nodes run the current version, or will run it once they
// have been started.
func (s *nodeSet) IsUpgraded() bool { return len(s.upgradedNodes()) == len(s.Nodes) }

// upgradedNodes returns the nodes with the current version.
func (s *nodeSet) upgradedNodes() []*Node {
	var current []*Node
	for _, node := range s.Nodes {
		if node.Version == CurrentVersion {
			current = append(current, node)
		}
	}
	return current
}

// randomUpgradedNode returns a random node with the current version, or nil if there
// is none. Users send requests with new features only to such nodes.
func (s *nodeSet) randomUpgradedNode() *Node {
	current := s.upgradedNodes()
	if len(current) == 0 {
		return nil
	}
	return current[s.Rand.IntN(len(current))]
}

// configOf returns the configuration of a node. The production version ignores the
// lower limits. The current version starts with the write rate in force before the
// upgrade and lowers it when writes are throttled.
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
