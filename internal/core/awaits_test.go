package core_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"stairrelay/internal/core"
	"stairrelay/internal/standin"
)

// Pipelines. Cycles can't arise: a job names only jobs that were accepted, and
// a repeat of an accepted id never changes what that awaits
// (TestAwaitsOfSubmissions), so each job is later than all that it names.

// after hands in a job of a team that awaits others.
func (m *calmCluster) after(id core.JobID, team string, tasks int, run core.Time, awaits ...core.JobID) *standin.Job {
	j := job(m, id, team, tasks, run, awaits...)
	m.SubmitAfter(j, false)
	return j
}

func job(m *calmCluster, id core.JobID, team string, tasks int, run core.Time, awaits ...core.JobID) *standin.Job {
	s := core.JobSpec{ID: id, Class: "c", Team: team, Priority: core.Normal, Tasks: tasks, Need: core.Res{CPU: cpu, Mem: cpu},
		Image: "img", ImageGB: 1, RuntimeS: float64(run) / 1e9, Submitted: core.Wall(m.Now / 1e6), Awaits: awaits}
	return &standin.Job{Spec: s, Info: standin.JobInfo{Need: s.Need, Run: run, Tasks: tasks, Image: "img"}}
}

// ask puts one question to one controller and waits for the answer.
func (m *calmCluster) ask(n *standin.Node, ev func(core.ReqID) core.Event) core.Respond {
	m.t.Helper()
	var got *core.Respond
	m.Ask(n, ev, func(r core.Respond) { got = &r })
	m.until("an answer", 6*sec, func() bool { return got != nil })
	return *got
}

func (m *calmCluster) query(n *standin.Node, id core.JobID) core.Respond {
	m.t.Helper()
	return m.ask(n, func(r core.ReqID) core.Event { return core.Query{Req: r, ID: id} })
}

func (m *calmCluster) hand(n *standin.Node, j *standin.Job) core.Respond {
	m.t.Helper()
	return m.ask(n, func(r core.ReqID) core.Event { return core.Submit{Req: r, Job: j.Spec} })
}

// chain hands in jobs each of which awaits the one before, in turns of three teams.
func (m *calmCluster) chain(first *standin.Job, n int, run core.Time) []*standin.Job {
	l := []*standin.Job{first}
	for i := 1; i < n; i++ {
		id := core.JobID(fmt.Sprintf("j-1%05d", i))
		l = append(l, m.after(id, []string{"red", "green", "blue"}[i%3], 1, run, l[i-1].Spec.ID))
	}
	m.until("all are accepted", 120*sec, func() bool { return l[n-1].Accepted })
	return l
}

// calmNoJob is a calm cluster in which nothing runs.
func calmNoJob(t *testing.T, machines int) *calmCluster {
	t.Helper()
	cfg := testConfig()
	m := &calmCluster{t: t, cfg: cfg}
	m.World = standin.NewWorld(1, cfg, testCloud(func() *standin.World { return m.World }))
	m.Calm = true
	for range machines {
		m.AddMachine("small", "a", false)
	}
	m.Run(10 * sec)
	return m
}

// teamPart is each team's part under testConfig.
var teamPart = map[string]int{"green": 0, "red": 1, "blue": 2}

// holderOf is the controller that the store shows as holder of a part.
func (m *calmCluster) holderOf(part int) core.NodeID {
	m.t.Helper()
	var rec struct {
		Holder core.NodeID `json:"holder"`
	}
	if err := json.Unmarshal(m.State.Get(fmt.Sprint("parts/", part)).KV.Value, &rec); err != nil {
		m.t.Fatal(err)
	}
	return rec.Holder
}

// storedEnd is the final state in a job's own record; none: "".
func (m *calmCluster) storedEnd(j *standin.Job) core.Status {
	var rec struct {
		State core.Status `json:"st"`
	}
	if r := m.State.Get("jobs/" + string(j.Spec.ID)); r.Out == core.OK {
		if err := json.Unmarshal(r.KV.Value, &rec); err != nil {
			m.t.Fatal(err)
		}
	}
	return rec.State
}

// noBreach fails when a rule was broken.
func (m *calmCluster) noBreach() {
	m.t.Helper()
	for _, b := range m.Broken {
		m.t.Error(b)
	}
}

// TestChain: fifty jobs of three teams, one after the other.
func TestChain(t *testing.T) {
	m := calmNoJob(t, 3)
	first := m.after("j-100000", "red", 1, 40*sec)
	l := m.chain(first, 50, sec)
	begun := 1
	m.until("the last is done", 900*sec, func() bool {
		for ; begun < 50 && l[begun].Began > 0; begun++ {
			if end := m.storedEnd(l[begun-1]); end != core.StDone {
				t.Errorf("%s has begun, the one before it is stored as %q", l[begun].Spec.ID, end)
			}
		}
		return l[49].Told == core.StDone
	})
	if begun != 50 {
		t.Errorf("%d have begun in their order", begun)
	}
	m.noBreach()
}

