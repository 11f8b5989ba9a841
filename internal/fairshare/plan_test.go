package fairshare

import (
	"reflect"
	"testing"

	"stairrelay/internal/cluster"
)

// load returns a load with the given numbers of CPUs. demand holds those for each priority,
// in ascending order of the priorities.
func load(available, booting cluster.Amount, demand ...cluster.Amount) ShardLoad {
	l := ShardLoad{Available: available * cpu, Booting: booting * cpu}
	for priority, amount := range demand {
		l.Demand[priority] = amount * cpu
	}
	return l
}

// toAmounts converts CPUs to Amounts.
func toAmounts(cpus map[cluster.ShardID]cluster.Amount) map[cluster.ShardID]cluster.Amount {
	amounts := map[cluster.ShardID]cluster.Amount{}
	for shard, count := range cpus {
		amounts[shard] = count * cpu
	}
	return amounts
}

// TestTargets checks that higher priorities are served first, and that a priority whose
// demand exceeds the capacity is divided by max-min fairness.
func TestTargets(t *testing.T) {
	type cpus = map[cluster.ShardID]cluster.Amount
	for _, test := range []struct {
		name  string
		loads Snapshot
		want  cpus
	}{
		{"capacity for all demands", Snapshot{0: load(100, 0, 0, 30), 1: load(0, 0, 0, 20)}, cpus{0: 30, 1: 20}},
		{"equal demands above the capacity", Snapshot{0: load(100, 0, 0, 80), 1: load(0, 0, 0, 80)}, cpus{0: 50, 1: 50}},
		{"the smallest demand is met first", Snapshot{0: load(100, 0, 0, 80), 1: load(0, 0, 0, 20)}, cpus{0: 80, 1: 20}},
		{"unused share of one shard goes to the others", Snapshot{0: load(90, 0, 0, 80), 1: load(0, 0, 0, 20), 2: load(0, 0, 0, 60)}, cpus{0: 35, 1: 20, 2: 35}},
		{"higher priority first", Snapshot{0: load(60, 0, 80, 0), 1: load(40, 0, 10, 20, 30, 40)}, cpus{0: 5, 1: 95}},
		{"booting machines are not counted", Snapshot{0: load(10, 50, 0, 40), 1: load(0, 0)}, cpus{0: 10, 1: 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := NewPlan(test.loads).Targets; !reflect.DeepEqual(got, toAmounts(test.want)) {
				t.Errorf("targets %v, want %v", got, toAmounts(test.want))
			}
		})
	}
}

// TestTargetsDeterministic checks that controllers with equal snapshots compute equal
// targets, also if a division leaves a remainder, and so make no conflicting transfers.
func TestTargetsDeterministic(t *testing.T) {
	const third = 100 * cpu / 3
	want := map[cluster.ShardID]cluster.Amount{0: third, 1: third, 2: third + 1}
	for range 100 { // the iteration order of a map differs each time
		plan := NewPlan(Snapshot{0: load(100, 0, 0, 80), 1: load(0, 0, 0, 80), 2: load(0, 0, 0, 80)})
		if !reflect.DeepEqual(plan.Targets, want) {
			t.Fatalf("targets %v, want %v", plan.Targets, want)
		}
	}
}

// TestTransferableCapacity checks that a shard transfers only what exceeds its target
// by more than a sixth, and no more than other shards lack.
func TestTransferableCapacity(t *testing.T) {
	for _, test := range []struct {
		name  string
		loads Snapshot
		want  cluster.Amount // for shard 0
	}{
		{"no shortfall", Snapshot{0: load(100, 0, 0, 10), 1: load(50, 0, 0, 50)}, 0},
		{"no shortfall and no excess", Snapshot{0: load(10, 0, 0, 10), 1: load(5, 0, 0, 5)}, 0},
		{"limited by the shortfall of others", Snapshot{0: load(100, 0, 0, 10), 1: load(50, 0, 0, 60)}, 10 * cpu},
		{"limited by the margin above the target", Snapshot{0: load(100, 0, 0, 90), 1: load(0, 0, 0, 60)}, 50*cpu - 50*cpu/6},
		{"within the margin", Snapshot{0: load(55, 0, 0, 100), 1: load(45, 0, 0, 100)}, 5*cpu - 50*cpu/6},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := NewPlan(test.loads).TransferableCapacity(0); got != test.want {
				t.Errorf("transferable capacity %d, want %d", got, test.want)
			}
		})
	}
}

