package core

import (
	"encoding/json"
	"testing"
)

// TestUrgencyPropagated: a job takes the highest priority and the tightest deadline of
// all that need it, over teams and parts, in whichever order their records are
// seen; what is over takes nothing more.
func TestUrgencyPropagated(t *testing.T) {
	// a (red) <- b (green) <- d (blue, production, due); a <- c (green, urgent); e (red) <- d
	spec := func(id JobID, team string, prio Priority, due float64, awaits ...JobID) JobSpec {
		return JobSpec{ID: id, Team: team, Class: "c-" + string(id), Priority: prio, Tasks: 1, ResourceRequest: Resources{CPU: 1_000_000}, RuntimeSeconds: 20, DeadlineSeconds: due, SubmittedAt: 1_000_000, Dependencies: awaits}
	}
	specs := []JobSpec{spec("a", "red", BestEffort, 0), spec("b", "green", Normal, 0, "a"), spec("c", "green", Urgent, 0, "a"),
		spec("d", "blue", Production, 300, "b", "e"), spec("e", "red", BestEffort, 100)}
	orders := [][]int{{0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {2, 0, 4, 3, 1}, {3, 1, 0, 2, 4}}
	for _, order := range orders {
		b := newControllerHarness()
		for _, name := range []string{"green", "blue"} {
			b.teams[name] = &team{Team: Team{Name: name, QuotaLimit: Resources{CPU: 100_000_000}}, shard: map[string]ShardID{"green": 1, "blue": 2}[name]}
		}
		b.teams["red"].shard = 0
		b.shards[1].owned, b.shards[2].owned = false, false
		for _, i := range order {
			v, _ := json.Marshal(jobRecord{Spec: &specs[i], WriteID: "x"})
			b.applyJobRecord(KV{"jobs/" + string(specs[i].ID), v, ModRevision(31 + i)}, nil)
		}
		due := 1_000_000 + 300_000.0
		for id, want := range map[JobID]struct {
			prio Priority
			by   float64
		}{
			"d": {Production, due},
			"b": {Production, due - 20_000 - stageDelayMillis},
			"a": {Production, due - 2*(20_000+stageDelayMillis)},
			"c": {Urgent, 0},
			"e": {Production, 1_100_000}, // its own is the tighter
		} {
			if k := b.jobs.known[id]; k.effectivePriority != want.prio || k.effectiveDeadline != want.by {
				t.Errorf("%v: %s has priority %d, due %v; want %d, %v", order, id, k.effectivePriority, k.effectiveDeadline, want.prio, want.by)
			}
			if j := b.jobs.owned[id]; j != nil && j.effectivePriority != want.prio {
				t.Errorf("%v: %s is served with priority %d, want %d", order, id, j.effectivePriority, want.prio)
			}
		}
		if b.jobs.owned["a"] == nil || b.jobs.owned["b"] != nil {
			t.Fatal("the wrong jobs are held")
		}
		if start := b.latestStart(b.jobs.owned["a"]); start != due-2*(20_000+stageDelayMillis)-20_000 {
			t.Errorf("%v: a is to start at %v", order, start)
		}
		// One that comes later, and one after the end.
		late := spec("f", "blue", Normal, 100, "b")
		v, _ := json.Marshal(jobRecord{Spec: &late, WriteID: "x"})
		b.applyJobRecord(KV{"jobs/f", v, 40}, nil)
		if k := b.jobs.known["a"]; k.effectiveDeadline != 1_100_000-2*(20_000+stageDelayMillis) {
			t.Errorf("%v: a tighter deadline does not reach a: %v", order, k.effectiveDeadline)
		}
		done, _ := json.Marshal(jobRecord{FinalStatus: JobDone, Team: "green", Tasks: 1, WriteID: "x"})
		b.applyJobRecord(KV{"jobs/b", done, 41}, nil)
		later := spec("g", "blue", Production, 50, "b")
		v, _ = json.Marshal(jobRecord{Spec: &later, WriteID: "x"})
		b.applyJobRecord(KV{"jobs/g", v, 42}, nil)
		if k := b.jobs.known["a"]; k.effectiveDeadline != 1_100_000-2*(20_000+stageDelayMillis) {
			t.Errorf("%v: what awaits a finished job changes a: %v", order, k.effectiveDeadline)
		}
	}
}
