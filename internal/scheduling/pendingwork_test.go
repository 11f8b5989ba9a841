package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestPendingWorkWithinQuota checks that the next task of a starving job comes first, and
// that other tasks are listed only as far as the team's quota allows.
func TestPendingWorkWithinQuota(t *testing.T) {
	f := newFixture()
	f.state.Teams["red"].QuotaLimit.CPU = 20 * cpu
	f.addRunningTask(f.addJob(cluster.JobSpec{ID: "running", Tasks: 1}), f.addMachine("m-1"))
	f.addJob(cluster.JobSpec{ID: "urgent", Tasks: 9, Priority: cluster.Urgent, SubmittedAt: 1_000_000})
	f.addJob(cluster.JobSpec{ID: "starving", Tasks: 9, SubmittedAt: 800_000})
	work := f.Queue.PendingWork(f.shard)
	if len(work) != 2 || work[0].Job.Spec.ID != "starving" || !work[0].Starving || work[0].Count != 1 {
		t.Fatalf("work %+v, want one task of the starving job first", work)
	}
	if work[1].Job.Spec.ID != "urgent" || work[1].Starving || work[1].Count != 3 {
		t.Errorf("%+v, want 3 tasks of the urgent job: 12 of 20 CPUs are left", work[1])
	}
}

// TestPack checks that Pack removes, in order, only tasks that fit and are allowed.
func TestPack(t *testing.T) {
	jobOf := func(id cluster.JobID, cpus cluster.Amount) *state.Job {
		return &state.Job{Spec: cluster.JobSpec{ID: id, ResourceRequest: cluster.Resources{CPU: cpus * cpu}}}
	}
	work := PendingWork{{Job: jobOf("large", 6), Count: 5}, {Job: jobOf("forbidden", 1), Count: 5}, {Job: jobOf("small", 1), Count: 5}}
	allowed := func(job *state.Job) bool { return job.Spec.ID != "forbidden" }
	machine := cluster.Allocatable{Resources: cluster.Resources{CPU: 16 * cpu}, Tasks: 100}
	if packed := work.Pack(machine, allowed); packed != 6 {
		t.Errorf("%d tasks packed, want 2 large and 4 small ones", packed)
	}
	if work[0].Count != 3 || work[1].Count != 5 || work[2].Count != 1 {
		t.Errorf("%d large, %d forbidden and %d small tasks left, want 3, 5 and 1", work[0].Count, work[1].Count, work[2].Count)
	}
	if packed := work.Pack(cluster.Allocatable{Tasks: 100}, allowed); packed != 0 {
		t.Errorf("%d tasks packed on a full machine, want 0", packed)
	}
}