// TestRecipients checks that recipients are sorted by shortfall, largest first, and by
// shard ID where shortfalls are equal.
func TestRecipients(t *testing.T) {
	plan := NewPlan(Snapshot{
		0: load(200, 0),
		1: load(0, 0, 0, 10),
		2: load(0, 0, 0, 30),
		3: load(5, 0, 0, 15),
		4: load(20, 0, 0, 20),
	})
	want := []Shortfall{{2, 30 * cpu}, {1, 10 * cpu}, {3, 10 * cpu}}
	if got := plan.Recipients(0); !reflect.DeepEqual(got, want) {
		t.Errorf("recipients from shard 0 %v, want %v", got, want)
	}
	if got := plan.Recipients(2); !reflect.DeepEqual(got, want[1:]) {
		t.Errorf("recipients from shard 2 %v, want %v", got, want[1:])
	}
	if plan.TotalShortfall != 50*cpu {
		t.Errorf("total shortfall %d, want %d", plan.TotalShortfall, 50*cpu)
	}
}

// TestShortfallPriority checks that only the demand of other shards with a shortfall
// counts.
func TestShortfallPriority(t *testing.T) {
	for _, test := range []struct {
		name  string
		loads Snapshot
		want  cluster.Priority // with shard 0 as the donor
	}{
		{"no demand", Snapshot{0: load(100, 0), 1: load(0, 0)}, cluster.BestEffort},
		{"one shard with a shortfall", Snapshot{0: load(100, 0), 1: load(0, 0, 5, 5)}, cluster.Normal},
		{"the higher of two shards", Snapshot{0: load(100, 0), 1: load(0, 0, 0, 0, 5), 2: load(0, 0, 0, 0, 0, 5)}, cluster.Production},
		{"the demand of the donor is ignored", Snapshot{0: load(0, 0, 0, 0, 0, 50), 1: load(0, 0, 0, 5), 2: load(90, 0)}, cluster.Normal},
		{"a shard without a shortfall is ignored", Snapshot{0: load(100, 0), 1: load(50, 0, 0, 0, 0, 50), 2: load(0, 0, 5)}, cluster.BestEffort},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := NewPlan(test.loads).ShortfallPriority(0); got != test.want {
				t.Errorf("priority %d, want %d", got, test.want)
			}
		})
	}
}

// TestScaleOutOrder checks that booting machines count as capacity, and that a shard may
// not scale out first if another shard lacks capacity and has over 16 CPUs less.
func TestScaleOutOrder(t *testing.T) {
	for _, test := range []struct {
		name               string
		loads              Snapshot
		othersLackCapacity bool
		canScaleOutFirst   bool // for shard 0
	}{
		{"no other shard", Snapshot{0: load(50, 0, 0, 90)}, false, true},
		{"the other shard has enough capacity", Snapshot{0: load(50, 0, 0, 90), 1: load(2, 8, 0, 10)}, false, true},
		{"the other shard lacks capacity and has much less", Snapshot{0: load(50, 0, 0, 90), 1: load(10, 0, 0, 11)}, true, false},
		{"the other shard lacks capacity and has 16 CPUs less", Snapshot{0: load(20, 6, 0, 90), 1: load(5, 5, 0, 11)}, true, true},
		{"the other shard lacks capacity and has 17 CPUs less", Snapshot{0: load(20, 7, 0, 90), 1: load(5, 5, 0, 11)}, true, false},
		{"the load of shard 0 is unknown", Snapshot{1: load(10, 0, 0, 11)}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.loads.OthersLackCapacity(0); got != test.othersLackCapacity {
				t.Errorf("OthersLackCapacity(0) = %v, want %v", got, test.othersLackCapacity)
			}
			if got := test.loads.CanScaleOutFirst(0); got != test.canScaleOutFirst {
				t.Errorf("CanScaleOutFirst(0) = %v, want %v", got, test.canScaleOutFirst)
			}
		})
	}
}

// TestReleasableCapacity checks that a shard keeps its demand, the spare share of it and
// a reserve of 8 CPUs.
func TestReleasableCapacity(t *testing.T) {
	l := load(100, 50, 10, 20, 5, 5)
	if l.TotalDemand() != 40*cpu {
		t.Errorf("total demand %d, want %d", l.TotalDemand(), 40*cpu)
	}
	if got := l.ReleasableCapacity(0.5); got != 32*cpu {
		t.Errorf("releasable capacity %d, want %d", got, 32*cpu)
	}
}

// TestSelectWithinBudget checks that sizes are selected in order while they fit, and
// that sizes of 0 are skipped.
func TestSelectWithinBudget(t *testing.T) {
	sizes := []cluster.Amount{8, 16, 0, 8, 4, 4}
	for budget, want := range map[cluster.Amount][]int{
		-4:   nil,
		0:    nil,
		7:    {4},
		8:    {0},
		16:   {0, 3},
		21:   {0, 3, 4},
		24:   {0, 1},
		1000: {0, 1, 3, 4, 5},
	} {
		if got := SelectWithinBudget(sizes, budget); !reflect.DeepEqual(got, want) {
			t.Errorf("budget %d: selected %v, want %v", budget, got, want)
		}
	}
}
