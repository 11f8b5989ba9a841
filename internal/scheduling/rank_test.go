package scheduling

import (
	"cmp"
	"testing"

	"stairrelay/internal/cluster"
)

// TestJobOrder checks Compare for all pairs of jobs in a sorted list.
func TestJobOrder(t *testing.T) {
	const now, horizon = 1_000_000, 100_000
	input := func(change func(*RankInput)) RankInput {
		f := RankInput{Priority: cluster.Normal, Now: now, ReadySince: now - 10_000, LatestStart: now + 50_000, Horizon: horizon}
		change(&f)
		return f
	}
	overdue := func(f *RankInput) { f.LatestStart, f.ReadySince = NoLatestStart, now-4*horizon }
	order := []struct {
		name  string
		input RankInput
	}{
		{"production", input(func(f *RankInput) { f.Priority = cluster.Production })},
		{"urgent and within the guarantee", input(func(f *RankInput) { f.Priority, f.WithinGuarantee = cluster.Urgent, true })},
		{"overdue, ranked as urgent by the time when it became ready", input(overdue)},
		{"urgent", input(func(f *RankInput) { f.Priority = cluster.Urgent })},
		{"urgent, a little later", input(func(f *RankInput) { f.Priority = cluster.Urgent; f.LatestStart++ })},
		{"within the guarantee", input(func(f *RankInput) { f.WithinGuarantee = true })},
		{"within the guarantee, objectives missed", input(func(f *RankInput) { f.WithinGuarantee = true; f.LatestStart = NoLatestStart })},
		{"small", input(func(f *RankInput) { f.WholeShardSeconds = 1 })},
		{"larger", input(func(f *RankInput) { f.WholeShardSeconds = 2 })},
		{"large, with the maximum delay", input(func(f *RankInput) { f.WholeShardSeconds = 1000 })},
		{"later than the maximum delay", input(func(f *RankInput) { f.LatestStart += 2*horizon + 1 })},
		{"objectives missed", input(func(f *RankInput) { f.LatestStart = NoLatestStart })},
		{"objectives missed, became ready later", input(func(f *RankInput) { f.LatestStart = NoLatestStart; f.ReadySince++ })},
	}
	for i, first := range order {
		for k, second := range order {
			got := RankJob(first.input, 32).Compare(RankJob(second.input, 32))
			if !hasSignOf(got, i-k) {
				t.Errorf("%q compared with %q: %d", first.name, second.name, got)
			}
		}
	}
}

// hasSignOf reports whether got and want have the same sign.
func hasSignOf(got, want int) bool {
	return cmp.Compare(got, 0) == cmp.Compare(want, 0)
}

// TestOverdue checks that a job that has missed its objectives is ranked as urgent after
// four horizons, so that it doesn't starve.
func TestOverdue(t *testing.T) {
	const horizon = 100_000
	input := RankInput{Priority: cluster.BestEffort, LatestStart: NoLatestStart, ReadySince: 5000, Horizon: horizon}
	input.Now = input.ReadySince + 4*horizon - 1
	if rank := RankJob(input, 32); !rank.missedSLO || rank.tier >= cluster.Urgent {
		t.Errorf("rank %+v just before four horizons", rank)
	}
	input.Now++
	if rank := RankJob(input, 32); rank.missedSLO || rank.tier != cluster.Urgent || rank.latestStart != input.ReadySince {
		t.Errorf("rank %+v after four horizons", rank)
	}
	input.Priority = cluster.Production
	if rank := RankJob(input, 32); rank.tier != cluster.Production {
		t.Errorf("rank %+v of a production job after four horizons", rank)
	}
}
