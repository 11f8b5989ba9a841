package controller_test

import (
	"fmt"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

// smallTask is the request of a task of which more fit on a large machine than its heartbeat
// can list.
var smallTask = cluster.Resources{CPU: cpu / 20, Memory: 4 * cpu / 10}

// newLargeMachineCluster returns a cluster with three machines of 4 CPUs and one of 64. The
// cloud can provision further large machines.
func newLargeMachineCluster(t *testing.T, furtherMachines int, options ...simulation.Option) *testCluster {
	t.Helper()
	cfg := testConfig()
	cfg.Teams = []cluster.Team{testTeam("red", 48*cpu, 96*cpu)}
	types := []cluster.MachineType{
		{Name: "small", Capacity: cluster.Resources{CPU: 4 * cpu, Memory: 16 * cpu}, CacheGB: 20, FetchGBPerSecond: 0.3, OnDemandPrice: 0.16, SpotPrice: 0.06, BootSeconds: 20, Zones: zones},
		{Name: "large", Capacity: cluster.Resources{CPU: 64 * cpu, Memory: 512 * cpu}, CacheGB: 20, FetchGBPerSecond: 0.3, OnDemandPrice: 2.84, SpotPrice: 1.08, BootSeconds: 35, Zones: zones},
	}
	capacity := map[string]int{simulation.CapacityKey("large", "a", false): furtherMachines}
	cloud := simulation.NewFakeCloud(types, capacity, func() cluster.Time { return 20 * second })
	c := &testCluster{t: t, config: cfg, Simulator: simulation.NewSimulator(1, cfg, cloud, options...)}
	c.NoRandomFaults = true
	for range 3 {
		c.Machines.Add("small", "a", false)
	}
	c.Machines.Add("large", "a", false)
	c.RunUntil(10 * second)
	return c
}

// submitSmallTasks submits a job of team red with tasks that run for the given time.
func (c *testCluster) submitSmallTasks(id cluster.JobID, tasks int, request cluster.Resources, run cluster.Time) *simulation.Job {
	spec := newJobSpec(id, "red", tasks, run)
	spec.ResourceRequest = request
	spec.SubmittedAt = wallTime(c.Now)
	job := newJob(spec, run)
	c.Users.Submit(job)
	return job
}

func isDone(jobs []*simulation.Job) bool {
	for _, job := range jobs {
		if job.ReportedStatus != cluster.JobDone {
			return false
		}
	}
	return true
}

// TestBurstOfSmallTasks guards against jobs that never end: controllers rejected the
// heartbeats of a machine whose tasks they did not limit, so it lost lease after lease.
func TestBurstOfSmallTasks(t *testing.T) {
	for name, test := range map[string]struct {
		tasks   int
		request cluster.Resources
	}{
		"0.05 CPUs":    {320, smallTask},
		"no resources": {1000, cluster.Resources{}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newLargeMachineCluster(t, 0)
			var jobs []*simulation.Job
			for i := range 4 {
				id := cluster.JobID(fmt.Sprintf("j-%06d", i+1))
				jobs = append(jobs, c.submitSmallTasks(id, test.tasks, test.request, 8*second))
			}
			c.waitFor("all jobs are done", 90*second, func() bool { return isDone(jobs) })
			if rejected := c.FaultCounts[simulation.FaultHeartbeatTooLarge]; rejected > 0 {
				t.Errorf("%d heartbeats were too large", rejected)
			}
		})
	}
}

// TestMachinesForSmallTasksAreUsed guards against machines that are rented in vain: the tasks
// that a machine's heartbeats can't list start on another machine, which is kept until then.
func TestMachinesForSmallTasksAreUsed(t *testing.T) {
	c := newLargeMachineCluster(t, 1)
	var jobs []*simulation.Job
	for i := range 4 {
		jobs = append(jobs, c.submitSmallTasks(cluster.JobID(fmt.Sprintf("j-%06d", i+1)), 320, smallTask, 40*second))
	}
	countLargeInUse := func() int {
		count := 0
		for _, worker := range c.Machines.Workers {
			if worker.Type == "large" && len(worker.Tasks) > 0 {
				count++
			}
		}
		return count
	}
	c.waitFor("another large machine runs tasks", 60*second, func() bool { return countLargeInUse() == 2 })
	machines := c.Machines.LiveCount()
	c.waitFor("all tasks have started", 60*second, func() bool {
		if c.Machines.LiveCount() < machines {
			t.Fatal("a machine was released while tasks were pending")
		}
		return c.unstartedTaskCount(jobs) == 0
	})
	c.waitFor("all jobs are done", 60*second, func() bool { return isDone(jobs) })
}

