package controller_test

import (
	"fmt"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

const (
	// pollInterval is the simulated time between two checks of a condition.
	pollInterval = 2 * millisecond
	// cancelRetryDelay is the delay before a failed cancel request is retried.
	cancelRetryDelay = 100 * millisecond
)

// testCluster is a simulated cluster without random faults and with running machines.
type testCluster struct {
	*simulation.Simulator
	t       *testing.T
	config  controller.Config
	longJob *simulation.Job // runs from the start; nil in an idle cluster
}

// newTestCluster returns a cluster in which one long job runs.
func newTestCluster(t *testing.T, machines int) *testCluster {
	t.Helper()
	return newTestClusterWithSeed(t, 1, machines)
}

// newTestClusterWithSeed is like newTestCluster with the given seed.
func newTestClusterWithSeed(t *testing.T, seed uint64, machines int) *testCluster {
	t.Helper()
	return newTestClusterWithConfig(t, testConfig(), seed, machines)
}

// newTestClusterWithConfig is like newTestClusterWithSeed with the given settings.
func newTestClusterWithConfig(t *testing.T, cfg controller.Config, seed uint64, machines int) *testCluster {
	t.Helper()
	c := newIdleClusterWithConfig(t, cfg, seed, machines)
	c.longJob = c.submitJob("j-000001", 3, 300*second)
	c.RunUntil(20 * second)
	if c.longJob.FirstStartAt == 0 {
		t.Fatal("the long job has not started")
	}
	return c
}

// newIdleCluster returns a cluster without jobs.
func newIdleCluster(t *testing.T, machines int) *testCluster {
	t.Helper()
	return newIdleClusterWithConfig(t, testConfig(), 1, machines)
}

func newIdleClusterWithConfig(t *testing.T, cfg controller.Config, seed uint64, machines int) *testCluster {
	t.Helper()
	c := &testCluster{t: t, config: cfg, Simulator: newSimulator(seed, cfg)}
	c.NoRandomFaults = true
	for range machines {
		c.Machines.Add("small", "a", false)
	}
	c.RunUntil(10 * second)
	return c
}

// submitJob submits a job of team red, whose shard is first owned by n1. Each task runs
// for the given time.
func (c *testCluster) submitJob(id cluster.JobID, tasks int, run cluster.Time) *simulation.Job {
	spec := newJobSpec(id, "red", tasks, run)
	spec.SubmittedAt = wallTime(c.Now)
	job := newJob(spec, run)
	c.Users.Submit(job)
	return job
}

// longJobOwner returns the stored owner of the long job's shard.
func (c *testCluster) longJobOwner() cluster.NodeID {
	c.t.Helper()
	return c.shardOwner(shardOfTeam["red"])
}

// shardOfTeam is each team's shard under testConfig.
var shardOfTeam = map[string]int{"green": 0, "red": 1, "blue": 2}

// shardOwner returns the owner of a shard according to its stored claim.
func (c *testCluster) shardOwner(shard int) cluster.NodeID {
	c.t.Helper()
	var record struct {
		Owner cluster.NodeID `json:"holder"`
	}
	if err := exactjson.Unmarshal(c.Store.Get(fmt.Sprint("parts/", shard)).KV.Value, &record); err != nil {
		c.t.Fatal(err)
	}
	return record.Owner
}

// waitFor runs until holds returns true. It fails if that takes longer than within or if
// an invariant is violated.
func (c *testCluster) waitFor(what string, within cluster.Time, holds func() bool) {
	c.t.Helper()
	at := c.Now
	for end := at + within; !holds(); c.RunUntil(at) {
		at += pollInterval
		if at > end || len(c.Violations) > 0 {
			c.t.Fatalf("condition not met within %v: %s; violations: %v", time.Duration(within), what, c.Violations)
		}
	}
}

// cancelVia cancels a job via one controller, with retries, and waits until the
// cancellation is confirmed.
func (c *testCluster) cancelVia(node *simulation.Node, job *simulation.Job) {
	c.t.Helper()
	job.CancelRequested = true
	var request func()
	request = func() {
		node.SendRequest(cancelRequest(job.Spec.ID), func(response messages.Respond) {
			if response.Status == messages.StatusOK {
				c.Users.CheckReportedStatus(job, response.View.Status)
			} else if job.CancelConfirmedAt == 0 {
				c.After(cancelRetryDelay, request)
			}
		})
	}
	request()
	c.waitFor("the cancellation is confirmed", 5*second, func() bool { return job.CancelConfirmedAt > 0 })
}

// countRunningTasks returns the number of the job's tasks that run on machines.
func (c *testCluster) countRunningTasks(job *simulation.Job) int {
	count := 0
	for _, worker := range c.Machines.Workers {
		for _, task := range worker.Tasks {
			if task.ID.Job == job.Spec.ID && (task.State == cluster.Running || task.State == cluster.Checkpointing) {
				count++
			}
		}
	}
	return count
}

// runAndCheck runs for a duration. It checks that no invariant was violated and, if the
// long job's cancellation was confirmed, that none of its tasks still runs.
func (c *testCluster) runAndCheck(duration cluster.Time) {
	c.t.Helper()
	c.RunUntil(c.Now + duration)
	c.checkNoViolations()
	if count := c.countRunningTasks(c.longJob); c.longJob.CancelConfirmedAt > 0 && count > 0 {
		c.t.Errorf("%d tasks of the cancelled job still run", count)
	}
}

// checkNoViolations checks that no invariant was violated.
func (c *testCluster) checkNoViolations() {
	c.t.Helper()
	for _, violation := range c.Violations {
		c.t.Error(violation)
	}
}
