package core_test

import (
	"encoding/json"
	"testing"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/standin"
)

// calmCluster is a calm cluster with some machines up and one long job that runs.
type calmCluster struct {
	*standin.World
	t   *testing.T
	cfg core.Config
	job *standin.Job
}

func newCalmCluster(t *testing.T, machines int) *calmCluster {
	t.Helper()
	return newSeededCluster(t, 1, machines)
}

func newSeededCluster(t *testing.T, seed uint64, machines int) *calmCluster {
	t.Helper()
	return newCalmClusterWith(t, testConfig(), seed, machines)
}

// newCalmClusterWith is newMeetingOf with settings of its own.
func newCalmClusterWith(t *testing.T, cfg core.Config, seed uint64, machines int) *calmCluster {
	t.Helper()
	m := &calmCluster{t: t, cfg: cfg}
	m.World = standin.NewWorld(seed, cfg, testCloud(func() *standin.World { return m.World }))
	m.Calm = true
	for range machines {
		m.AddMachine("small", "a", false)
	}
	m.Run(10 * sec)
	m.job = m.submit("j-000001", 3, 300*sec)
	m.Run(20 * sec)
	if m.job.Began == 0 {
		t.Fatal("the job has not begun")
	}
	return m
}

// submit hands in a job of team red, whose part is n1's.
func (m *calmCluster) submit(id core.JobID, tasks int, run core.Time) *standin.Job {
	s := core.JobSpec{ID: id, Class: "c", Team: "red", Priority: core.Normal, Tasks: tasks, Need: core.Res{CPU: cpu, Mem: cpu},
		Image: "img", ImageGB: 1, RuntimeS: float64(run) / 1e9, Submitted: core.Wall(m.Now / 1e6)}
	j := &standin.Job{Spec: s, Info: standin.JobInfo{Need: s.Need, Run: run, Tasks: tasks, Image: "img"}}
	m.Submit(j)
	return j
}

// holder is the controller that the store shows as holder of part 1.
func (m *calmCluster) holder() core.NodeID {
	var rec struct {
		Holder core.NodeID `json:"holder"`
	}
	if err := json.Unmarshal(m.State.Get("parts/1").KV.Value, &rec); err != nil {
		m.t.Fatal(err)
	}
	return rec.Holder
}

// until runs in small steps until something holds, or fails.
func (m *calmCluster) until(what string, within core.Time, ok func() bool) {
	m.t.Helper()
	at := m.Now
	for end := at + within; !ok(); m.Run(at) {
		if at += sec / 500; at > end || len(m.Broken) > 0 {
			m.t.Fatalf("not within %v: %s; broken: %v", time.Duration(within), what, m.Broken)
		}
	}
}

// cancelAt asks one controller to cancel the job until it is confirmed.
func (m *calmCluster) cancelAt(n *standin.Node, j *standin.Job) {
	m.t.Helper()
	j.AskedCancel = true
	var ask func()
	ask = func() {
		m.Ask(n, func(id core.ReqID) core.Event { return core.Cancel{Req: id, ID: j.Spec.ID} }, func(r core.Respond) {
			if r.Status == 200 {
				m.Told(j, r.View.Status)
			} else if j.CancelTold == 0 {
				m.After(sec/10, ask)
			}
		})
	}
	ask()
	m.until("the cancellation is confirmed", 5*sec, func() bool { return j.CancelTold > 0 })
}

// onMachines counts the job's tasks that run on machines.
func (m *calmCluster) onMachines(j *standin.Job) int {
	n := 0
	for _, l := range m.Workers {
		for _, x := range l.Tasks {
			if x.ID.Job == j.Spec.ID && (x.State == core.Running || x.State == core.Saving) {
				n++
			}
		}
	}
	return n
}

// rest plays on and checks that no rule broke and that no task of the job is
// left once the cancellation's time is up.
func (m *calmCluster) rest(d core.Time) {
	m.t.Helper()
	m.Run(m.Now + d)
	for _, b := range m.Broken {
		m.t.Error(b)
	}
	if n := m.onMachines(m.job); m.job.CancelTold > 0 && n > 0 {
		m.t.Errorf("%d tasks of the cancelled job still run", n)
	}
}
