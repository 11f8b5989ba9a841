package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestStarvingTaskBeyondQuotaIsNotStartable guards against false alarms of the progress check:
// the next task of a starving job counts as pending work even if its team's quota is used up.
func TestStarvingTaskBeyondQuotaIsNotStartable(t *testing.T) {
	f := newFixture()
	f.state.Teams["red"].QuotaLimit.CPU = 6 * cpu
	running := f.addJob(cluster.JobSpec{ID: "j-1", Tasks: 1, SubmittedAt: f.loop.WallTime()})
	assignment := f.addRunningTask(running, f.addMachine("m-1"))
	f.addMachine("m-2")
	starving := f.addJob(cluster.JobSpec{ID: "j-2", Tasks: 1, SubmittedAt: 800_000})
	if f.ScheduleShard(f.shard); f.HasStartableTasks(f.shard) || starving.AssignedCount != 0 {
		t.Errorf("startable: %v, %d tasks assigned; want false and none, as the quota is used up", f.HasStartableTasks(f.shard), starving.AssignedCount)
	}
	f.state.Machines["m-1"].MarkEnded(assignment, cluster.CauseCompleted)
	if !f.HasStartableTasks(f.shard) {
		t.Error("not startable although the quota allows it")
	}
}

// TestReservedMachineIsNotStartable guards against false alarms of the progress check: smaller
// tasks fit on a machine that is reserved for a starving job, but are not assigned to it.
func TestReservedMachineIsNotStartable(t *testing.T) {
	f := newFixture()
	small := cluster.Resources{CPU: cpu}
	running := f.addJob(cluster.JobSpec{ID: "j-1", Tasks: 1, SubmittedAt: f.loop.WallTime()})
	running.Spec.ResourceRequest = small
	machine := f.addMachine("m-1")
	f.addRunningTask(running, machine)
	starving := f.addJob(cluster.JobSpec{ID: "j-2", Tasks: 1, SubmittedAt: 800_000})
	filler := f.addJob(cluster.JobSpec{ID: "j-3", Tasks: 1, SubmittedAt: f.loop.WallTime()})
	filler.Spec.ResourceRequest = small
	f.ScheduleShard(f.shard)
	if starving.ReservedMachine != machine.ID || filler.AssignedCount != 0 || f.HasStartableTasks(f.shard) {
		t.Errorf("machine %q reserved, %d small tasks assigned, startable: %v; want m-1, none and false", starving.ReservedMachine, filler.AssignedCount, f.HasStartableTasks(f.shard))
	}
}
