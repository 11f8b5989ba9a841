package controller_test

import (
	"testing"
	"time"

	"encoding/json"
	"fmt"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

const (
	// waitStep is the simulated time between two checks of a condition.
	waitStep = 2 * millisecond
	// cancelRetryPause is the time between two requests for a cancellation.
	cancelRetryPause = 100 * millisecond
)

// testCluster is a cluster without random faults, with some machines up.
type testCluster struct {
	*simulation.Simulator
	t       *testing.T
	config  controller.Config
	longJob *simulation.Job // runs from the start; nil in an idle cluster
}

// newTestCluster makes a cluster in which one long job runs.
func newTestCluster(t *testing.T, machines int) *testCluster {
	t.Helper()
	return newTestClusterWithSeed(t, 1, machines)
}

// newTestClusterWithSeed is newTestCluster with a seed of its own.
func newTestClusterWithSeed(t *testing.T, seed uint64, machines int) *testCluster {
	t.Helper()
	return newTestClusterWithConfig(t, testConfig(), seed, machines)
}

// newTestClusterWithConfig is newTestClusterWithSeed with settings of its own.
func newTestClusterWithConfig(t *testing.T, cfg controller.Config, seed uint64, machines int) *testCluster {
	t.Helper()
	m := newIdleClusterWithConfig(t, cfg, seed, machines)
	m.longJob = m.submitJob("j-000001", 3, 300*second)
	m.RunUntil(20 * second)
	if m.longJob.FirstStartAt == 0 {
		t.Fatal("the long job has not started")
	}
	return m
}

// newIdleCluster makes a cluster in which nothing runs.
func newIdleCluster(t *testing.T, machines int) *testCluster {
	t.Helper()
	return newIdleClusterWithConfig(t, testConfig(), 1, machines)
}

func newIdleClusterWithConfig(t *testing.T, cfg controller.Config, seed uint64, machines int) *testCluster {
	t.Helper()
	m := &testCluster{t: t, config: cfg, Simulator: newSimulator(seed, cfg)}
	m.NoRandomFaults = true
	for range machines {
		m.Machines.Add("small", "a", false)
	}
	m.RunUntil(10 * second)
	return m
}

// submitJob submits a job of team red, whose shard is n1's at first.
func (m *testCluster) submitJob(id cluster.JobID, tasks int, run cluster.Time) *simulation.Job {
	spec := newJobSpec(id, "red", tasks, run)
	spec.SubmittedAt = wallTime(m.Now)
	job := newJob(spec, run)
	m.Users.Submit(job)
	return job
}

// longJobOwner is the controller that owns the long job's shard by the store.
func (m *testCluster) longJobOwner() cluster.NodeID {
	m.t.Helper()
	return m.shardOwner(shardOfTeam["red"])
}

// shardOfTeam is each team's shard under testConfig.
var shardOfTeam = map[string]int{"green": 0, "red": 1, "blue": 2}

// shardOwner is the controller that owns a shard by the store.
func (m *testCluster) shardOwner(shard int) cluster.NodeID {
	m.t.Helper()
	var record struct {
		Owner cluster.NodeID `json:"holder"`
	}
	if err := json.Unmarshal(m.StateService.Get(fmt.Sprint("parts/", shard)).KV.Value, &record); err != nil {
		m.t.Fatal(err)
	}
	return record.Owner
}

// waitFor runs in small steps until something holds, or fails.
func (m *testCluster) waitFor(what string, within cluster.Time, holds func() bool) {
	m.t.Helper()
	at := m.Now
	for end := at + within; !holds(); m.RunUntil(at) {
		at += waitStep
		if at > end || len(m.Violations) > 0 {
			m.t.Fatalf("not within %v: %s; violations: %v", time.Duration(within), what, m.Violations)
		}
	}
}

// cancelAt requests a job's cancellation of one controller until it is confirmed.
func (m *testCluster) cancelAt(node *simulation.Node, job *simulation.Job) {
	m.t.Helper()
	job.CancelRequested = true
	var request func()
	request = func() {
		node.SendRequest(cancelRequest(job.Spec.ID), func(answer messages.Respond) {
			if answer.Status == messages.ReplyOK {
				m.Users.CheckReportedStatus(job, answer.View.Status)
			} else if job.CancelConfirmedAt == 0 {
				m.After(cancelRetryPause, request)
			}
		})
	}
	request()
	m.waitFor("the cancellation is confirmed", 5*second, func() bool { return job.CancelConfirmedAt > 0 })
}

// countRunningTasks counts the job's tasks that run on machines.
func (m *testCluster) countRunningTasks(job *simulation.Job) int {
	count := 0
	for _, worker := range m.Machines.Workers {
		for _, task := range worker.Tasks {
			if task.ID.Job == job.Spec.ID && (task.State == cluster.Running || task.State == cluster.Checkpointing) {
				count++
			}
		}
	}
	return count
}

// runAndCheck runs on, and checks that no rule is broken and that no task of the
// long job is left once the time for its cancellation is over.
func (m *testCluster) runAndCheck(duration cluster.Time) {
	m.t.Helper()
	m.RunUntil(m.Now + duration)
	m.checkNoViolations()
	if count := m.countRunningTasks(m.longJob); m.longJob.CancelConfirmedAt > 0 && count > 0 {
		m.t.Errorf("%d tasks of the cancelled job still run", count)
	}
}

// checkNoViolations fails when a rule was broken.
func (m *testCluster) checkNoViolations() {
	m.t.Helper()
	for _, violation := range m.Violations {
		m.t.Error(violation)
	}
}
