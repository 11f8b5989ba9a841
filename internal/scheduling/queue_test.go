package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestLatestStart checks which objective determines the latest start of a job.
func TestLatestStart(t *testing.T) {
	const readyMillis, runMillis = 1_000_000, 20_000
	slos := []cluster.SLO{
		{Kind: sloDeadline, Class: "deadline", DeadlineFactor: 2},
		{Kind: sloFinished, Class: "finished", WithinSeconds: 100},
		{Kind: sloWait, Class: "wait", WithinSeconds: 30},
		{Kind: sloWait, Class: "both", WithinSeconds: 30},
		{Kind: sloFinished, Class: "both", WithinSeconds: 100},
	}
	for _, test := range []struct {
		name              string
		class             string
		deadlineSeconds   float64
		effectiveDeadline float64          // deadline of a dependent job, in milliseconds of Unix time
		waited            cluster.WallTime // time since the job became ready
		want              float64
	}{
		{"deadline of the job", "deadline", 100, 0, 0, readyMillis + 200_000 - runMillis},
		{"finished within a time", "finished", 0, 0, 0, readyMillis + 100_000 - runMillis},
		{"started within a time", "wait", 0, 0, 0, readyMillis + 30_000},
		{"earlier of two objectives", "both", 0, 0, 0, readyMillis + 30_000},
		{"later objective after the earlier one is missed", "both", 0, 0, 31_000, readyMillis + 100_000 - runMillis},
		{"missed within the tolerance", "wait", 0, 0, 30_500, readyMillis + 30_000},
		{"all objectives missed", "both", 0, 0, 81_000, NoLatestStart},
		{"deadline of a dependent job", "finished", 0, readyMillis + 50_000, 0, readyMillis + 50_000 - runMillis},
		{"no objective", "none", 0, 0, 0, readyMillis + 600_000 - runMillis},
		{"no objective but a long deadline", "none", 900, 0, 0, readyMillis + 900_000 - runMillis},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.config.SLOs = slos
			f.Configure(f.config)
			job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 1, Class: test.class, RuntimeSeconds: runMillis / millisPerSecond, DeadlineSeconds: test.deadlineSeconds, SubmittedAt: readyMillis})
			if test.effectiveDeadline > 0 {
				f.state.Jobs.Known["j"] = &state.KnownJob{EffectiveDeadline: test.effectiveDeadline}
			}
			f.loop.Begin(0, readyMillis+test.waited)
			if got := f.Queue.LatestStart(job); got != test.want {
				t.Errorf("latest start %.0f, want %.0f", got, test.want)
			}
		})
	}
}

// TestIsStarving checks after which time a job without assigned tasks is starving.
func TestIsStarving(t *testing.T) {
	for _, test := range []struct {
		name   string
		waited cluster.WallTime
		change func(*state.Job)
		want   bool
	}{
		{"no first task for half of the target", 120_000, func(*state.Job) {}, false},
		{"no first task for more than half of the target", 120_001, func(*state.Job) {}, true},
		{"a task has run before", 120_001, func(job *state.Job) { job.FirstRunAt = second }, false},
		{"a task has run before, ready for more than two horizons", 1_200_001, func(job *state.Job) { job.FirstRunAt = second }, true},
		{"a task has run before, ready for two horizons", 1_200_000, func(job *state.Job) { job.FirstRunAt = second }, false},
		{"a task is assigned", 1_200_001, func(job *state.Job) { job.SetAssigned(0, &state.Assignment{}) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			job := f.addJob(cluster.JobSpec{ID: "j", Tasks: 2, SubmittedAt: 1_000_000})
			test.change(job)
			f.loop.Begin(0, 1_000_000+test.waited)
			if got := f.Queue.isStarving(job); got != test.want {
				t.Errorf("starving: %v, want %v", got, test.want)
			}
		})
	}
}

// TestQueueListsSchedulableJobs checks that only jobs with schedulable tasks are listed,
// in scheduling order.
func TestQueueListsSchedulableJobs(t *testing.T) {
	f := newFixture()
	f.addJob(cluster.JobSpec{ID: "late", Tasks: 1, SubmittedAt: 1_000_001})
	f.addJob(cluster.JobSpec{ID: "first", Tasks: 1, SubmittedAt: 1_000_000})
	f.addJob(cluster.JobSpec{ID: "urgent", Tasks: 1, Priority: cluster.Urgent, SubmittedAt: 1_000_002})
	f.addJob(cluster.JobSpec{ID: "blocked", Tasks: 1}).Blocked = true
	f.addJob(cluster.JobSpec{ID: "cancelling", Tasks: 1}).Cancelling = true
	f.addJob(cluster.JobSpec{ID: "loading", Tasks: 1}).ChunksLoading = 1
	backedOff := f.addJob(cluster.JobSpec{ID: "backed-off", Tasks: 1, SubmittedAt: 1_000_003})
	backedOff.BackoffUntil = second
	jobs, _ := f.Queue.Jobs(f.shard)
	expectJobs(t, jobs, "urgent", "first", "late")

	// The order is cached, but whether a job is schedulable is checked at each call.
	f.loop.Begin(second, 1_001_000)
	jobs, _ = f.Queue.Jobs(f.shard)
	expectJobs(t, jobs, "urgent", "first", "late", "backed-off")
}

// expectJobs fails the test if jobs don't have the wanted IDs in this order.
func expectJobs(t *testing.T, jobs []*state.Job, want ...cluster.JobID) {
	t.Helper()
	var got []cluster.JobID
	for _, job := range jobs {
		got = append(got, job.Spec.ID)
	}
	if len(got) != len(want) {
		t.Fatalf("jobs %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("jobs %v, want %v", got, want)
		}
	}
}

// TestGuaranteeCoversEarlierJobsFirst checks that a team's unfinished jobs count against
// its guaranteed quota in the order in which they became ready.
func TestGuaranteeCoversEarlierJobsFirst(t *testing.T) {
	f := newFixture()
	f.state.Teams["red"].GuaranteedQuota = cluster.Resources{CPU: 12 * cpu}
	later := f.addJob(cluster.JobSpec{ID: "a", Tasks: 2, SubmittedAt: 1_000_001})
	earlier := f.addJob(cluster.JobSpec{ID: "b", Tasks: 2, SubmittedAt: 1_000_000})
	guaranteed := f.Queue.jobsWithinGuarantee(f.shard)
	if !guaranteed[earlier] || guaranteed[later] {
		t.Errorf("within the guarantee of 12 CPUs: earlier job, 8 CPUs: %v; later job, 8 more CPUs: %v", guaranteed[earlier], guaranteed[later])
	}
	earlier.SetCompleted(0)
	if guaranteed = f.Queue.jobsWithinGuarantee(f.shard); !guaranteed[later] {
		t.Error("a completed task still counts against the guaranteed quota")
	}
}
