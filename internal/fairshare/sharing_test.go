package fairshare

import (
	"reflect"
	"testing"

	"stairrelay/internal/cluster"
)

// load is a part's with CPUs in use or free, and demand by priority.
func load(have, coming cluster.Amount, demand ...cluster.Amount) ShardLoad {
	l := ShardLoad{Available: have * cpu, Booting: coming * cpu}
	for priority, amount := range demand {
		l.Demand[priority] = amount * cpu
	}
	return l
}

// cpus turns a map of CPUs into one of Amounts.
func cpus(of map[cluster.ShardID]cluster.Amount) map[cluster.ShardID]cluster.Amount {
	out := map[cluster.ShardID]cluster.Amount{}
	for part, amount := range of {
		out[part] = amount * cpu
	}
	return out
}

// TestTargets: more important work is served first, and within a priority the
// part that needs least, evenly where there is too little.
func TestTargets(t *testing.T) {
	type amounts = map[cluster.ShardID]cluster.Amount
	for _, x := range []struct {
		name  string
		loads Snapshot
		want  amounts
	}{
		{"enough for all", Snapshot{0: load(100, 0, 0, 30), 1: load(0, 0, 0, 20)}, amounts{0: 30, 1: 20}},
		{"evenly", Snapshot{0: load(100, 0, 0, 80), 1: load(0, 0, 0, 80)}, amounts{0: 50, 1: 50}},
		{"the least served first", Snapshot{0: load(100, 0, 0, 80), 1: load(0, 0, 0, 20)}, amounts{0: 80, 1: 20}},
		{"what one leaves the others get", Snapshot{0: load(90, 0, 0, 80), 1: load(0, 0, 0, 20), 2: load(0, 0, 0, 60)}, amounts{0: 35, 1: 20, 2: 35}},
		{"the more important first", Snapshot{0: load(60, 0, 80, 0), 1: load(40, 0, 10, 20, 30, 40)}, amounts{0: 5, 1: 95}},
		{"what is coming isn't there", Snapshot{0: load(10, 50, 0, 40), 1: load(0, 0)}, amounts{0: 10, 1: 0}},
	} {
		if got := NewPlan(x.loads).Targets; !reflect.DeepEqual(got, cpus(x.want)) {
			t.Errorf("%s: %v, want %v", x.name, got, cpus(x.want))
		}
	}
}

// TestTargetsAgree: all controllers divide one snapshot alike, to the last
// millionth that can't be divided evenly.
func TestTargetsAgree(t *testing.T) {
	const third = 100 * cpu / 3
	want := map[cluster.ShardID]cluster.Amount{0: third, 1: third, 2: third + 1}
	for range 100 { // a map's order differs each time
		plan := NewPlan(Snapshot{0: load(100, 0, 0, 80), 1: load(0, 0, 0, 80), 2: load(0, 0, 0, 80)})
		if !reflect.DeepEqual(plan.Targets, want) {
			t.Fatalf("%v, want %v", plan.Targets, want)
		}
	}
}

// TestSpare: a part gives up what is beyond its target and a sixth of that, and
// never more than others lack.
func TestSpare(t *testing.T) {
	for _, x := range []struct {
		name  string
		loads Snapshot
		want  cluster.Amount // of part 0
	}{
		{"nobody lacks any", Snapshot{0: load(100, 0, 0, 10), 1: load(50, 0, 0, 50)}, 0},
		{"nobody lacks any, and this part has no more than its target", Snapshot{0: load(10, 0, 0, 10), 1: load(5, 0, 0, 5)}, 0},
		{"all that others lack", Snapshot{0: load(100, 0, 0, 10), 1: load(50, 0, 0, 60)}, 10 * cpu},
		{"beyond its target and the margin", Snapshot{0: load(100, 0, 0, 90), 1: load(0, 0, 0, 60)}, 50*cpu - 50*cpu/6},
		{"within the margin", Snapshot{0: load(55, 0, 0, 100), 1: load(45, 0, 0, 100)}, 5*cpu - 50*cpu/6},
	} {
		if got := NewPlan(x.loads).Spare(0); got != x.want {
			t.Errorf("%s: %d, want %d", x.name, got, x.want)
		}
	}
}

