package controller_test

import (
	"encoding/json"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

// testCluster is a calm cluster with some machines up and one long job that runs.
type testCluster struct {
	*simulation.Simulator
	t       *testing.T
	config  controller.Config
	longJob *simulation.Job
}

func newTestCluster(t *testing.T, machines int) *testCluster {
	t.Helper()
	return newTestClusterWithSeed(t, 1, machines)
}

func newTestClusterWithSeed(t *testing.T, seed uint64, machines int) *testCluster {
	t.Helper()
	return newTestClusterWithConfig(t, testConfig(), seed, machines)
}

// newTestClusterWithConfig is newMeetingOf with settings of its own.
func newTestClusterWithConfig(t *testing.T, cfg controller.Config, seed uint64, machines int) *testCluster {
	t.Helper()
	m := &testCluster{t: t, config: cfg}
	m.Simulator = simulation.NewSimulator(seed, cfg, testCloud(func() *simulation.Simulator { return m.Simulator }))
	m.NoRandomFaults = true
	for range machines {
		m.Machines.Add("small", "a", false)
	}
	m.RunUntil(10 * second)
	m.longJob = m.submitJob("j-000001", 3, 300*second)
	m.RunUntil(20 * second)
	if m.longJob.FirstStartAt == 0 {
		t.Fatal("the job has not begun")
	}
	return m
}

// submitJob hands in a job of team red, whose part is n1's.
func (m *testCluster) submitJob(id cluster.JobID, tasks int, run cluster.Time) *simulation.Job {
	s := cluster.JobSpec{ID: id, Class: "c", Team: "red", Priority: cluster.Normal, Tasks: tasks, ResourceRequest: cluster.Resources{CPU: cpu, Memory: cpu},
		Image: "img", ImageGB: 1, RuntimeSeconds: float64(run) / 1e9, SubmittedAt: cluster.WallTime(m.Now / 1e6)}
	j := &simulation.Job{Spec: s, Info: simulation.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: run, TaskCount: tasks, Image: "img"}}
	m.Users.Submit(j)
	return j
}

// longJobOwner is the controller that the store shows as holder of part 1.
func (m *testCluster) longJobOwner() cluster.NodeID {
	var rec struct {
		Holder cluster.NodeID `json:"holder"`
	}
	if err := json.Unmarshal(m.StateService.Get("parts/1").KV.Value, &rec); err != nil {
		m.t.Fatal(err)
	}
	return rec.Holder
}

// waitFor runs in small steps until something holds, or fails.
func (m *testCluster) waitFor(what string, within cluster.Time, ok func() bool) {
	m.t.Helper()
	at := m.Now
	for end := at + within; !ok(); m.RunUntil(at) {
		if at += second / 500; at > end || len(m.Violations) > 0 {
			m.t.Fatalf("not within %v: %s; broken: %v", time.Duration(within), what, m.Violations)
		}
	}
}

// cancelAt asks one controller to cancel the job until it is confirmed.
func (m *testCluster) cancelAt(n *simulation.Node, j *simulation.Job) {
	m.t.Helper()
	j.CancelRequested = true
	var ask func()
	ask = func() {
		n.SendRequest(func(id messages.RequestID) messages.Event { return messages.Cancel{Request: id, ID: j.Spec.ID} }, func(r messages.Respond) {
			if r.Status == 200 {
				m.Users.CheckReportedStatus(j, r.View.Status)
			} else if j.CancelConfirmedAt == 0 {
				m.After(second/10, ask)
			}
		})
	}
	ask()
	m.waitFor("the cancellation is confirmed", 5*second, func() bool { return j.CancelConfirmedAt > 0 })
}

// countRunningTasks counts the job's tasks that run on machines.
func (m *testCluster) countRunningTasks(j *simulation.Job) int {
	n := 0
	for _, l := range m.Machines.Workers {
		for _, x := range l.Tasks {
			if x.ID.Job == j.Spec.ID && (x.State == cluster.Running || x.State == cluster.Checkpointing) {
				n++
			}
		}
	}
	return n
}

// runAndCheck plays on and checks that no rule broke and that no task of the job is
// left once the cancellation's time is up.
func (m *testCluster) runAndCheck(d cluster.Time) {
	m.t.Helper()
	m.RunUntil(m.Now + d)
	for _, b := range m.Violations {
		m.t.Error(b)
	}
	if n := m.countRunningTasks(m.longJob); m.longJob.CancelConfirmedAt > 0 && n > 0 {
		m.t.Errorf("%d tasks of the cancelled job still run", n)
	}
}
