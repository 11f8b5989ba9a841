package core_test

import (
	"encoding/json"
	"testing"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/standin"
)

// calmCluster is a calm cluster with some machines up and one long job that runs.
type testCluster struct {
	*standin.Simulator
	t       *testing.T
	config  core.Config
	longJob *standin.Job
}

func newTestCluster(t *testing.T, machines int) *testCluster {
	t.Helper()
	return newTestClusterWithSeed(t, 1, machines)
}

func newTestClusterWithSeed(t *testing.T, seed uint64, machines int) *testCluster {
	t.Helper()
	return newTestClusterWithConfig(t, testConfig(), seed, machines)
}

// newCalmClusterWith is newMeetingOf with settings of its own.
func newTestClusterWithConfig(t *testing.T, cfg core.Config, seed uint64, machines int) *testCluster {
	t.Helper()
	m := &testCluster{t: t, config: cfg}
	m.Simulator = standin.NewSimulator(seed, cfg, testCloud(func() *standin.Simulator { return m.Simulator }))
	m.NoRandomFaults = true
	for range machines {
		m.AddMachine("small", "a", false)
	}
	m.RunUntil(10 * second)
	m.longJob = m.submitJob("j-000001", 3, 300*second)
	m.RunUntil(20 * second)
	if m.longJob.FirstStartAt == 0 {
		t.Fatal("the job has not begun")
	}
	return m
}

// submit hands in a job of team red, whose part is n1's.
func (m *testCluster) submitJob(id core.JobID, tasks int, run core.Time) *standin.Job {
	s := core.JobSpec{ID: id, Class: "c", Team: "red", Priority: core.Normal, Tasks: tasks, ResourceRequest: core.Resources{CPU: cpu, Memory: cpu},
		Image: "img", ImageGB: 1, RuntimeSeconds: float64(run) / 1e9, SubmittedAt: core.WallTime(m.Now / 1e6)}
	j := &standin.Job{Spec: s, Info: standin.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: run, TaskCount: tasks, Image: "img"}}
	m.Submit(j)
	return j
}

// holder is the controller that the store shows as holder of part 1.
func (m *testCluster) longJobOwner() core.NodeID {
	var rec struct {
		Holder core.NodeID `json:"holder"`
	}
	if err := json.Unmarshal(m.StateService.Get("parts/1").KV.Value, &rec); err != nil {
		m.t.Fatal(err)
	}
	return rec.Holder
}

// until runs in small steps until something holds, or fails.
func (m *testCluster) waitFor(what string, within core.Time, ok func() bool) {
	m.t.Helper()
	at := m.Now
	for end := at + within; !ok(); m.RunUntil(at) {
		if at += second / 500; at > end || len(m.Violations) > 0 {
			m.t.Fatalf("not within %v: %s; broken: %v", time.Duration(within), what, m.Violations)
		}
	}
}

// cancelAt asks one controller to cancel the job until it is confirmed.
func (m *testCluster) cancelAt(n *standin.Node, j *standin.Job) {
	m.t.Helper()
	j.CancelRequested = true
	var ask func()
	ask = func() {
		m.SendRequest(n, func(id core.RequestID) core.Event { return core.Cancel{Request: id, ID: j.Spec.ID} }, func(r core.Respond) {
			if r.Status == 200 {
				m.CheckReportedStatus(j, r.View.Status)
			} else if j.CancelConfirmedAt == 0 {
				m.After(second/10, ask)
			}
		})
	}
	ask()
	m.waitFor("the cancellation is confirmed", 5*second, func() bool { return j.CancelConfirmedAt > 0 })
}

// onMachines counts the job's tasks that run on machines.
func (m *testCluster) countRunningTasks(j *standin.Job) int {
	n := 0
	for _, l := range m.Workers {
		for _, x := range l.Tasks {
			if x.ID.Job == j.Spec.ID && (x.State == core.Running || x.State == core.Checkpointing) {
				n++
			}
		}
	}
	return n
}

// rest plays on and checks that no rule broke and that no task of the job is
// left once the cancellation's time is up.
func (m *testCluster) runAndCheck(d core.Time) {
	m.t.Helper()
	m.RunUntil(m.Now + d)
	for _, b := range m.Violations {
		m.t.Error(b)
	}
	if n := m.countRunningTasks(m.longJob); m.longJob.CancelConfirmedAt > 0 && n > 0 {
		m.t.Errorf("%d tasks of the cancelled job still run", n)
	}
}