// TestRecipients: the neediest other parts first, by number where they are alike.
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
		t.Errorf("%v, want %v", got, want)
	}
	if got := plan.Recipients(2); !reflect.DeepEqual(got, want[1:]) {
		t.Errorf("beside part 2: %v, want %v", got, want[1:])
	}
	if plan.TotalShortfall != 50*cpu {
		t.Errorf("in all %d are lacking", plan.TotalShortfall)
	}
}

// TestLackPriority: only work of other parts that lack machines counts.
func TestLackPriority(t *testing.T) {
	for _, x := range []struct {
		name  string
		loads Snapshot
		want  cluster.Priority // that part 0 would give machines up for
	}{
		{"no work", Snapshot{0: load(100, 0), 1: load(0, 0)}, cluster.BestEffort},
		{"normal", Snapshot{0: load(100, 0), 1: load(0, 0, 5, 5)}, cluster.Normal},
		{"the highest of two parts'", Snapshot{0: load(100, 0), 1: load(0, 0, 0, 0, 5), 2: load(0, 0, 0, 0, 0, 5)}, cluster.Production},
		{"own work doesn't count", Snapshot{0: load(0, 0, 0, 0, 0, 50), 1: load(0, 0, 0, 5), 2: load(90, 0)}, cluster.Normal},
		{"one that has enough doesn't count", Snapshot{0: load(100, 0), 1: load(50, 0, 0, 0, 0, 50), 2: load(0, 0, 5)}, cluster.BestEffort},
	} {
		if got := NewPlan(x.loads).ShortfallPriority(0); got != x.want {
			t.Errorf("%s: %d, want %d", x.name, got, x.want)
		}
	}
}

// TestRenting: what is coming counts as there, and a part that lacks machines
// goes before one that has at least 16 CPUs more.
func TestRenting(t *testing.T) {
	for _, x := range []struct {
		name        string
		loads       Snapshot
		othersLack  bool
		rentsFirst0 bool
	}{
		{"alone", Snapshot{0: load(50, 0, 0, 90)}, false, true},
		{"the other has enough", Snapshot{0: load(50, 0, 0, 90), 1: load(2, 8, 0, 10)}, false, true},
		{"the other lacks much", Snapshot{0: load(50, 0, 0, 90), 1: load(10, 0, 0, 11)}, true, false},
		{"it lacks, and has 16 less", Snapshot{0: load(20, 6, 0, 90), 1: load(5, 5, 0, 11)}, true, true},
		{"it lacks, and has more than 16 less", Snapshot{0: load(20, 7, 0, 90), 1: load(5, 5, 0, 11)}, true, false},
		{"this one is not known", Snapshot{1: load(10, 0, 0, 11)}, true, true},
	} {
		if got := x.loads.OthersHaveShortfall(0); got != x.othersLack {
			t.Errorf("%s: others lack machines: %v", x.name, got)
		}
		if got := x.loads.CanScaleOutFirst(0); got != x.rentsFirst0 {
			t.Errorf("%s: rents first: %v", x.name, got)
		}
	}
}

// TestSurplus: the need, its share of spare room and 8 CPUs are kept.
func TestSurplus(t *testing.T) {
	l := load(100, 50, 10, 20, 5, 5)
	if l.TotalDemand() != 40*cpu {
		t.Errorf("the need is %d", l.TotalDemand())
	}
	if got := l.Surplus(0.5); got != 32*cpu {
		t.Errorf("of 100 CPUs at a need of 40 and half of that spare, %d are over", got)
	}
}

// TestPickWithin: in order, what fits into what is left; nothing of no size.
func TestPickWithin(t *testing.T) {
	sizes := []cluster.Amount{8, 16, 0, 8, 4, 4}
	for budget, want := range map[cluster.Amount][]int{-4: nil, 0: nil, 7: {4}, 8: {0}, 16: {0, 3}, 21: {0, 3, 4}, 24: {0, 1}, 1000: {0, 1, 3, 4, 5}} {
		if got := PickWithin(sizes, budget); !reflect.DeepEqual(got, want) {
			t.Errorf("budget %d: picked %v, want %v", budget, got, want)
		}
	}
}
