package controller

import (
	"encoding/json"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/jobs"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestUrgencyPropagated: a job takes the highest priority and the tightest deadline of
// all that need it, over teams and parts, in whichever order their records are
// seen; what is over takes nothing more.
func TestUrgencyPropagated(t *testing.T) {
	// a (red) <- b (green) <- d (blue, production, due); a <- c (green, urgent); e (red) <- d
	spec := func(id cluster.JobID, team string, prio cluster.Priority, due float64, awaits ...cluster.JobID) cluster.JobSpec {
		return cluster.JobSpec{ID: id, Team: team, Class: "c-" + string(id), Priority: prio, Tasks: 1, ResourceRequest: cluster.Resources{CPU: 1_000_000}, RuntimeSeconds: 20, DeadlineSeconds: due, SubmittedAt: 1_000_000, Dependencies: awaits}
	}
	specs := []cluster.JobSpec{spec("a", "red", cluster.BestEffort, 0), spec("b", "green", cluster.Normal, 0, "a"), spec("c", "green", cluster.Urgent, 0, "a"),
		spec("d", "blue", cluster.Production, 300, "b", "e"), spec("e", "red", cluster.BestEffort, 100)}
	orders := [][]int{{0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {2, 0, 4, 3, 1}, {3, 1, 0, 2, 4}}
	for _, order := range orders {
		b := newControllerHarness()
		for _, name := range []string{"green", "blue"} {
			b.state.Teams[name] = &state.Team{Team: cluster.Team{Name: name, QuotaLimit: cluster.Resources{CPU: 100_000_000}}, ShardID: map[string]cluster.ShardID{"green": 1, "blue": 2}[name]}
		}
		b.state.Teams["red"].ShardID = 0
		b.state.Shards[1].Owned, b.state.Shards[2].Owned = false, false
		for _, i := range order {
			v, _ := json.Marshal(jobs.Record{Spec: &specs[i], WriteID: "x"})
			b.jobs.Records.Apply(messages.KV{Key: "jobs/" + string(specs[i].ID), Value: v, ModRevision: cluster.ModRevision(31 + i)}, nil)
		}
		due := 1_000_000 + 300_000.0
		for id, want := range map[cluster.JobID]struct {
			prio cluster.Priority
			by   float64
		}{
			"d": {cluster.Production, due},
			"b": {cluster.Production, due - 20_000 - jobs.StageDelayMillis},
			"a": {cluster.Production, due - 2*(20_000+jobs.StageDelayMillis)},
			"c": {cluster.Urgent, 0},
			"e": {cluster.Production, 1_100_000}, // its own is the tighter
		} {
			if k := b.state.Jobs.Known[id]; k.EffectivePriority != want.prio || k.EffectiveDeadline != want.by {
				t.Errorf("%v: %s has priority %d, due %v; want %d, %v", order, id, k.EffectivePriority, k.EffectiveDeadline, want.prio, want.by)
			}
			if j := b.state.Jobs.Owned[id]; j != nil && j.EffectivePriority != want.prio {
				t.Errorf("%v: %s is served with priority %d, want %d", order, id, j.EffectivePriority, want.prio)
			}
		}
		if b.state.Jobs.Owned["a"] == nil || b.state.Jobs.Owned["b"] != nil {
			t.Fatal("the wrong jobs are held")
		}
		if start := b.scheduler.Queue.LatestStart(b.state.Jobs.Owned["a"]); start != due-2*(20_000+jobs.StageDelayMillis)-20_000 {
			t.Errorf("%v: a is to start at %v", order, start)
		}
		// One that comes later, and one after the end.
		late := spec("f", "blue", cluster.Normal, 100, "b")
		v, _ := json.Marshal(jobs.Record{Spec: &late, WriteID: "x"})
		b.jobs.Records.Apply(messages.KV{Key: "jobs/f", Value: v, ModRevision: 40}, nil)
		if k := b.state.Jobs.Known["a"]; k.EffectiveDeadline != 1_100_000-2*(20_000+jobs.StageDelayMillis) {
			t.Errorf("%v: a tighter deadline does not reach a: %v", order, k.EffectiveDeadline)
		}
		done, _ := json.Marshal(jobs.Record{FinalStatus: cluster.JobDone, Team: "green", Tasks: 1, WriteID: "x"})
		b.jobs.Records.Apply(messages.KV{Key: "jobs/b", Value: done, ModRevision: 41}, nil)
		later := spec("g", "blue", cluster.Production, 50, "b")
		v, _ = json.Marshal(jobs.Record{Spec: &later, WriteID: "x"})
		b.jobs.Records.Apply(messages.KV{Key: "jobs/g", Value: v, ModRevision: 42}, nil)
		if k := b.state.Jobs.Known["a"]; k.EffectiveDeadline != 1_100_000-2*(20_000+jobs.StageDelayMillis) {
			t.Errorf("%v: what awaits a finished job changes a: %v", order, k.EffectiveDeadline)
		}
	}
}
