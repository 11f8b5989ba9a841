package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestLatestStart checks which objective decides when a job must start.
func TestLatestStart(t *testing.T) {
	const readyMillis, runMillis = 1_000_000, 20_000 // milliseconds
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
		effectiveDeadline float64          // of a dependent job, as time of day
		waited            cluster.WallTime // since the job was ready
		want              float64
	}{
		{"its own deadline", "deadline", 100, 0, 0, readyMillis + 200_000 - runMillis},
		{"done within a time", "finished", 0, 0, 0, readyMillis + 100_000 - runMillis},
		{"started within a time", "wait", 0, 0, 0, readyMillis + 30_000},
		{"the first of two", "both", 0, 0, 0, readyMillis + 30_000},
		{"the second once the first is missed", "both", 0, 0, 31_000, readyMillis + 100_000 - runMillis},
		{"just missed", "wait", 0, 0, 30_500, readyMillis + 30_000},
		{"all missed", "both", 0, 0, 81_000, NoLatestStart},
		{"a dependent job's deadline", "finished", 0, readyMillis + 50_000, 0, readyMillis + 50_000 - runMillis},
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

// TestStarving checks from when on a job of which nothing runs goes before all others.
func TestIsStarving(t *testing.T) {
	for _, test := range []struct {
		name   string
		waited cluster.WallTime
		change func(*state.Job)
		want   bool
	}{
		{"no first task for half of the target", 120_000, func(*state.Job) {}, false},
		{"no first task for longer", 120_001, func(*state.Job) {}, true},
		{"it has run", 120_001, func(job *state.Job) { job.FirstRunAt = second }, false},
		{"it has run, twice its horizon ago", 1_200_001, func(job *state.Job) { job.FirstRunAt = second }, true},
		{"it has run, less than twice its horizon ago", 1_200_000, func(job *state.Job) { job.FirstRunAt = second }, false},
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

// TestQueueListsSchedulableJobs checks which jobs are served, and in which order.
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

	// The order stands for a while, but what is in it is judged anew.
	f.loop.Begin(second, 1_001_000)
	jobs, _ = f.Queue.Jobs(f.shard)
	expectJobs(t, jobs, "urgent", "first", "late", "backed-off")
}

// expectJobs checks the ids of jobs.
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

// TestGuaranteeCoversEarlierJobsFirst checks that a team's guaranteed quota is given to
// its unfinished jobs in the order in which they became ready.
func TestGuaranteeCoversEarlierJobsFirst(t *testing.T) {
	f := newFixture()
	f.state.Teams["red"].GuaranteedQuota = cluster.Resources{CPU: 12 * cpu}
	later := f.addJob(cluster.JobSpec{ID: "a", Tasks: 2, SubmittedAt: 1_000_001})
	earlier := f.addJob(cluster.JobSpec{ID: "b", Tasks: 2, SubmittedAt: 1_000_000})
	guaranteed := f.Queue.jobsWithinGuarantee(f.shard)
	if !guaranteed[earlier] || guaranteed[later] {
		t.Errorf("8 of 12 CPUs are requested earlier, 16 with the later job: %v, %v", guaranteed[earlier], guaranteed[later])
	}
	earlier.SetCompleted(0)
	if guaranteed = f.Queue.jobsWithinGuarantee(f.shard); !guaranteed[later] {
		t.Error("a completed task still counts")
	}
}
