package fairshare

import (
	"reflect"
	"testing"

	"stairrelay/internal/cluster"
)

// load returns the load of a shard from CPUs; demand is by priority, the lowest first.
func load(available, booting cluster.Amount, demand ...cluster.Amount) ShardLoad {
	l := ShardLoad{Available: available * cpu, Booting: booting * cpu}
	for priority, amount := range demand {
		l.Demand[priority] = amount * cpu
	}
	return l
}

// toAmounts converts a map of CPUs to one of Amounts.
func toAmounts(cpus map[cluster.ShardID]cluster.Amount) map[cluster.ShardID]cluster.Amount {
	amounts := map[cluster.ShardID]cluster.Amount{}
	for shard, count := range cpus {
		amounts[shard] = count * cpu
	}
	return amounts
}

// TestTargets checks that more important work is served first, and within a priority
// the smallest demand, evenly where the capacity does not suffice.
func TestTargets(t *testing.T) {
	type cpus = map[cluster.ShardID]cluster.Amount
	for _, test := range []struct {
		name  string
		loads Snapshot
		want  cpus
	}{
		{"enough for all", Snapshot{0: load(100, 0, 0, 30), 1: load(0, 0, 0, 20)}, cpus{0: 30, 1: 20}},
		{"too little: evenly", Snapshot{0: load(100, 0, 0, 80), 1: load(0, 0, 0, 80)}, cpus{0: 50, 1: 50}},
		{"the smallest demand first", Snapshot{0: load(100, 0, 0, 80), 1: load(0, 0, 0, 20)}, cpus{0: 80, 1: 20}},
		{"what one leaves goes to the others", Snapshot{0: load(90, 0, 0, 80), 1: load(0, 0, 0, 20), 2: load(0, 0, 0, 60)}, cpus{0: 35, 1: 20, 2: 35}},
		{"the more important work first", Snapshot{0: load(60, 0, 80, 0), 1: load(40, 0, 10, 20, 30, 40)}, cpus{0: 5, 1: 95}},
		{"booting machines do not count", Snapshot{0: load(10, 50, 0, 40), 1: load(0, 0)}, cpus{0: 10, 1: 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := NewPlan(test.loads).Targets; !reflect.DeepEqual(got, toAmounts(test.want)) {
				t.Errorf("targets %v, want %v", got, toAmounts(test.want))
			}
		})
	}
}

// TestTargetsAgree checks that all controllers divide one snapshot alike, to the
// last millionth that can't be divided evenly.
func TestTargetsAgree(t *testing.T) {
	const third = 100 * cpu / 3
	want := map[cluster.ShardID]cluster.Amount{0: third, 1: third, 2: third + 1}
	for range 100 { // the iteration order of a map differs each time
		plan := NewPlan(Snapshot{0: load(100, 0, 0, 80), 1: load(0, 0, 0, 80), 2: load(0, 0, 0, 80)})
		if !reflect.DeepEqual(plan.Targets, want) {
			t.Fatalf("targets %v, want %v", plan.Targets, want)
		}
	}
}

// TestSpare checks that a shard gives up what exceeds its target by more than a
// sixth, and never more than others lack.
func TestSpare(t *testing.T) {
	for _, test := range []struct {
		name  string
		loads Snapshot
		want  cluster.Amount // of shard 0
	}{
		{"no shortfall", Snapshot{0: load(100, 0, 0, 10), 1: load(50, 0, 0, 50)}, 0},
		{"no shortfall and no excess", Snapshot{0: load(10, 0, 0, 10), 1: load(5, 0, 0, 5)}, 0},
		{"as much as others lack", Snapshot{0: load(100, 0, 0, 10), 1: load(50, 0, 0, 60)}, 10 * cpu},
		{"more than the margin above its target", Snapshot{0: load(100, 0, 0, 90), 1: load(0, 0, 0, 60)}, 50*cpu - 50*cpu/6},
		{"within the margin", Snapshot{0: load(55, 0, 0, 100), 1: load(45, 0, 0, 100)}, 5*cpu - 50*cpu/6},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := NewPlan(test.loads).TransferableCapacity(0); got != test.want {
				t.Errorf("spare %d, want %d", got, test.want)
			}
		})
	}
}

