package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestPendingWorkWithinQuota checks that only so many tasks are listed as the team's
// quota lets run at once, and that a starving job's next task comes first.
func TestPendingWorkWithinQuota(t *testing.T) {
	f := newFixture()
	f.state.Teams["red"].QuotaLimit.CPU = 20 * cpu
	f.addRunningTask(f.addJob(cluster.JobSpec{ID: "running", Tasks: 1}), f.addMachine("m-1"))
	f.addJob(cluster.JobSpec{ID: "urgent", Tasks: 9, Priority: cluster.Urgent, SubmittedAt: 1_000_000})
	f.addJob(cluster.JobSpec{ID: "starving", Tasks: 9, SubmittedAt: 800_000})
	work := f.Queue.PendingWork(f.shard)
	if len(work) != 2 || work[0].Job.Spec.ID != "starving" || !work[0].Starving || work[0].Count != 1 {
		t.Fatalf("the starving job does not come first: %+v", work)
	}
	if work[1].Job.Spec.ID != "urgent" || work[1].Starving || work[1].Count != 3 {
		t.Errorf("12 of 20 CPUs are left for the urgent job: %+v", work[1])
	}
}

// TestPack checks that packing takes what fits and is allowed, in order.
func TestPack(t *testing.T) {
	jobOf := func(id cluster.JobID, cpus cluster.Amount) *state.Job {
		return &state.Job{Spec: cluster.JobSpec{ID: id, ResourceRequest: cluster.Resources{CPU: cpus * cpu}}}
	}
	work := PendingWork{{Job: jobOf("large", 6), Count: 5}, {Job: jobOf("forbidden", 1), Count: 5}, {Job: jobOf("small", 1), Count: 5}}
	allowed := func(job *state.Job) bool { return job.Spec.ID != "forbidden" }
	machine := cluster.Resources{CPU: 16 * cpu}
	if packed := work.Pack(machine, allowed); packed != 6 {
		t.Errorf("%d tasks packed, want two large and four small ones", packed)
	}
	if work[0].Count != 3 || work[1].Count != 5 || work[2].Count != 1 {
		t.Errorf("left: %d, %d, %d", work[0].Count, work[1].Count, work[2].Count)
	}
	if packed := work.Pack(cluster.Resources{}, allowed); packed != 0 {
		t.Errorf("%d tasks packed on a full machine", packed)
	}
}
