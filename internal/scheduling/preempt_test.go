package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestPreemptionSparesFirstTask checks that the first task of a job that had waited
// too long is not stopped for an urgent job, and that one of a job that has not waited
// is.
func TestFirstTaskIsPreemptionExempt(t *testing.T) {
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

// preemptFor searches for tasks to preempt for pending jobs.
func (f *fixture) preemptFor(guaranteed map[*state.Job]bool, jobs ...*state.Job) {
	r := &round{Scheduler: f.Scheduler, shard: f.shard, jobs: jobs, guaranteed: guaranteed, usage: f.shard.UsageByTeam()}
	r.preempt()
}

// TestPreemptionByPriority checks which tasks of the same team give way to a job.
func TestPreemptionByPriority(t *testing.T) {
	for _, test := range []struct {
		name             string
		priority, victim cluster.Priority
		want             bool
	}{
		{"urgent for normal", cluster.Urgent, cluster.Normal, true},
		{"production for urgent", cluster.Production, cluster.Urgent, true},
		{"urgent for urgent", cluster.Urgent, cluster.Urgent, false},
		{"urgent for production", cluster.Urgent, cluster.Production, false},
		{"normal for best effort", cluster.Normal, cluster.BestEffort, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			victim := f.addJob(cluster.JobSpec{ID: "victim", Tasks: 9, Priority: test.victim, CheckpointSeconds: 10, SubmittedAt: 1_000_000})
			assignment := f.addRunningTask(victim, f.addMachine("m-1"))
			job := f.addJob(cluster.JobSpec{ID: "job", Tasks: 1, Priority: test.priority, SubmittedAt: 1_000_000})
			f.preemptFor(nil, job)
			if assignment.StopRequested != test.want {
				t.Errorf("stopped: %v, want %v", assignment.StopRequested, test.want)
			}
			if backedOff := job.NextPreemptionAt == preemptionBackoff; backedOff != test.want {
				t.Errorf("no preemption before %v", job.NextPreemptionAt)
			}
		})
	}
}

// TestPreemptionForGuarantee checks that what a team borrows beyond its guaranteed quota
// gives way to another team that lacks its own.
func TestPreemptionForGuarantee(t *testing.T) {
	for _, test := range []struct {
		name             string
		victimGuarantee  cluster.Amount // CPUs of the victim's team
		guaranteed       bool           // the preempting job
		victimGuaranteed bool
		want             bool
	}{
		{"borrowed", 0, true, false, true},
		{"not beyond its team's guarantee", 4, true, false, false},
		{"the victim is within the guarantee", 0, true, true, false},
		{"the job is not", 0, false, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.state.Teams["blue"] = &state.Team{Team: cluster.Team{Name: "blue", GuaranteedQuota: cluster.Resources{CPU: test.victimGuarantee * cpu}}}
			victim := f.addJob(cluster.JobSpec{ID: "victim", Tasks: 9, CheckpointSeconds: 10, SubmittedAt: 1_000_000})
			victim.Spec.Team = "blue"
			assignment := f.addRunningTask(victim, f.addMachine("m-1"))
			job := f.addJob(cluster.JobSpec{ID: "job", Tasks: 1, SubmittedAt: 1_000_000})
			f.preemptFor(map[*state.Job]bool{job: test.guaranteed, victim: test.victimGuaranteed}, job)
			if assignment.StopRequested != test.want {
				t.Errorf("stopped: %v, want %v", assignment.StopRequested, test.want)
			}
		})
	}
}

// TestPreemptionWithinQuota checks that no more is preempted than the team's quota lets
// the job use, and that within a used-up quota the team's own tasks give way.
func TestPreemptionWithinQuota(t *testing.T) {
	for _, test := range []struct {
		name      string
		quotaCPUs cluster.Amount
		team      string // of the victims
		want      int
	}{
		{"enough for both tasks", 8, "blue", 2},
		{"enough for one", 4, "blue", 1},
		{"used up by the team's own less important tasks", 8, "red", 2},
		{"used up by others' tasks in a job of no more importance", 0, "blue", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.state.Teams["red"].QuotaLimit.CPU = test.quotaCPUs * cpu
			f.state.Teams["blue"] = &state.Team{Team: cluster.Team{Name: "blue"}}
			victim := f.addJob(cluster.JobSpec{ID: "victim", Tasks: 9, CheckpointSeconds: 10, SubmittedAt: 1_000_000})
			victim.Spec.Team = test.team
			victims := []*state.Assignment{f.addRunningTask(victim, f.addMachine("m-1")), f.addRunningTask(victim, f.addMachine("m-2"))}
			f.preemptFor(nil, f.addJob(cluster.JobSpec{ID: "job", Tasks: 2, Priority: cluster.Urgent, SubmittedAt: 1_000_000}))
			stopped := 0
			for _, assignment := range victims {
				if assignment.StopRequested {
					stopped++
				}
			}
			if stopped != test.want {
				t.Errorf("%d tasks stopped, want %d", stopped, test.want)
			}
		})
	}
}
