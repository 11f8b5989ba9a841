package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestPreemptionSparesFirstTask checks that the first task of a job that had waited
// too long is not stopped for an urgent job, and that one of a job that has not waited
// is.
func TestPreemptionSparesFirstTask(t *testing.T) {
	for _, waited := range []bool{true, false} {
		f := newFixture()
		machine := f.addMachine("m-1")
		submitted := f.loop.WallTime() - 1000
		if waited {
			submitted = f.loop.WallTime() - cluster.WallTime(f.config.FirstTaskTarget/millisecond)*3/4
		}
		victim := f.addJob(cluster.JobSpec{ID: "j-1", Tasks: 9, CheckpointSeconds: 10, SubmittedAt: submitted})
		urgent := f.addJob(cluster.JobSpec{ID: "j-2", Tasks: 1, Priority: cluster.Urgent, SubmittedAt: f.loop.WallTime()})
		assignment := f.addRunningTask(victim, machine)
		r := &round{Scheduler: f.Scheduler, shard: f.shard, jobs: []*state.Job{urgent}, guaranteed: map[*state.Job]bool{}, usage: f.shard.UsageByTeam()}
		r.preempt()
		if assignment.StopRequested == waited {
			t.Errorf("waited %v: stopped %v", waited, assignment.StopRequested)
		}
	}
}
