package controller_test

import (
	"strconv"
	"sync"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/simulation"
)

// limitsBeforeUpgrade are those that the store has until some moment after the
// upgrade; upgradeConfig holds the lower ones.
var limitsBeforeUpgrade = simulation.StoreLimits{WriteRPS: 40, ValueBytes: 4096, TxnOps: 12}

func upgradeConfig() controller.Config {
	cfg := testConfig()
	cfg.WriteRPS, cfg.MaxValueBytes, cfg.MaxTxnOps = 25, 2048, 8
	return cfg
}

// TestRollingUpgrade plays seeded days that begin with the production release
// everywhere. The controllers are replaced while jobs run, troubles come and
// users already ask the new ones for pipelines; some old processes end and come
// back old before their turn, in mid-take-over and several at once; the store's
// limits are lowered at some moment after the upgrade. All rules are checked.
func TestRollingUpgrade(t *testing.T) {
	from, to := seedRange(t, 1, 12)
	var mu sync.Mutex
	seen := map[simulation.FaultKind]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := from; seed <= to; seed++ {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				faults := simulateUpgrade(t, uint64(seed))
				mu.Lock()
				defer mu.Unlock()
				for what, n := range faults {
					seen[what] += n
				}
			})
		}
	})
	for _, what := range []simulation.FaultKind{
		simulation.FaultNodeUpgraded,
		faultOldNodeRestarted,
		faultOldNodeKilledAtAcquire,
		faultUpgradedTogether,
		faultOldNodePartitioned,
		simulation.FaultStoreLimitsLowered,
		faultWriteAboveLoweredRate,
		simulation.FaultDependentRejectedInUpgrade,
		simulation.FaultDependentStarted,
	} {
		t.Logf("%s: %d", what, seen[what])
		if seen[what] == 0 && to-from >= 10 {
			t.Errorf("no day had %s", what)
		}
	}
}

func simulateUpgrade(t *testing.T, seed uint64, options ...simulation.Option) map[simulation.FaultKind]int {
	cfg := upgradeConfig()
	var sim *simulation.Simulator
	sim = simulation.NewUpgradeSimulator(seed, cfg, limitsBeforeUpgrade, testCloud(func() *simulation.Simulator { return sim }), options...)
	addMachinesPerZone(sim, 1)
	runWithFaults(t, sim, cfg, func(teams []string, until cluster.Time) {
		planJobs(sim, teams, until)
		planSingleFaults(sim, until)
		planPipelines(sim, teams, until)
		planUpgrade(sim)
	})
	if !sim.IsUpgraded() {
		t.Error("a controller was left on the production release")
	}
	if n := sim.StateService.Rejected.Size; n > 0 {
		t.Errorf("%d transactions were above the lowered limits, which the settings name", n)
	}
	sim.FaultCounts[faultWriteAboveLoweredRate] += sim.StateService.Rejected.Rate
	return sim.FaultCounts
}

// planUpgrade replaces the controllers in two turns, one and then two at once,
// in a random order, with old ones ending before theirs.
func planUpgrade(sim *simulation.Simulator) {
	order := sim.Rand.Perm(len(sim.Nodes))
	first, rest := sim.Nodes[order[0]], order[1:]
	begin := sim.RandomBetween(20*second, 60*second)
	sim.After(begin, func() { first.Upgrade(6 * second) })

	back := sim.Nodes[rest[0]]
	sim.After(begin+sim.RandomBetween(second, 15*second), func() {
		sim.FaultCounts[faultOldNodeRestarted]++
		restart(sim, back, sim.RandomBetween(second/10, 8*second))
	})
	sim.Failovers.OnShardAcquired(begin+60*second, func(cluster.NodeID) {
		ended := sim.Nodes[rest[sim.Rand.IntN(len(rest))]]
		sim.After(sim.RandomBetween(0, second), func() {
			if ended.Version == simulation.ProductionVersion {
				sim.FaultCounts[faultOldNodeKilledAtAcquire]++
				crash(sim, ended)
			}
		})
	})

	// One that is cut from the other controllers is not heard by those that
	// start meanwhile, and serves on with what it knows.
	apart := sim.Nodes[rest[1]]
	last := begin + sim.RandomBetween(40*second, 70*second)
	if sim.Chance(0.6) {
		sim.After(begin-second, func() {
			sim.FaultCounts[faultOldNodePartitioned]++
			apart.PeersCutUntil = sim.Now + sim.RandomBetween(20*second, last-begin)
		})
	}
	sim.After(last, func() {
		sim.FaultCounts[faultUpgradedTogether]++
		for _, i := range rest {
			sim.Nodes[i].Upgrade(sim.RandomBetween(5*second, 8*second))
		}
	})
	sim.After(last+sim.RandomBetween(0, 60*second), sim.LowerStoreLimits)
}
