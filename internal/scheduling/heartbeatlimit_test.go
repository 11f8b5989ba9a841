package scheduling

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// tinyRequest is the request of a task of which a machine of the fixture has resources for
// more than its heartbeats can list.
var tinyRequest = cluster.Resources{CPU: cpu / 1000}

// maxTasks is the number of tasks that a heartbeat in compact JSON can list.
var maxTasks = cluster.MaxTasksPerHeartbeat(0)

// addTinyJob adds a job whose tasks have the request tinyRequest.
func (f *fixture) addTinyJob(spec cluster.JobSpec) *state.Job {
	spec.SubmittedAt = f.loop.WallTime()
	job := f.addJob(spec)
	job.Spec.ResourceRequest = tinyRequest
	return job
}

// addFullMachine adds a machine m-1 that runs as many tiny tasks as its heartbeats can list.
func (f *fixture) addFullMachine() (*state.Machine, *state.Job) {
	machine := f.addMachine("m-1")
	job := f.addTinyJob(cluster.JobSpec{ID: "j-1", Tasks: maxTasks, CheckpointIntervalSeconds: 10})
	for range maxTasks {
		f.addRunningTask(job, machine)
	}
	return machine, job
}

// TestPlacementStopsAtHeartbeatLimit guards against a machine with more tasks than its
// heartbeats can list, in whatever states the tasks are: its heartbeats would be rejected.
func TestPlacementStopsAtHeartbeatLimit(t *testing.T) {
	const others = 10
	for name, prepare := range map[string]func(*state.Machine){
		"ended tasks": func(machine *state.Machine) {
			for i := range others {
				machine.EndedToAcknowledge[state.TaskAttempt{Task: cluster.TaskID{Job: "j-9", Index: i}}] = true
			}
		},
		"unrecorded tasks": func(machine *state.Machine) {
			for i := range others {
				machine.UnrecordedToStop[state.TaskAttempt{Task: cluster.TaskID{Job: "j-9", Index: i}}] = true
			}
		},
		"tasks of a job that is being loaded": func(machine *state.Machine) { machine.UntrackedTaskCount = others },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			machine := f.addMachine("m-1")
			prepare(machine)
			want := maxTasks - others
			job := f.addTinyJob(cluster.JobSpec{ID: "j-1", Tasks: 2 * maxTasks})
			f.ScheduleShard(f.shard)
			if job.AssignedCount != want {
				t.Errorf("%d tasks assigned, want %d", job.AssignedCount, want)
			}
		})
	}
}

// TestEndedTasksCountUntilAcknowledged guards against new tasks in place of ended ones that
// the worker still lists.
func TestEndedTasksCountUntilAcknowledged(t *testing.T) {
	f := newFixture()
	machine, running := f.addFullMachine()
	for _, assignment := range machine.SortedAssignments() {
		machine.MarkEnded(assignment, cluster.CauseCompleted)
	}
	job := f.addTinyJob(cluster.JobSpec{ID: "j-2", Tasks: 1})
	if f.ScheduleShard(f.shard); job.AssignedCount != 0 {
		t.Error("a task was assigned although the worker lists as many ended tasks as fit")
	}
	ended := running.Assignments[0]
	machine.RemoveAssignment(ended, f.loop.Now())
	machine.PruneStaleAttempts(map[state.TaskAttempt]bool{})
	if f.ScheduleShard(f.shard); job.AssignedCount != 1 {
		t.Error("no task was assigned after the worker has forgotten one")
	}
}

// TestFullHeartbeatIsNoFreeCapacity checks that renting and the progress check agree with the
// placement that a machine whose heartbeats can list no further task has no room.
func TestFullHeartbeatIsNoFreeCapacity(t *testing.T) {
	f := newFixture()
	f.addFullMachine()
	job := f.addTinyJob(cluster.JobSpec{ID: "j-2", Tasks: 5})
	if f.HasStartableTasks(f.shard) {
		t.Error("the progress check expects the task to start")
	}
	work := PendingWork{{Job: job, Count: 5}}
	f.PackFreeCapacity(f.shard, work)
	if work[0].Count != 5 {
		t.Errorf("%d of 5 tasks are left to rent machines for, want all", work[0].Count)
	}
	f.addMachine("m-2")
	if !f.HasStartableTasks(f.shard) {
		t.Error("the progress check does not expect the task to start on an empty machine")
	}
	f.PackFreeCapacity(f.shard, work)
	if f.ScheduleShard(f.shard); work[0].Count != 0 || job.AssignedCount != 5 {
		t.Errorf("%d tasks are left to rent machines for and %d assigned, want 0 and 5", work[0].Count, job.AssignedCount)
	}
}