// TestChainCancelled: the first of fifty is cancelled. Within cancel_s every
// controller tells so of each, and none has had a task.
func TestChainCancelled(t *testing.T) {
	m := calmNoJob(t, 3)
	first := m.after("j-100000", "red", 1, 600*sec)
	l := m.chain(first, 50, sec)
	m.cancelAt(m.Nodes[2], first)
	m.Run(first.CancelTold + m.cfg.CancelWithin - 2*sec)
	for _, n := range m.Nodes {
		for _, j := range l {
			if r := m.query(n, j.Spec.ID); r.Status != 200 || r.View.Status != core.StCancelled {
				t.Errorf("%s says of %s: %d %+v", n.ID, j.Spec.ID, r.Status, r.View)
			}
		}
	}
	for _, j := range l[1:] {
		if j.Began != 0 {
			t.Errorf("%s had a task", j.Spec.ID)
		}
	}
	if n := m.onMachines(first); n > 0 {
		t.Errorf("%d tasks of the first still run", n)
	}
	m.Run(m.Now + 60*sec)
	m.noBreach()
}

// TestAwaitsOfSubmissions: what a submission may name, and what it gets.
func TestAwaitsOfSubmissions(t *testing.T) {
	m := newCalmCluster(t, 2)
	expect := func(n *standin.Node, j *standin.Job, want core.ReplyStatus) core.Respond {
		t.Helper()
		r := m.hand(n, j)
		if r.Status != want {
			t.Errorf("%s, which awaits %v, gets %d %s, want %d", j.Spec.ID, j.Spec.Awaits, r.Status, r.Error, want)
		}
		if j.Accepted = r.Status == 200 || r.Status == 201; j.Accepted {
			m.Jobs[j.Spec.ID] = j
		}
		return r
	}
	for i, n := range m.Nodes {
		expect(n, job(m, core.JobID(fmt.Sprintf("j-20000%d", i)), "green", 1, sec, "j-000001", "j-999999"), 422)
		// The id was not taken by that: it may come again with another list.
		expect(n, job(m, core.JobID(fmt.Sprintf("j-20000%d", i)), "green", 1, sec, "j-000001", "j-000001"), 201)
	}
	// Accepted a moment ago by another controller, in a record of its own and in one of several.
	for round, several := range []int{1, 14} {
		m.Slow = sec / 5 // more come in than there are writes at once
		var ids []core.JobID
		left := several
		for k := range several {
			j := job(m, core.JobID(fmt.Sprintf("j-30%d%03d", round, k)), "blue", 1, 60*sec)
			ids = append(ids, j.Spec.ID)
			m.Jobs[j.Spec.ID] = j
			m.Ask(m.Nodes[0], func(r core.ReqID) core.Event { return core.Submit{Req: r, Job: j.Spec} }, func(r core.Respond) {
				if r.Status != 201 {
					t.Errorf("%s gets %d", j.Spec.ID, r.Status)
				}
				j.Accepted = true
				left--
			})
		}
		m.until("they are accepted", 5*sec, func() bool { return left == 0 })
		m.Slow = 0
		n := 0
		for _, kv := range m.State.List("accepts/").Items {
			n += len(kv.Value)
		}
		if several > 1 && n == 0 {
			t.Error("no record of several was written: the test shows nothing of them")
		}
		for i, n := range m.Nodes[1:] {
			expect(n, job(m, core.JobID(fmt.Sprintf("j-40%d%03d", round, i)), "green", 1, sec, ids...), 201)
		}
	}
	// A repeat gets 200 whatever its list says, at every controller.
	for _, n := range m.Nodes {
		for _, list := range [][]core.JobID{{"j-999999"}, nil, {"j-400000"}, {"j-400001"}} {
			again := job(m, "j-200000", "green", 1, sec, list...)
			if r := m.hand(n, again); r.Status != 200 {
				t.Errorf("a repeat with %v gets %d at %s", list, r.Status, n.ID)
			}
		}
	}
	// So no cycle: the first job that a list names can't come to await a later one.
	if r := m.hand(m.Nodes[0], job(m, "j-000001", "red", 3, 300*sec, "j-200000")); r.Status != 200 {
		t.Errorf("a repeat gets %d", r.Status)
	}
	m.Down = m.Now + 20*sec
	m.Run(m.Now + 2*sec)
	for _, n := range m.Nodes {
		expect(n, job(m, "j-500000", "green", 1, sec, "j-999999"), 503)
		expect(n, job(m, "j-500001", "green", 1, sec, "j-000001"), 503)
	}
	m.Run(m.Now + 30*sec)
	expect(m.Nodes[1], job(m, "j-500000", "green", 1, sec, "j-999999"), 422)
	m.Run(m.Now + 20*sec)
	m.noBreach()
}

