package scheduling

import (
	"cmp"
	"testing"

	"stairrelay/internal/cluster"
)

// TestJobOrder compares each two of a list of jobs in the order in which they are
// served.
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
		{"urgent and within the guarantee", facts(func(f *JobFacts) { f.Priority, f.WithinGuarantee = cluster.Urgent, true })},
		{"overdue, so urgent since it was ready", facts(overdue)},
		{"urgent", facts(func(f *JobFacts) { f.Priority = cluster.Urgent })},
		{"urgent, a little later", facts(func(f *JobFacts) { f.Priority = cluster.Urgent; f.LatestStart++ })},
		{"within the guarantee", facts(func(f *JobFacts) { f.WithinGuarantee = true })},
		{"within the guarantee, objectives missed", facts(func(f *JobFacts) { f.WithinGuarantee = true; f.LatestStart = Never })},
		{"small", facts(func(f *JobFacts) { f.ExclusiveSeconds = 1 })},
		{"larger", facts(func(f *JobFacts) { f.ExclusiveSeconds = 2 })},
		{"so large that the delay is capped", facts(func(f *JobFacts) { f.ExclusiveSeconds = 1000 })},
		{"later than the capped delay", facts(func(f *JobFacts) { f.LatestStart += 2*horizon + 1 })},
		{"objectives missed", facts(func(f *JobFacts) { f.LatestStart = Never })},
		{"objectives missed, and newer", facts(func(f *JobFacts) { f.LatestStart = Never; f.ReadySince++ })},
	}
	for i, first := range order {
		for k, second := range order {
			got := RankJob(first.facts, 32).Compare(RankJob(second.facts, 32))
			if !hasSignOf(got, i-k) {
				t.Errorf("%q compared with %q: %d", first.name, second.name, got)
			}
		}
	}
}

// hasSignOf reports whether a comparison has the sign that is wanted.
func hasSignOf(got, want int) bool {
	return cmp.Compare(got, 0) == cmp.Compare(want, 0)
}

// TestOverdue checks that a job which has missed its objectives is served as urgent
// from four horizons on.
func TestOverdue(t *testing.T) {
	const horizon = 100_000
	facts := JobFacts{Priority: cluster.BestEffort, LatestStart: Never, ReadySince: 5000, Horizon: horizon}
	facts.Now = facts.ReadySince + 4*horizon - 1
	if rank := RankJob(facts, 32); !rank.missedSLO || rank.tier >= cluster.Urgent {
		t.Errorf("just before four horizons: %+v", rank)
	}
	facts.Now++
	if rank := RankJob(facts, 32); rank.missedSLO || rank.tier != cluster.Urgent || rank.latestStart != facts.ReadySince {
		t.Errorf("after four horizons: %+v", rank)
	}
	facts.Priority = cluster.Production
	if rank := RankJob(facts, 32); rank.tier != cluster.Production {
		t.Errorf("production work after four horizons: %+v", rank)
	}
}