// TestTasksWithoutCPUs checks that renting and the progress check agree with the placement that
// a task that requests no CPUs fits on a machine whose CPUs are all in use.
func TestTasksWithoutCPUs(t *testing.T) {
	f := newFixture()
	f.addRunningTask(f.addJob(cluster.JobSpec{ID: "j-1", Tasks: 1, SubmittedAt: f.loop.WallTime()}), f.addMachine("m-1"))
	job := f.addTinyJob(cluster.JobSpec{ID: "j-2", Tasks: 3})
	job.Spec.ResourceRequest = cluster.Resources{}
	work := PendingWork{{Job: job, Count: 3}}
	f.PackFreeCapacity(f.shard, work)
	startable := f.HasStartableTasks(f.shard)
	f.ScheduleShard(f.shard)
	if work[0].Count != 0 || !startable || job.AssignedCount != 3 {
		t.Errorf("%d tasks left to rent machines for, startable: %v, %d assigned; want 0, true and 3", work[0].Count, startable, job.AssignedCount)
	}
}

// TestFullMachineIsNotReleased guards against machines that are rented and released in turn:
// the tasks of a machine whose heartbeats are full use few of its CPUs, but occupy all.
func TestFullMachineIsNotReleased(t *testing.T) {
	for _, fieldOverhead := range []int{0, 40} {
		f := newFixture()
		machine := f.addMachine("m-1")
		machine.FieldOverhead = fieldOverhead
		job := f.addTinyJob(cluster.JobSpec{ID: "j-1", Tasks: machine.MaxTasks()})
		for range machine.MaxTasks() {
			f.addRunningTask(job, machine)
		}
		load := f.Loads.compute(f.shard)
		if unused := load.Available - load.TotalDemand(); unused > cpu/10 {
			t.Errorf("%d of %d CPUs count as unused, want none", unused, load.Available)
		}
	}
}

// TestMachineWithoutEntryIsReservedLast checks that a starving job reserves a machine whose
// heartbeats can list its task, though another one has more free CPUs.
func TestMachineWithoutEntryIsReservedLast(t *testing.T) {
	f := newFixture()
	f.addFullMachine()
	other := f.addMachine("m-2")
	busy := f.addJob(cluster.JobSpec{ID: "j-2", Tasks: 1, SubmittedAt: f.loop.WallTime()})
	busy.Spec.ResourceRequest = cluster.Resources{CPU: cpu}
	f.addRunningTask(busy, other)
	starving := f.addJob(cluster.JobSpec{ID: "j-3", Tasks: 1})
	starving.ReadySince = f.loop.WallTime() - cluster.WallTime(f.config.FirstTaskTarget/millisecond)
	if f.ScheduleShard(f.shard); starving.ReservedMachine != other.ID {
		t.Errorf("machine %q reserved, want %q", starving.ReservedMachine, other.ID)
	}
}

// TestPreemptionFreesHeartbeatEntry checks that an urgent job preempts one task of a machine
// that has enough resources but whose heartbeats are full.
func TestPreemptionFreesHeartbeatEntry(t *testing.T) {
	f := newFixture()
	machine, running := f.addFullMachine()
	urgent := f.addTinyJob(cluster.JobSpec{ID: "j-2", Tasks: 1, Priority: cluster.Urgent})
	f.preemptFor(nil, urgent)
	stopped := 0
	for _, assignment := range machine.Assignments {
		if assignment.StopRequested {
			stopped++
		}
	}
	if stopped != 1 {
		t.Errorf("%d of %d tasks stopped, want 1", stopped, running.AssignedCount)
	}
}