// TestCancelledBeforeSubmission: a job that names a cancelled one is accepted
// and cancelled.
func TestCancelledBeforeSubmission(t *testing.T) {
	m := newCalmCluster(t, 2)
	m.cancelAt(m.Nodes[1], m.job)
	for i, n := range m.Nodes {
		for k, team := range []string{"red", "green", "blue"} {
			j := job(m, core.JobID(fmt.Sprintf("j-2%d000%d", i, k)), team, 1, sec, "j-000001")
			m.Jobs[j.Spec.ID] = j
			r := m.hand(n, j)
			if r.Status != 201 {
				t.Errorf("%s gets %d at %s", j.Spec.ID, r.Status, n.ID)
			}
			j.Accepted = true
			for _, other := range m.Nodes {
				if r := m.query(other, j.Spec.ID); r.Status != 200 || r.View.Status != core.StCancelled {
					t.Errorf("%s says of %s: %d %+v", other.ID, j.Spec.ID, r.Status, r.View)
				}
			}
		}
	}
	m.rest(60 * sec)
}

// TestToldByOneAskedOfAnother: a controller that is cut from the others and has
// not yet seen the cancellation in its watch is asked about a dependent right
// after another has told the cancellation. It reads first.
func TestToldByOneAskedOfAnother(t *testing.T) {
	for i := range 3 {
		for _, team := range []string{"red", "green", "blue"} {
			m := newCalmCluster(t, 2)
			d := m.after("j-200000", team, 1, sec, "j-000001")
			e := m.after("j-200001", "blue", 1, sec, "j-200000")
			m.until("accepted", 20*sec, func() bool { return e.Accepted })
			m.Run(m.Now + 5*sec)
			deaf := m.Nodes[i]
			at := m.Nodes[(i+1)%3]
			if i != 1 {
				at = m.Nodes[1]
			}
			deaf.NoPeers = m.Now + 4*sec
			m.cancelAt(at, m.job)
			for range 10 {
				for _, j := range []*standin.Job{d, e} {
					if r := m.query(deaf, j.Spec.ID); r.Status == 200 && r.View.Status != core.StCancelled {
						t.Errorf("%s, cut off, calls %s of %s %s, told cancelled %v before", deaf.ID, j.Spec.ID, team, r.View.Status, time.Duration(m.Now-m.job.CancelTold))
					}
				}
			}
			m.rest(50 * sec)
		}
	}
}

// TestReleaseAcrossParts: on a quiet day a dependent of another part is released
// within a second of its predecessor's stored end, and not before. What it then
// takes to start is what any job takes.
func TestReleaseAcrossParts(t *testing.T) {
	m := calmNoJob(t, 3)
	released := map[string]core.Time{}
	m.Log = func(s string) {
		if _, id, ok := strings.Cut(s, "job released [job "); ok {
			released[strings.Fields(id)[0]] = m.Now
		}
	}
	worst := core.Time(0)
	for i := range 9 {
		from, to := []string{"red", "green", "blue"}[i%3], []string{"red", "green", "blue"}[(i+1+i/3)%3]
		a := m.after(core.JobID(fmt.Sprintf("j-10000%d", i)), from, 1, 10*sec)
		b := m.after(core.JobID(fmt.Sprintf("j-20000%d", i)), to, 1, 5*sec, a.Spec.ID)
		m.until("accepted", 10*sec, func() bool { return b.Accepted })
		m.until("the first is stored as done", 60*sec, func() bool { return m.storedEnd(a) == core.StDone })
		stored := m.Now
		if b.Began != 0 || released[string(b.Spec.ID)] != 0 {
			t.Fatal("too early")
		}
		m.until("the second is released", 5*sec, func() bool { return released[string(b.Spec.ID)] > 0 })
		worst = max(worst, m.Now-stored)
		m.until("the second starts", 40*sec, func() bool { return b.Began > 0 })
		t.Logf("%s after %s: released after %v, begun after %v", to, from, time.Duration(released[string(b.Spec.ID)]-stored), time.Duration(b.Began-stored))
		m.until("the second is done", 60*sec, func() bool { return b.Told == core.StDone })
	}
	if worst > sec {
		t.Errorf("released %v after the stored end", time.Duration(worst))
	}
	m.noBreach()
}

// TestReleaseAndTakeOver: the holder of the dependent's part ends, once while
// the job waits and once right as its predecessor's end is stored.
func TestReleaseAndTakeOver(t *testing.T) {
	for _, late := range []bool{false, true} {
		for i, team := range []string{"red", "green", "blue"} {
			m := newCalmCluster(t, 3)
			a := m.after("j-100000", "red", 1, 30*sec)
			b := m.after("j-200000", team, 1, 5*sec, a.Spec.ID)
			c := m.after("j-200001", team, 1, 5*sec, "j-000001")
			m.until("accepted", 10*sec, func() bool { return b.Accepted && c.Accepted })
			if late {
				m.until("the first is stored as done", 90*sec, func() bool {
					return m.storedEnd(a) == core.StDone
				})
			}
			for _, n := range m.Nodes {
				if n.ID == m.holderOf(teamPart[team]) {
					restart(m.World, n, 20*sec)
				}
			}
			m.until(fmt.Sprintf("the dependent is done (%d, late %v)", i, late), 200*sec, func() bool { return b.Told == core.StDone })
			if c.Began != 0 {
				t.Error("what awaits the long job has begun")
			}
			m.rest(30 * sec)
		}
	}
}
