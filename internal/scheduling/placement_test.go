package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestJobOrder lists jobs in the order in which they are served.
func TestJobOrder(t *testing.T) {
	const now, horizon = 1_000_000, 100_000
	facts := func(change func(*JobFacts)) JobFacts {
		f := JobFacts{Priority: cluster.Normal, Now: now, ReadySince: now - 10_000, LatestStart: now + 50_000, Horizon: horizon}
		change(&f)
		return f
	}
	overdue := func(f *JobFacts) { f.LatestStart, f.ReadySince = Never, now-4*horizon }
	order := []struct {
		name  string
		facts JobFacts
	}{
		{"production", facts(func(f *JobFacts) { f.Priority = cluster.Production })},
		{"urgent and owed", facts(func(f *JobFacts) { f.Priority, f.WithinGuarantee = cluster.Urgent, true })},
		{"overdue, so as urgent since it came", facts(overdue)},
		{"urgent", facts(func(f *JobFacts) { f.Priority = cluster.Urgent })},
		{"urgent, a little later", facts(func(f *JobFacts) { f.Priority = cluster.Urgent; f.LatestStart++ })},
		{"owed", facts(func(f *JobFacts) { f.WithinGuarantee = true })},
		{"owed and late", facts(func(f *JobFacts) { f.WithinGuarantee = true; f.LatestStart = Never })},
		{"small", facts(func(f *JobFacts) { f.ExclusiveSeconds = 1 })},
		{"larger", facts(func(f *JobFacts) { f.ExclusiveSeconds = 2 })},
		{"so large that the push back ends", facts(func(f *JobFacts) { f.ExclusiveSeconds = 1000 })},
		{"after the end of the push back", facts(func(f *JobFacts) { f.LatestStart += 2*horizon + 1 })},
		{"late", facts(func(f *JobFacts) { f.LatestStart = Never })},
		{"late, and newer", facts(func(f *JobFacts) { f.LatestStart = Never; f.ReadySince++ })},
	}
	for i := range order {
		for k := range order {
			a, b := RankJob(order[i].facts, 32), RankJob(order[k].facts, 32)
			got := a.Compare(b)
			if i < k && got >= 0 || i > k && got <= 0 || i == k && got != 0 {
				t.Errorf("%q compared with %q: %d", order[i].name, order[k].name, got)
			}
		}
	}
}

// TestOverdue: what is late for good is served as urgent from four horizons on.
func TestOverdue(t *testing.T) {
	const horizon = 100_000
	f := JobFacts{Priority: cluster.BestEffort, LatestStart: Never, ReadySince: 5000, Horizon: horizon}
	f.Now = f.ReadySince + 4*horizon - 1
	if r := RankJob(f, 32); !r.missedSLO || r.tier >= cluster.Urgent {
		t.Errorf("just before: %+v", r)
	}
	f.Now++
	if r := RankJob(f, 32); r.missedSLO || r.tier != cluster.Urgent || r.latestStart != f.ReadySince {
		t.Errorf("then: %+v", r)
	}
	f.Priority = cluster.Production
	if r := RankJob(f, 32); r.tier != cluster.Production {
		t.Errorf("production work: %+v", r)
	}
}

// TestFetches: a second image is fetched beside another only for more important
// work, or where the machine would stand nearly idle.
func TestFetches(t *testing.T) {
	const cpu = cluster.AmountsPerUnit
	for _, x := range []struct {
		name      string
		getting   cluster.Priority // of those that wait for another image
		waiting   cluster.Amount   // their CPUs
		priority  cluster.Priority
		cpu, size cluster.Amount
		want      ImageState
	}{
		{"as important", cluster.Normal, 4, cluster.Normal, 1, 8, ImageBlocked},
		{"more important", cluster.Normal, 4, cluster.Urgent, 1, 8, ImageAbsent},
		{"urgent ones wait for it", cluster.Urgent, 4, cluster.Production, 1, 8, ImageBlocked},
		{"a large machine nearly idle", cluster.Normal, 1, cluster.Normal, 1, 16, ImageAbsent},
		{"a large machine, an eighth waits", cluster.Normal, 2, cluster.Normal, 1, 16, ImageBlocked},
		{"it takes too few of the tasks", cluster.Normal, 1, cluster.Normal, 2, 31, ImageBlocked},
	} {
		var f ImageFetches
		if got := f.State("new", x.priority, x.cpu*cpu, x.size*cpu); got != ImageAbsent {
			t.Errorf("%s: nothing is fetched, yet %d", x.name, got)
		}
		f.Add("other", x.getting, x.waiting*cpu)
		if got := f.State("new", x.priority, x.cpu*cpu, x.size*cpu); got != x.want {
			t.Errorf("%s: %d, want %d", x.name, got, x.want)
		}
		if got := f.State("other", x.priority, x.cpu*cpu, x.size*cpu); got != ImageFetching {
			t.Errorf("%s: its own image: %d", x.name, got)
		}
	}
	// The highest priority of those that wait for an image counts, and all their CPUs.
	var f ImageFetches
	f.Add("other", cluster.Urgent, cpu)
	f.Add("other", cluster.BestEffort, cpu)
	if got := f.State("new", cluster.Urgent, cpu, 16*cpu); got != ImageBlocked {
		t.Errorf("two wait: %d", got)
	}
	if got := f.State("new", cluster.Urgent, cpu, 17*cpu); got != ImageAbsent {
		t.Errorf("two wait on a larger machine: %d", got)
	}
	if got := f.State("new", cluster.Normal, cpu, 16*cpu); got != ImageBlocked {
		t.Errorf("less important than one that waits: %d", got)
	}
	// Any of several images that are fetched holds a less important one back.
	f.Add("third", cluster.BestEffort, 0)
	if got := f.State("new", cluster.Normal, cpu, 16*cpu); got != ImageBlocked {
		t.Errorf("less important than the first of two images: %d", got)
	}
}

// TestCandidates lists machines in the order in which they get tasks.
func TestCandidates(t *testing.T) {
	order := []Candidate{
		{ImageCached, true, true, 1},
		{ImageCached, false, false, 9},
		{ImageFetching, true, true, 9},
		{ImageAbsent, false, true, 9},
		{ImageAbsent, true, true, 8},
		{ImageAbsent, true, false, 9},
	}
	for i := range order {
		for k := range order {
			got := order[i].Compare(&order[k], false)
			if i < k && got >= 0 || i > k && got <= 0 || i == k && got != 0 {
				t.Errorf("candidate %d compared with %d: %d", i, k, got)
			}
		}
	}
	spot, ordinary := &order[0], &order[3]
	if ordinary.Compare(spot, true) >= 0 || spot.Compare(ordinary, true) <= 0 {
		t.Error("a risky spot machine goes before an ordinary one")
	}
	if spot.Compare(&order[2], true) >= 0 {
		t.Error("among spot machines the image doesn't count")
	}
}
