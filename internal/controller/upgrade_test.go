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
	var w *simulation.Simulator
	w = simulation.NewUpgradeSimulator(seed, cfg, limitsBeforeUpgrade, testCloud(func() *simulation.Simulator { return w }), options...)
	addMachinePerZone(w)
	runWithFaults(t, w, cfg, func(teams []string, until cluster.Time) {
		planJobsAndFaults(w, teams, until)
		planPipelines(w, teams, until)
		planUpgrade(w)
	})
	if !w.IsUpgraded() {
		t.Error("a controller was left on the production release")
	}
	if n := w.StateService.Rejected.Size; n > 0 {
		t.Errorf("%d transactions were above the lowered limits, which the settings name", n)
	}
	w.FaultCounts[faultWriteAboveLoweredRate] += w.StateService.Rejected.Rate
	return w.FaultCounts
}

// planUpgrade replaces the controllers in two turns, one and then two at once,
// in a random order, with old ones ending before theirs.
func planUpgrade(w *simulation.Simulator) {
	order := w.Rand.Perm(len(w.Nodes))
	first, rest := w.Nodes[order[0]], order[1:]
	begin := w.RandomBetween(20*second, 60*second)
	w.After(begin, func() { first.Upgrade(6 * second) })

	back := w.Nodes[rest[0]]
	w.After(begin+w.RandomBetween(second, 15*second), func() {
		w.FaultCounts[faultOldNodeRestarted]++
		restart(w, back, w.RandomBetween(second/10, 8*second))
	})
	w.Failovers.OnShardAcquired(begin+60*second, func(cluster.NodeID) {
		ended := w.Nodes[rest[w.Rand.IntN(len(rest))]]
		w.After(w.RandomBetween(0, second), func() {
			if ended.Version == simulation.ProductionVersion {
				w.FaultCounts[faultOldNodeKilledAtAcquire]++
				crash(w, ended)
			}
		})
	})

	// One that is cut from the other controllers is not heard by those that
	// start meanwhile, and serves on with what it knows.
	apart := w.Nodes[rest[1]]
	last := begin + w.RandomBetween(40*second, 70*second)
	if w.Chance(0.6) {
		w.After(begin-second, func() {
			w.FaultCounts[faultOldNodePartitioned]++
			apart.PeersCutUntil = w.Now + w.RandomBetween(20*second, last-begin)
		})
	}
	w.After(last, func() {
		w.FaultCounts[faultUpgradedTogether]++
		for _, i := range rest {
			w.Nodes[i].Upgrade(w.RandomBetween(5*second, 8*second))
		}
	})
	w.After(last+w.RandomBetween(0, 60*second), w.LowerStoreLimits)
}