// TestNoPreemptionIfEntriesAreStillMissing guards against preemption in vain: a machine has more
// tasks than its heartbeats can list, and its only preemptible task would not make room.
func TestNoPreemptionIfEntriesAreStillMissing(t *testing.T) {
	f := newFixture()
	machine := f.addMachine("m-1")
	for i := range maxTasks + 1 {
		machine.EndedToAcknowledge[state.TaskAttempt{Task: cluster.TaskID{Job: "j-9", Index: i}}] = true
	}
	victim := f.addRunningTask(f.addTinyJob(cluster.JobSpec{ID: "j-1", Tasks: 1, CheckpointIntervalSeconds: 10}), machine)
	urgent := f.addTinyJob(cluster.JobSpec{ID: "j-2", Tasks: 1, Priority: cluster.Urgent})
	if f.preemptFor(nil, urgent); victim.StopRequested {
		t.Error("a task was preempted although the urgent one still would not fit")
	}
}

// TestStarvingJobGetsNextHeartbeatEntry checks that a starving job gets the entry that the
// end of a task frees on its reserved machine.
func TestStarvingJobGetsNextHeartbeatEntry(t *testing.T) {
	f := newFixture()
	machine, running := f.addFullMachine()
	f.addTinyJob(cluster.JobSpec{ID: "j-2", Tasks: 100})
	starving := f.addTinyJob(cluster.JobSpec{ID: "j-3", Tasks: 1})
	starving.ReadySince = f.loop.WallTime() - cluster.WallTime(f.config.FirstTaskTarget/millisecond)
	if f.ScheduleShard(f.shard); starving.ReservedMachine != machine.ID {
		t.Fatalf("machine %q reserved, want m-1", starving.ReservedMachine)
	}
	assignment := running.Assignments[0]
	machine.MarkEnded(assignment, cluster.CauseStopped)
	machine.RemoveAssignment(assignment, f.loop.Now())
	machine.PruneStaleAttempts(map[state.TaskAttempt]bool{})
	if f.ScheduleShard(f.shard); starving.AssignedCount != 1 {
		t.Error("the starving job did not get the freed entry")
	}
}

// TestFullRecordIsNoFreeCapacity checks that placing, preempting, reserving and renting agree
// that a machine has no room if the record of its group is full and can't be split.
func TestFullRecordIsNoFreeCapacity(t *testing.T) {
	f := newFixture()
	f.recordFull = true
	machine := f.addMachine("m-1")
	victim := f.addJob(cluster.JobSpec{ID: "j-1", Tasks: 9, CheckpointIntervalSeconds: 10, SubmittedAt: f.loop.WallTime()})
	assignment := f.addRunningTask(victim, machine)
	job := f.addJob(cluster.JobSpec{ID: "j-2", Tasks: 1, Priority: cluster.Urgent, SubmittedAt: f.loop.WallTime()})
	if f.preemptFor(nil, job); assignment.StopRequested {
		t.Error("a task was preempted in vain")
	}
	tiny := f.addTinyJob(cluster.JobSpec{ID: "j-3", Tasks: 1})
	machine.MarkEnded(assignment, cluster.CauseStopped)
	work := PendingWork{{Job: tiny, Count: 1}}
	f.PackFreeCapacity(f.shard, work)
	if f.ScheduleShard(f.shard); work[0].Count != 1 || tiny.AssignedCount != 0 || f.HasStartableTasks(f.shard) {
		t.Errorf("%d tasks left to rent machines for, %d assigned, startable: %v; want 1, 0 and false", work[0].Count, tiny.AssignedCount, f.HasStartableTasks(f.shard))
	}
	tiny.ReadySince = f.loop.WallTime() - cluster.WallTime(f.config.FirstTaskTarget/millisecond)
	if f.ScheduleShard(f.shard); tiny.ReservedMachine != "" {
		t.Error("the machine was reserved")
	}
}

// TestMachineThatCanListNoTaskIsSurplus guards against idle machines that are kept for pending
// tasks although their heartbeats are too large to list any.
func TestMachineThatCanListNoTaskIsSurplus(t *testing.T) {
	f := newFixture()
	machine := f.addMachine("m-1")
	job := f.addTinyJob(cluster.JobSpec{ID: "j-1", Tasks: 1})
	if f.Rebalancer.SurplusPredicate()(machine) {
		t.Error("a machine that can run the pending task is surplus")
	}
	machine.FieldOverhead = cluster.MaxBodySize
	if f.ScheduleShard(f.shard); job.AssignedCount != 0 || !f.Rebalancer.SurplusPredicate()(machine) {
		t.Errorf("%d tasks assigned, and the machine is not surplus", job.AssignedCount)
	}
}
