package core_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/standin"
)

// Where two troubles meet: each test brings a meeting of docs/meetings.md about.

// meeting is a calm cluster with some machines up and one long job that runs.
type meeting struct {
	*standin.World
	t   *testing.T
	cfg core.Config
	job *standin.Job
}

func newMeeting(t *testing.T, machines int) *meeting {
	t.Helper()
	return newMeetingOf(t, 1, machines)
}

func newMeetingOf(t *testing.T, seed uint64, machines int) *meeting {
	t.Helper()
	return newMeetingWith(t, testConfig(), seed, machines)
}

// newMeetingWith is newMeetingOf with settings of its own.
func newMeetingWith(t *testing.T, cfg core.Config, seed uint64, machines int) *meeting {
	t.Helper()
	m := &meeting{t: t, cfg: cfg}
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
func (m *meeting) submit(id core.JobID, tasks int, run core.Time) *standin.Job {
	s := core.JobSpec{ID: id, Class: "c", Team: "red", Priority: core.Normal, Tasks: tasks, Need: core.Res{CPU: cpu, Mem: cpu},
		Image: "img", ImageGB: 1, RuntimeS: float64(run) / 1e9, Submitted: core.Wall(m.Now / 1e6)}
	j := &standin.Job{Spec: s, Info: standin.JobInfo{Need: s.Need, Run: run, Tasks: tasks, Image: "img"}}
	m.Submit(j)
	return j
}

// holder is the controller that the store shows as holder of part 1.
func (m *meeting) holder() core.NodeID {
	var rec struct {
		Holder core.NodeID `json:"holder"`
	}
	if err := json.Unmarshal(m.State.Get("parts/1").KV.Value, &rec); err != nil {
		m.t.Fatal(err)
	}
	return rec.Holder
}

// until runs in small steps until something holds, or fails.
func (m *meeting) until(what string, within core.Time, ok func() bool) {
	m.t.Helper()
	at := m.Now
	for end := at + within; !ok(); m.Run(at) {
		if at += sec / 500; at > end || len(m.Broken) > 0 {
			m.t.Fatalf("not within %v: %s; broken: %v", time.Duration(within), what, m.Broken)
		}
	}
}

// cancelAt asks one controller to cancel the job until it is confirmed.
func (m *meeting) cancelAt(n *standin.Node, j *standin.Job) {
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
func (m *meeting) onMachines(j *standin.Job) int {
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
func (m *meeting) rest(d core.Time) {
	m.t.Helper()
	m.Run(m.Now + d)
	for _, b := range m.Broken {
		m.t.Error(b)
	}
	if n := m.onMachines(m.job); m.job.CancelTold > 0 && n > 0 {
		m.t.Errorf("%d tasks of the cancelled job still run", n)
	}
}

// TestGap: the leader alone is refused by the state service; its successor
// claims the part, confirms a cancellation and ends before it could tell
// anybody or reach a machine; then the service is out for longer than cancel_s,
// while the workers report to the former leader all along. It can't know, and
// stops answering them in time. The controller that ended is back during the
// outage and knows nothing of what it did before: its word counts for nothing.
func TestGap(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ { // in some the claim is told before the links are cut
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newMeetingOf(t, seed, 2)
			leader, next, third := m.Nodes[1], m.Nodes[2], m.Nodes[0]
			leader.Refused = m.Now + 14*sec
			m.Run(m.Now + 2*sec)
			third.Refused = m.Now + 20*sec // else it reads of the claim and tells the leader
			m.until("claimed by the next", 10*sec, func() bool { return m.holder() == next.ID })
			next.WorkerCut, next.PeerCut = m.Now+300*sec, m.Now+300*sec
			m.cancelAt(next, m.job)
			m.Kill(next)
			m.Down = m.Now + 80*sec
			next.PeerCut = 0
			m.After(6*sec, func() { m.Boot(next) })
			if m.onMachines(m.job) == 0 {
				t.Fatal("the tasks are gone before the outage: the gap did not open")
			}
			m.rest(120 * sec)
		})
	}
}

// TestOutageWithEverybodysWord: while every controller gives its word, an
// outage of the state service that is longer than cancel_s costs no running task.
func TestOutageWithEverybodysWord(t *testing.T) {
	m := newMeeting(t, 2)
	m.Down = m.Now + 2*m.cfg.CancelWithin
	m.rest(2*m.cfg.CancelWithin + 5*sec)
	for id, l := range m.Workers {
		if l.Session != 1 {
			t.Errorf("the lease of %s ran out", id)
		}
	}
	if n := m.onMachines(m.job); n != 3 {
		t.Errorf("%d of 3 tasks run", n)
	}
}

// TestGapByThirdWord: the former leader is cut from its successor but not from
// the third controller, whose word is enough for it to give the part up.
func TestGapByThirdWord(t *testing.T) {
	m := newMeeting(t, 2)
	leader, next := m.Nodes[1], m.Nodes[2]
	leader.Refused = m.Now + 10*sec
	m.until("claimed by the next", 10*sec, func() bool { return m.holder() == next.ID })
	next.WorkerCut = m.Now + 60*sec
	m.Run(m.Now + 2*sec) // the third hears of the claim
	m.Kill(next)
	m.Down = m.Now + 60*sec
	status := 0
	m.Run(m.Now + 2*sec)
	for id, l := range m.Workers {
		if len(l.Tasks) == 0 {
			continue
		}
		r := l.Report()
		m.Ask(leader, func(req core.ReqID) core.Event { return core.Checkin{Req: req, Report: r} }, func(a core.Respond) { status = a.Status })
		m.Run(m.Now + sec)
		if status == 200 {
			t.Errorf("the former leader still answers %s", id)
		}
	}
	if status == 0 {
		t.Error("no report was answered")
	}
}

// TestHungInOutage: a cancelled job's machine hangs, and the state service is
// out for longer than cancel_s: the machine is returned without a record.
func TestHungInOutage(t *testing.T) {
	m := newMeeting(t, 2)
	for id, l := range m.Workers {
		if len(l.Tasks) > 0 {
			m.Hang(id, 100*sec)
		}
	}
	m.cancelAt(m.Nodes[1], m.job)
	m.Down = m.Now + 80*sec
	if m.onMachines(m.job) == 0 {
		t.Fatal("the tasks are gone before the outage")
	}
	m.rest(120 * sec)
}

// TestZoneCutLongerThanLease: a zone with all the workers and one controller is
// cut off for longer than a lease; the controller there goes on answering them.
// Another claims its part and confirms a cancellation, and can't reach a machine.
func TestZoneCutLongerThanLease(t *testing.T) {
	m := newMeeting(t, 2)
	inside := m.Nodes[1]
	until := m.Now + 6*m.cfg.Lease
	inside.StoreCut, inside.PeerCut = until, until
	for _, n := range m.Nodes {
		if n != inside {
			n.WorkerCut = until
		}
	}
	m.until("claimed outside", 30*sec, func() bool { return m.holder() != inside.ID })
	outside := m.Nodes[2]
	if m.holder() != outside.ID {
		t.Fatalf("claimed by %s", m.holder())
	}
	m.cancelAt(outside, m.job)
	if m.onMachines(m.job) == 0 {
		t.Fatal("the tasks are gone before the cancellation")
	}
	m.rest(m.cfg.CancelWithin + 30*sec)
}

// TestAllAwayLongerThanLease: all controllers are away for longer than a lease.
// The tasks are lost with it; none runs twice, and the job gets done.
func TestAllAwayLongerThanLease(t *testing.T) {
	m := newMeeting(t, 2)
	other := m.submit("j-000002", 2, 20*sec)
	m.Run(m.Now + 3*sec)
	for _, n := range m.Nodes {
		m.Kill(n)
	}
	m.Run(m.Now + m.cfg.Lease + 5*sec)
	if n := m.onMachines(m.job); n != 0 {
		t.Fatalf("%d tasks outlive their lease", n)
	}
	for i, n := range m.Nodes {
		m.After(core.Time(i)*sec/5, func() { m.Boot(n) })
	}
	m.rest(90 * sec)
	if other.Told != core.StDone || m.onMachines(m.job) != 3 {
		t.Errorf("the short job is %s, %d of the long one's 3 tasks run", other.Told, m.onMachines(m.job))
	}
}

// TestTenLeaders: whoever holds the part ends, ten times in two minutes, also
// inside an outage of the state service; a job is cancelled in between.
func TestTenLeaders(t *testing.T) {
	m := newMeeting(t, 3)
	other := m.submit("j-000002", 2, 200*sec)
	begun, ended := m.Now, map[core.NodeID]int{}
	for i := range 10 {
		m.After(core.Time(i)*12*sec, func() {
			for _, n := range m.Nodes {
				if n.ID == m.holder() {
					ended[n.ID]++
					restart(m.World, n, 9*sec) // long enough for another to succeed it
				}
			}
		})
	}
	m.After(40*sec, func() { m.Down = m.Now + 30*sec })
	m.After(38*sec, func() { m.Cancel(m.job) })
	m.rest(120 * sec)
	if len(ended) < 2 || m.job.Told != core.StCancelled || m.job.CancelTold-begun > 90*sec {
		t.Errorf("ended %v, the job is %s since %v", ended, m.job.Told, time.Duration(m.job.CancelTold-begun))
	}
	m.rest(300 * sec)
	if other.Told != core.StDone {
		t.Errorf("the other job is %s", other.Told)
	}
}

// TestZoneBoundJobLosesMachines: the machines of the only zone that a job may use
// are lost. Others there are rented, and its tasks begin on them.
func TestZoneBoundJobLosesMachines(t *testing.T) {
	m := newMeeting(t, 1)
	s := core.JobSpec{ID: "j-000002", Class: "c", Team: "red", Priority: core.Normal, Tasks: 3, Need: core.Res{CPU: cpu, Mem: cpu}, Zone: "b",
		Image: "img", ImageGB: 1, RuntimeS: 60, Submitted: core.Wall(m.Now / 1e6)}
	j := &standin.Job{Spec: s, Info: standin.JobInfo{Need: s.Need, Run: 60 * sec, Tasks: 3, Image: "img"}}
	m.Submit(j)
	m.until("its tasks run in its zone", 60*sec, func() bool { return m.onMachines(j) == 3 })
	for id, l := range m.Workers {
		if l.Zone == "b" {
			m.Remove(id)
		}
	}
	m.until("its tasks run again", 90*sec, func() bool { return m.onMachines(j) == 3 })
	m.rest(90 * sec)
	if j.Told != core.StDone {
		t.Errorf("the job is %s", j.Told)
	}
}