// TestRecipients checks that the largest shortfall comes first, and the lower number
// where shortfalls are equal.
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

// TestShortfallPriority checks that only the work of other shards with a shortfall
// counts.
func TestShortfallPriority(t *testing.T) {
	for _, test := range []struct {
		name  string
		loads Snapshot
		want  cluster.Priority // for which shard 0 would give up machines
	}{
		{"no work", Snapshot{0: load(100, 0), 1: load(0, 0)}, cluster.BestEffort},
		{"normal", Snapshot{0: load(100, 0), 1: load(0, 0, 5, 5)}, cluster.Normal},
		{"the higher of two shards", Snapshot{0: load(100, 0), 1: load(0, 0, 0, 0, 5), 2: load(0, 0, 0, 0, 0, 5)}, cluster.Production},
		{"own work does not count", Snapshot{0: load(0, 0, 0, 0, 0, 50), 1: load(0, 0, 0, 5), 2: load(90, 0)}, cluster.Normal},
		{"a shard without a shortfall does not count", Snapshot{0: load(100, 0), 1: load(50, 0, 0, 0, 0, 50), 2: load(0, 0, 5)}, cluster.BestEffort},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := NewPlan(test.loads).ShortfallPriority(0); got != test.want {
				t.Errorf("priority %d, want %d", got, test.want)
			}
		})
	}
}

// TestScaleOutOrder checks that booting machines count as capacity, and that a shard
// with a shortfall scales out before one that has more than 16 CPUs more.
func TestScaleOutOrder(t *testing.T) {
	for _, test := range []struct {
		name                string
		loads               Snapshot
		othersHaveShortfall bool
		canScaleOutFirst    bool // shard 0
	}{
		{"no other shard", Snapshot{0: load(50, 0, 0, 90)}, false, true},
		{"the other has enough", Snapshot{0: load(50, 0, 0, 90), 1: load(2, 8, 0, 10)}, false, true},
		{"the other lacks machines and has much less", Snapshot{0: load(50, 0, 0, 90), 1: load(10, 0, 0, 11)}, true, false},
		{"the other lacks machines and has 16 less", Snapshot{0: load(20, 6, 0, 90), 1: load(5, 5, 0, 11)}, true, true},
		{"the other lacks machines and has 17 less", Snapshot{0: load(20, 7, 0, 90), 1: load(5, 5, 0, 11)}, true, false},
		{"the load of shard 0 is not known", Snapshot{1: load(10, 0, 0, 11)}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.loads.OthersHaveShortfall(0); got != test.othersHaveShortfall {
				t.Errorf("OthersHaveShortfall(0) = %v, want %v", got, test.othersHaveShortfall)
			}
			if got := test.loads.CanScaleOutFirst(0); got != test.canScaleOutFirst {
				t.Errorf("CanScaleOutFirst(0) = %v, want %v", got, test.canScaleOutFirst)
			}
		})
	}
}

// TestSurplus checks that the demand, the spare share of it and 8 CPUs are kept.
func TestSurplus(t *testing.T) {
	l := load(100, 50, 10, 20, 5, 5)
	if l.TotalDemand() != 40*cpu {
		t.Errorf("total demand %d, want %d", l.TotalDemand(), 40*cpu)
	}
	if got := l.ReleasableCapacity(0.5); got != 32*cpu {
		t.Errorf("surplus %d, want %d", got, 32*cpu)
	}
}

// TestPickWithin checks that sizes which fit into what remains are picked in order,
// and that sizes of 0 are skipped.
func TestPickWithin(t *testing.T) {
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
			t.Errorf("budget %d: picked %v, want %v", budget, got, want)
		}
	}
}
