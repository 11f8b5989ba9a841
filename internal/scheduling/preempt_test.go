package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// TestFirstTaskIsPreemptionExempt checks that a job's first task is not preempted for an
// urgent job once half of the first-task target has passed since the job became ready.
func TestFirstTaskIsPreemptionExempt(t *testing.T) {
	for _, pastHalf := range []bool{true, false} {
		f := newFixture()
		machine := f.addMachine("m-1")
		submitted := f.loop.WallTime() - 1000
		if pastHalf {
			submitted = f.loop.WallTime() - cluster.WallTime(f.config.FirstTaskTarget/millisecond)*3/4
		}
		victim := f.addJob(cluster.JobSpec{ID: "j-1", Tasks: 9, CheckpointIntervalSeconds: 10, SubmittedAt: submitted})
		urgent := f.addJob(cluster.JobSpec{ID: "j-2", Tasks: 1, Priority: cluster.Urgent, SubmittedAt: f.loop.WallTime()})
		assignment := f.addRunningTask(victim, machine)
		r := &round{Scheduler: f.Scheduler, shard: f.shard, jobs: []*state.Job{urgent}, guaranteed: map[*state.Job]bool{}, usage: f.shard.UsageByTeam()}
		r.preempt()
		if assignment.StopRequested == pastHalf {
			t.Errorf("past half of the first-task target: %v, stopped: %v", pastHalf, assignment.StopRequested)
		}
	}
}

// preemptFor runs one search for tasks to preempt for the given pending jobs.
func (f *fixture) preemptFor(guaranteed map[*state.Job]bool, jobs ...*state.Job) {
	r := &round{Scheduler: f.Scheduler, shard: f.shard, jobs: jobs, guaranteed: guaranteed, usage: f.shard.UsageByTeam()}
	r.preempt()
}

// TestPreemptionByPriority checks that, within a team, tasks are preempted only for urgent
// jobs of a higher priority, and that a preemption starts the job's backoff.
func TestPreemptionByPriority(t *testing.T) {
	for _, test := range []struct {
		name             string
		priority, victim cluster.Priority
		want             bool
	}{
		{"urgent job, normal victim", cluster.Urgent, cluster.Normal, true},
		{"production job, urgent victim", cluster.Production, cluster.Urgent, true},
		{"urgent job, urgent victim", cluster.Urgent, cluster.Urgent, false},
		{"urgent job, production victim", cluster.Urgent, cluster.Production, false},
		{"normal job, best-effort victim", cluster.Normal, cluster.BestEffort, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			victim := f.addJob(cluster.JobSpec{ID: "victim", Tasks: 9, Priority: test.victim, CheckpointIntervalSeconds: 10, SubmittedAt: 1_000_000})
			assignment := f.addRunningTask(victim, f.addMachine("m-1"))
			job := f.addJob(cluster.JobSpec{ID: "job", Tasks: 1, Priority: test.priority, SubmittedAt: 1_000_000})
			f.preemptFor(nil, job)
			if assignment.StopRequested != test.want {
				t.Errorf("stopped: %v, want %v", assignment.StopRequested, test.want)
			}
			if backedOff := job.PreemptionBackoffUntil == preemptionBackoff; backedOff != test.want {
				t.Errorf("next preemption not before %v", job.PreemptionBackoffUntil)
			}
		})
	}
}

// TestPreemptionForGuarantee checks that tasks beyond their team's guaranteed quota are
// preempted for a job within the guaranteed quota of another team, and no others.
func TestPreemptionForGuarantee(t *testing.T) {
	for _, test := range []struct {
		name             string
		victimGuarantee  cluster.Amount // guaranteed CPUs of the victim's team
		guaranteed       bool           // whether the preempting job is within its team's guaranteed quota
		victimGuaranteed bool
		want             bool
	}{
		{"beyond the guarantee", 0, true, false, true},
		{"the victim's team is within its guarantee", 4, true, false, false},
		{"the victim is within the guarantee", 0, true, true, false},
		{"the job is not within the guarantee", 0, false, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.state.Teams["blue"] = &state.Team{Team: cluster.Team{Name: "blue", GuaranteedQuota: cluster.Resources{CPU: test.victimGuarantee * cpu}}}
			victim := f.addJob(cluster.JobSpec{ID: "victim", Tasks: 9, CheckpointIntervalSeconds: 10, SubmittedAt: 1_000_000})
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

// TestPreemptionWithinQuota checks that tasks are preempted for no more tasks of an urgent
// job than the quota of its team allows, and that lower-priority tasks of the same team are
// preempted if that quota is used up.
func TestPreemptionWithinQuota(t *testing.T) {
	for _, test := range []struct {
		name      string
		quotaCPUs cluster.Amount
		team      string // team of the victims
		want      int
	}{
		{"quota for both tasks", 8, "blue", 2},
		{"quota for one task", 4, "blue", 1},
		{"used up by lower-priority tasks of the same team", 8, "red", 2},
		{"no quota, and only tasks of another team", 0, "blue", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.state.Teams["red"].QuotaLimit.CPU = test.quotaCPUs * cpu
			f.state.Teams["blue"] = &state.Team{Team: cluster.Team{Name: "blue"}}
			victim := f.addJob(cluster.JobSpec{ID: "victim", Tasks: 9, CheckpointIntervalSeconds: 10, SubmittedAt: 1_000_000})
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
