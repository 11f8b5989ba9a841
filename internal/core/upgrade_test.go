package core_test

import (
	"strconv"
	"sync"
	"testing"

	"stairrelay/internal/core"
	"stairrelay/internal/standin"
)

// limitsBeforeUpgrade are those that the store has until some moment after the
// upgrade; upgradeConfig holds the lower ones.
var limitsBeforeUpgrade = standin.Limits{WriteRPS: 40, ValueBytes: 4096, TxnOps: 12}

func upgradeConfig() core.Config {
	cfg := testConfig()
	cfg.WriteRPS, cfg.ValueBytes, cfg.TxnOps = 25, 2048, 8
	return cfg
}

// TestUpgradeDays plays seeded days that begin with the production release
// everywhere. The controllers are replaced while jobs run, troubles come and
// users already ask the new ones for pipelines; some old processes end and come
// back old before their turn, in mid-take-over and several at once; the store's
// limits are lowered at some moment after the upgrade. All rules are checked.
func TestUpgradeDays(t *testing.T) {
	from, to := seedRange(t, 1, 12)
	var mu sync.Mutex
	seen := map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := from; seed <= to; seed++ {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				faults := playUpgradeDay(t, uint64(seed))
				mu.Lock()
				defer mu.Unlock()
				for what, n := range faults {
					seen[what] += n
				}
			})
		}
	})
	for _, what := range []string{
		"controllers upgraded",
		"old controllers ended and back old",
		"an old controller ended within a second of a claim",
		"several controllers upgraded at once",
		"an old controller apart while others are upgraded",
		"limits of the store lowered",
		"transactions above the lowered rate",
		"jobs that await others refused in the upgrade",
		"jobs started after those that they await",
	} {
		t.Logf("%s: %d", what, seen[what])
		if seen[what] == 0 && to-from >= 10 {
			t.Errorf("no day had %s", what)
		}
	}
}

func playUpgradeDay(t *testing.T, seed uint64, options ...standin.Option) map[string]int {
	cfg := upgradeConfig()
	var w *standin.World
	w = standin.NewUpgradeWorld(seed, cfg, limitsBeforeUpgrade, testCloud(func() *standin.World { return w }), options...)
	addMachines(w)
	runTroubles(t, w, cfg, func(teams []string, until core.Time) {
		plan(w, teams, until)
		planPipelines(w, teams, until)
		planUpgrade(w)
	})
	if !w.Upgraded() {
		t.Error("a controller was left on the production release")
	}
	if n := w.State.Refused.Size; n > 0 {
		t.Errorf("%d transactions were above the lowered limits, which the settings name", n)
	}
	w.Faults["transactions above the lowered rate"] += w.State.Refused.Rate
	return w.Faults
}

// planUpgrade replaces the controllers in two turns, one and then two at once,
// in a random order, with old ones ending before theirs.
func planUpgrade(w *standin.World) {
	order := w.Rand.Perm(len(w.Nodes))
	first, rest := w.Nodes[order[0]], order[1:]
	begin := w.Between(20*sec, 60*sec)
	w.After(begin, func() { w.Upgrade(first, 6*sec) })

	back := w.Nodes[rest[0]]
	w.After(begin+w.Between(sec, 15*sec), func() {
		w.Faults["old controllers ended and back old"]++
		restart(w, back, w.Between(sec/10, 8*sec))
	})
	w.OnClaim(begin+60*sec, func(core.NodeID) {
		ended := w.Nodes[rest[w.Rand.IntN(len(rest))]]
		w.After(w.Between(0, sec), func() {
			if ended.Release == standin.ProductionRelease {
				w.Faults["an old controller ended within a second of a claim"]++
				crash(w, ended)
			}
		})
	})

	// One that is cut from the other controllers is not heard by those that
	// start meanwhile, and serves on with what it knows.
	apart := w.Nodes[rest[1]]
	last := begin + w.Between(40*sec, 70*sec)
	if w.Chance(0.6) {
		w.After(begin-sec, func() {
			w.Faults["an old controller apart while others are upgraded"]++
			apart.PeerCut = w.Now + w.Between(20*sec, last-begin)
		})
	}
	w.After(last, func() {
		w.Faults["several controllers upgraded at once"]++
		for _, i := range rest {
			w.Upgrade(w.Nodes[i], w.Between(5*sec, 8*sec))
		}
	})
	w.After(last+w.Between(0, 60*sec), w.LowerLimits)
}
