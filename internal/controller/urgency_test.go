package controller

import (
	"encoding/json"
	"fmt"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/jobs"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestUrgencyPropagated checks that a job inherits the highest priority and the earliest
// deadline of its dependents in whichever order their records arrive.
func TestUrgencyPropagated(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {2, 0, 4, 3, 1}, {3, 1, 0, 2, 4}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			h := newUrgencyHarness()
			for _, i := range order {
				h.applyJobRecord(t, urgencyJobs[i].ID, jobs.Record{Spec: &urgencyJobs[i]}, cluster.ModRevision(31+i))
			}
			h.checkUrgencies(t)
			h.checkLaterUrgencies(t)
		})
	}
}

const (
	// urgencyDeadline is the deadline of job d, in milliseconds of wall time.
	urgencyDeadline = 1_000_000 + 300_000.0
	// urgencyRuntime is the run time of all jobs, in milliseconds.
	urgencyRuntime = 20_000
)

// urgencyJobs are jobs with these dependencies, where x <- y means that y depends on x:
// a (red) <- b (green) <- d (blue, production, due); a <- c (green, urgent); e (red) <- d.
var urgencyJobs = []cluster.JobSpec{
	urgencyJob("a", "red", cluster.BestEffort, 0),
	urgencyJob("b", "green", cluster.Normal, 0, "a"),
	urgencyJob("c", "green", cluster.Urgent, 0, "a"),
	urgencyJob("d", "blue", cluster.Production, 300, "b", "e"),
	urgencyJob("e", "red", cluster.BestEffort, 100),
}

func urgencyJob(id cluster.JobID, team string, priority cluster.Priority, deadline float64, dependencies ...cluster.JobID) cluster.JobSpec {
	return cluster.JobSpec{
		ID:              id,
		Team:            team,
		Class:           "c-" + string(id),
		Priority:        priority,
		Tasks:           1,
		ResourceRequest: cluster.Resources{CPU: 1_000_000},
		RuntimeSeconds:  urgencyRuntime / 1000,
		DeadlineSeconds: deadline,
		SubmittedAt:     1_000_000,
		Dependencies:    dependencies,
	}
}

// newUrgencyHarness returns a harness that owns only the shard of team red.
func newUrgencyHarness() *controllerHarness {
	h := newControllerHarness()
	for name, shard := range map[string]cluster.ShardID{"green": 1, "blue": 2} {
		h.state.Teams[name] = &state.Team{Team: cluster.Team{Name: name, QuotaLimit: cluster.Resources{CPU: 100_000_000}}, ShardID: shard}
	}
	h.state.Teams["red"].ShardID = 0
	h.state.Shards[1].Owned, h.state.Shards[2].Owned = false, false
	return h
}

// applyJobRecord applies a job's record as if the watch had delivered it, and ends the step.
func (h *controllerHarness) applyJobRecord(t *testing.T, id cluster.JobID, record jobs.Record, modRevision cluster.ModRevision) {
	t.Helper()
	record.WriteID = "x"
	value, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	h.jobs.Records.Apply(messages.KV{Key: "jobs/" + string(id), Value: value, ModRevision: modRevision}, nil)
	h.jobs.Records.PropagateUrgency()
}

// checkUrgencies checks the effective priorities and deadlines of all jobs.
func (h *controllerHarness) checkUrgencies(t *testing.T) {
	t.Helper()
	for id, want := range map[cluster.JobID]struct {
		priority cluster.Priority
		deadline float64
	}{
		"d": {cluster.Production, urgencyDeadline},
		"b": {cluster.Production, urgencyDeadline - urgencyRuntime - jobs.DependentStartDelayMillis},
		"a": {cluster.Production, urgencyDeadline - 2*(urgencyRuntime+jobs.DependentStartDelayMillis)},
		"c": {cluster.Urgent, 0},
		"e": {cluster.Production, 1_100_000}, // its own deadline is earlier
	} {
		known := h.state.Jobs.Known[id]
		if known.EffectivePriority != want.priority || known.EffectiveDeadline != want.deadline {
			t.Errorf("%s has priority %d, due %v; want %d, %v", id, known.EffectivePriority, known.EffectiveDeadline, want.priority, want.deadline)
		}
		if job := h.state.Jobs.Owned[id]; job != nil && job.EffectivePriority != want.priority {
			t.Errorf("%s is scheduled with priority %d, want %d", id, job.EffectivePriority, want.priority)
		}
	}
	if h.state.Jobs.Owned["a"] == nil || h.state.Jobs.Owned["b"] != nil {
		t.Fatal("the wrong jobs are owned")
	}
	start := h.scheduler.Queue.LatestStart(h.state.Jobs.Owned["a"])
	if want := urgencyDeadline - 2*(urgencyRuntime+jobs.DependentStartDelayMillis) - urgencyRuntime; start != want {
		t.Errorf("the latest start of a is %v, want %v", start, want)
	}
}

// checkLaterUrgencies checks that job a inherits the deadline of a dependent that is
// submitted later. It must not inherit one through a job that has ended.
func (h *controllerHarness) checkLaterUrgencies(t *testing.T) {
	t.Helper()
	const want = 1_100_000 - 2*(urgencyRuntime+jobs.DependentStartDelayMillis)
	late := urgencyJob("f", "blue", cluster.Normal, 100, "b")
	h.applyJobRecord(t, "f", jobs.Record{Spec: &late}, 40)
	if known := h.state.Jobs.Known["a"]; known.EffectiveDeadline != want {
		t.Errorf("a does not inherit an earlier deadline: %v", known.EffectiveDeadline)
	}
	h.applyJobRecord(t, "b", jobs.Record{FinalStatus: cluster.JobDone, Team: "green", Tasks: 1}, 41)
	later := urgencyJob("g", "blue", cluster.Production, 50, "b")
	h.applyJobRecord(t, "g", jobs.Record{Spec: &later}, 42)
	if known := h.state.Jobs.Known["a"]; known.EffectiveDeadline != want {
		t.Errorf("a inherits a deadline through a job that has ended: %v", known.EffectiveDeadline)
	}
}