// unstartedTaskCount returns the number of the jobs' tasks that are neither done nor on a
// machine.
func (c *testCluster) unstartedTaskCount(jobs []*simulation.Job) int {
	unstarted := 0
	for _, job := range jobs {
		unstarted += job.Spec.Tasks - c.countRunningTasks(job)
	}
	for _, worker := range c.Machines.Workers {
		return unstarted - len(worker.DoneTasks) // shared by all workers
	}
	return unstarted
}

// TestMachineBeyondHeartbeatLimitRecovers guards against a machine that loses lease after lease
// because it has more tasks than its heartbeats can list: the tasks that fit must go on.
func TestMachineBeyondHeartbeatLimitRecovers(t *testing.T) {
	c := newLargeMachineCluster(t, 0)
	job := c.submitSmallTasks("j-000001", 420, cluster.Resources{CPU: cpu / 8, Memory: 4 * cpu / 10}, 60*second)
	worker := c.Machines.Workers["m-000004"]
	c.waitFor("the large machine has many tasks", 30*second, func() bool { return len(worker.Tasks) > 250 })
	started := len(worker.Tasks)
	const overhead = 40 // makes the heartbeats too large
	worker.FieldOverhead = overhead
	c.waitFor("a heartbeat is rejected", 10*second, func() bool { return c.FaultCounts[simulation.FaultHeartbeatTooLarge] > 0 })
	limit := cluster.MaxTasksPerHeartbeat(overhead)
	c.waitFor("a heartbeat is accepted", c.config.WorkerLease, func() bool { return len(worker.Tasks) <= 2*limit })
	if len(worker.Tasks) < limit || worker.Incarnation != 1 {
		t.Errorf("%d of %d tasks left in incarnation %d, want at least %d in the first", len(worker.Tasks), started, worker.Incarnation, limit)
	}
	c.waitFor("the job is done", 400*second, func() bool { return job.ReportedStatus == cluster.JobDone })
	if worker.Incarnation != 1 {
		t.Errorf("the worker lost its lease: incarnation %d", worker.Incarnation)
	}
}

// TestRepeatedPushedAcknowledgement guards against ran_twice: acknowledgements that are pushed
// because the heartbeats are too large may arrive again later, when tasks have started anew.
func TestRepeatedPushedAcknowledgement(t *testing.T) {
	recorder := &pushRecorder{}
	c := newLargeMachineCluster(t, 0, simulation.ObserveEffects(recorder.observe))
	job := c.submitSmallTasks("j-000001", 420, cluster.Resources{CPU: cpu / 8, Memory: 4 * cpu / 10}, 60*second)
	worker := c.Machines.Workers["m-000004"]
	c.waitFor("the large machine has many tasks", 30*second, func() bool { return len(worker.Tasks) > 250 })
	worker.FieldOverhead = 40
	c.waitFor("a heartbeat is rejected", 10*second, func() bool { return c.FaultCounts[simulation.FaultHeartbeatTooLarge] > 0 })
	c.RunUntil(c.Now + c.config.WorkerLease)
	worker.FieldOverhead = 0
	c.RunUntil(c.Now + c.config.WorkerLease)
	running := c.countRunningTasks(job)
	acknowledgements := 0
	for _, push := range recorder.pushes {
		for _, command := range push.Commands {
			if command.Kind == cluster.Acknowledge {
				acknowledgements++
			}
		}
		if push.Addr == string(worker.ID) {
			worker.HandleCommands(push)
		}
	}
	if after := c.countRunningTasks(job); acknowledgements == 0 || after < running {
		t.Errorf("%d acknowledgements repeated, %d of %d tasks still run", acknowledgements, after, running)
	}
	c.waitFor("the job is done", 400*second, func() bool { return job.ReportedStatus == cluster.JobDone })
}
