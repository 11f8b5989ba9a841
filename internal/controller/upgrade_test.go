package controller_test

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/simulation"
)

// limitsBeforeUpgrade are the limits of the store until they are lowered to those of
// upgradeConfig, which happens after the upgrade of the last controllers has begun.
var limitsBeforeUpgrade = simulation.StoreLimits{WriteRPS: 40, ValueBytes: 4096, TxnOps: 12}

func upgradeConfig() controller.Config {
	cfg := testConfig()
	cfg.WriteRPS, cfg.MaxValueBytes, cfg.MaxTxnOps = 25, 2048, 8
	return cfg
}

// requiredUpgradeFaults are the kinds of faults that must occur in the upgrades.
var requiredUpgradeFaults = []simulation.FaultKind{
	simulation.FaultNodeUpgraded,
	faultOldNodeRestarted,
	faultOldNodeKilledAtAcquire,
	faultUpgradedTogether,
	faultOldNodePartitioned,
	simulation.FaultStoreLimitsLowered,
	faultWriteAboveLoweredRate,
	simulation.FaultDependentRejectedInUpgrade,
	simulation.FaultDependentStarted,
}

// TestRollingUpgrade checks that no invariant is violated during a rolling upgrade from
// the production version under faults and after the store's limits are lowered.
func TestRollingUpgrade(t *testing.T) {
	from, to := seedRange(t, 1, 12)
	var seen faultTotals
	t.Run("seeds", func(t *testing.T) {
		forEachSeed(t, from, to, func(t *testing.T, seed uint64) {
			t.Helper()
			seen.add(simulateUpgrade(t, seed))
		})
	})
	seen.check(t, requiredUpgradeFaults, to-from >= 10)
}

// simulateUpgrade simulates a cluster during an upgrade and returns how often each kind
// of fault occurred. It makes the checks of runWithFaults, and checks that all
// controllers are upgraded and that no transaction exceeds the size limits that the
// settings announce.
func simulateUpgrade(t *testing.T, seed uint64, options ...simulation.Option) map[simulation.FaultKind]int {
	t.Helper()
	cfg := upgradeConfig()
	var sim *simulation.Simulator
	cloud := testCloud(func() *simulation.Simulator { return sim })
	sim = simulation.NewUpgradeSimulator(seed, cfg, limitsBeforeUpgrade, cloud, options...)
	addMachinesPerZone(sim, 1)
	runWithFaults(t, sim, cfg, func(teams []string, until cluster.Time) {
		planJobs(sim, teams, until)
		planSingleFaults(sim, until)
		planPipelines(sim, teams, until)
		planUpgrade(sim)
	})
	if !sim.IsUpgraded() {
		t.Error("a controller still runs the production version")
	}
	if rejected := sim.Store.Rejected.Size; rejected > 0 {
		t.Errorf("%d transactions exceeded the lowered limits, which the settings announce", rejected)
	}
	sim.FaultCounts[faultWriteAboveLoweredRate] += sim.Store.Rejected.Rate
	return sim.FaultCounts
}

// planUpgrade schedules the upgrade of one random controller, later that of the two
// others at the same time, and then the lowering of the store's limits. Of the two others,
// one crashes before its upgrade, one may crash at a failover and one may be partitioned.
func planUpgrade(sim *simulation.Simulator) {
	order := sim.Rand.Perm(len(sim.Nodes))
	first, rest := sim.Nodes[order[0]], []*simulation.Node{}
	for _, index := range order[1:] {
		rest = append(rest, sim.Nodes[index])
	}
	firstUpgradeAt := sim.RandomBetween(20*second, 60*second)
	sim.After(firstUpgradeAt, func() { first.Upgrade(6 * second) })
	planOldNodeCrashes(sim, rest, firstUpgradeAt)
	restUpgradeAt := firstUpgradeAt + sim.RandomBetween(40*second, 70*second)
	planOldNodePartition(sim, rest[1], firstUpgradeAt, restUpgradeAt)
	sim.After(restUpgradeAt, func() {
		sim.FaultCounts[faultUpgradedTogether]++
		for _, node := range rest {
			node.Upgrade(sim.RandomBetween(5*second, 8*second))
		}
	})
	sim.After(restUpgradeAt+sim.RandomBetween(0, 60*second), sim.LowerStoreLimits)
}

// planOldNodeCrashes schedules crashes of controllers that are not upgraded yet: one after
// the first upgrade begins, and one within a second of the next shard acquisition.
func planOldNodeCrashes(sim *simulation.Simulator, old []*simulation.Node, firstUpgradeAt cluster.Time) {
	sim.After(firstUpgradeAt+sim.RandomBetween(second, 15*second), func() {
		sim.FaultCounts[faultOldNodeRestarted]++
		restart(sim, old[0], sim.RandomBetween(second/10, 8*second))
	})
	sim.Failovers.OnShardAcquired(firstUpgradeAt+60*second, func(cluster.NodeID) {
		node := old[sim.Rand.IntN(len(old))]
		sim.After(sim.RandomBetween(0, second), func() {
			if node.Version == simulation.ProductionVersion {
				sim.FaultCounts[faultOldNodeKilledAtAcquire]++
				crash(sim, node)
			}
		})
	})
}

// planOldNodePartition partitions, in some runs, a controller from its peers before the
// controller is upgraded. A peer that starts during the partition can't learn the version
// of that controller.
func planOldNodePartition(sim *simulation.Simulator, node *simulation.Node, firstUpgradeAt, restUpgradeAt cluster.Time) {
	if !sim.Chance(0.6) {
		return
	}
	sim.After(firstUpgradeAt-second, func() {
		sim.FaultCounts[faultOldNodePartitioned]++
		node.PeersPartitionedUntil = sim.Now + sim.RandomBetween(20*second, restUpgradeAt-firstUpgradeAt)
	})
}
