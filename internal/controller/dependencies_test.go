package controller_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/simulation"
)

// Dependencies have no cycles: a job names only jobs that were accepted, and a retry
// of an accepted id never changes its dependencies (TestDependenciesOfSubmissions),
// so each job is later than all that it names.

// submitAfter hands in a job of a team that depends on others.
func (m *testCluster) submitAfter(id cluster.JobID, team string, tasks int, run cluster.Time, dependencies ...cluster.JobID) *simulation.Job {
	j := newTestJob(m, id, team, tasks, run, dependencies...)
	m.SubmitAfterDependencies(j, false)
	return j
}

func newTestJob(m *testCluster, id cluster.JobID, team string, tasks int, run cluster.Time, dependencies ...cluster.JobID) *simulation.Job {
	s := cluster.JobSpec{ID: id, Class: "c", Team: team, Priority: cluster.Normal, Tasks: tasks, ResourceRequest: cluster.Resources{CPU: cpu, Memory: cpu},
		Image: "img", ImageGB: 1, RuntimeSeconds: float64(run) / 1e9, SubmittedAt: cluster.WallTime(m.Now / 1e6), Dependencies: dependencies}
	return &simulation.Job{Spec: s, Info: simulation.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: run, TaskCount: tasks, Image: "img"}}
}

// requestAnswer puts one question to one controller and waits for the answer.
func (m *testCluster) requestAnswer(n *simulation.Node, ev func(messages.RequestID) messages.Event) messages.Respond {
	m.t.Helper()
	var got *messages.Respond
	m.SendRequest(n, ev, func(r messages.Respond) { got = &r })
	m.waitFor("an answer", 6*second, func() bool { return got != nil })
	return *got
}

func (m *testCluster) queryAt(n *simulation.Node, id cluster.JobID) messages.Respond {
	m.t.Helper()
	return m.requestAnswer(n, func(r messages.RequestID) messages.Event { return messages.Query{Request: r, ID: id} })
}

func (m *testCluster) submitAt(n *simulation.Node, j *simulation.Job) messages.Respond {
	m.t.Helper()
	return m.requestAnswer(n, func(r messages.RequestID) messages.Event { return messages.Submit{Request: r, Spec: j.Spec} })
}

// submitChain hands in jobs each of which depends on the one before, in turns of three
// teams.
func (m *testCluster) submitChain(first *simulation.Job, n int, run cluster.Time) []*simulation.Job {
	l := []*simulation.Job{first}
	for i := 1; i < n; i++ {
		id := cluster.JobID(fmt.Sprintf("j-1%05d", i))
		l = append(l, m.submitAfter(id, []string{"red", "green", "blue"}[i%3], 1, run, l[i-1].Spec.ID))
	}
	m.waitFor("all are accepted", 120*second, func() bool { return l[n-1].Accepted })
	return l
}

// newIdleCluster is a calm cluster in which nothing runs.
func newIdleCluster(t *testing.T, machines int) *testCluster {
	t.Helper()
	cfg := testConfig()
	m := &testCluster{t: t, config: cfg}
	m.Simulator = simulation.NewSimulator(1, cfg, testCloud(func() *simulation.Simulator { return m.Simulator }))
	m.NoRandomFaults = true
	for range machines {
		m.AddMachine("small", "a", false)
	}
	m.RunUntil(10 * second)
	return m
}

// shardOfTeam is each team's shard under testConfig.
var shardOfTeam = map[string]int{"green": 0, "red": 1, "blue": 2}

// shardOwner is the controller that the state service shows as owner of a shard.
func (m *testCluster) shardOwner(shard int) cluster.NodeID {
	m.t.Helper()
	var rec struct {
		Holder cluster.NodeID `json:"holder"`
	}
	if err := json.Unmarshal(m.StateService.Get(fmt.Sprint("parts/", shard)).KV.Value, &rec); err != nil {
		m.t.Fatal(err)
	}
	return rec.Holder
}

// storedFinalStatus is the final status in a job's own record; none: "".
func (m *testCluster) storedFinalStatus(j *simulation.Job) cluster.JobStatus {
	var rec struct {
		State cluster.JobStatus `json:"st"`
	}
	if r := m.StateService.Get("jobs/" + string(j.Spec.ID)); r.Outcome == messages.OK {
		if err := json.Unmarshal(r.KV.Value, &rec); err != nil {
			m.t.Fatal(err)
		}
	}
	return rec.State
}

// checkNoViolations fails when a rule was broken.
func (m *testCluster) checkNoViolations() {
	m.t.Helper()
	for _, b := range m.Violations {
		m.t.Error(b)
	}
}

// TestDependencyChain runs fifty jobs of three teams, each after the one before.
func TestDependencyChain(t *testing.T) {
	m := newIdleCluster(t, 3)
	first := m.submitAfter("j-100000", "red", 1, 40*second)
	l := m.submitChain(first, 50, second)
	begun := 1
	m.waitFor("the last is done", 900*second, func() bool {
		for ; begun < 50 && l[begun].FirstStartAt > 0; begun++ {
			if end := m.storedFinalStatus(l[begun-1]); end != cluster.JobDone {
				t.Errorf("%s has begun, the one before it is stored as %q", l[begun].Spec.ID, end)
			}
		}
		return l[49].ReportedStatus == cluster.JobDone
	})
	if begun != 50 {
		t.Errorf("%d have begun in their order", begun)
	}
	m.checkNoViolations()
}

// TestDependencyChainCancelled cancels the first of fifty jobs. Within cancel_s every
// controller calls each of them cancelled, and none but the first has had a task.
func TestDependencyChainCancelled(t *testing.T) {
	m := newIdleCluster(t, 3)
	first := m.submitAfter("j-100000", "red", 1, 600*second)
	l := m.submitChain(first, 50, second)
	m.cancelAt(m.Nodes[2], first)
	m.RunUntil(first.CancelConfirmedAt + m.config.CancelDeadline - 2*second)
	for _, n := range m.Nodes {
		for _, j := range l {
			if r := m.queryAt(n, j.Spec.ID); r.Status != 200 || r.View.Status != cluster.JobCancelled {
				t.Errorf("%s says of %s: %d %+v", n.ID, j.Spec.ID, r.Status, r.View)
			}
		}
	}
	for _, j := range l[1:] {
		if j.FirstStartAt != 0 {
			t.Errorf("%s had a task", j.Spec.ID)
		}
	}
	if n := m.countRunningTasks(first); n > 0 {
		t.Errorf("%d tasks of the first still run", n)
	}
	m.RunUntil(m.Now + 60*second)
	m.checkNoViolations()
}

// TestDependenciesOfSubmissions shows what a submission may name, and what it gets.
func TestDependenciesOfSubmissions(t *testing.T) {
	m := newTestCluster(t, 2)
	expect := func(n *simulation.Node, j *simulation.Job, want messages.ReplyStatus) messages.Respond {
		t.Helper()
		r := m.submitAt(n, j)
		if r.Status != want {
			t.Errorf("%s, which depends on %v, gets %d %s, want %d", j.Spec.ID, j.Spec.Dependencies, r.Status, r.Error, want)
		}
		if j.Accepted = r.Status == 200 || r.Status == 201; j.Accepted {
			m.Jobs[j.Spec.ID] = j
		}
		return r
	}
	for i, n := range m.Nodes {
		expect(n, newTestJob(m, cluster.JobID(fmt.Sprintf("j-20000%d", i)), "green", 1, second, "j-000001", "j-999999"), 422)
		// The id was not taken by that: it may come again with another list.
		expect(n, newTestJob(m, cluster.JobID(fmt.Sprintf("j-20000%d", i)), "green", 1, second, "j-000001", "j-000001"), 201)
	}
	// Accepted a moment ago by another controller, in a record of its own and in one of several.
	for round, several := range []int{1, 14} {
		m.StoreDelay = second / 5 // more come in than there are writes at once
		var ids []cluster.JobID
		left := several
		for k := range several {
			j := newTestJob(m, cluster.JobID(fmt.Sprintf("j-30%d%03d", round, k)), "blue", 1, 60*second)
			ids = append(ids, j.Spec.ID)
			m.Jobs[j.Spec.ID] = j
			m.SendRequest(m.Nodes[0], func(r messages.RequestID) messages.Event { return messages.Submit{Request: r, Spec: j.Spec} }, func(r messages.Respond) {
				if r.Status != 201 {
					t.Errorf("%s gets %d", j.Spec.ID, r.Status)
				}
				j.Accepted = true
				left--
			})
		}
		m.waitFor("they are accepted", 5*second, func() bool { return left == 0 })
		m.StoreDelay = 0
		n := 0
		for _, kv := range m.StateService.List("accepts/").Items {
			n += len(kv.Value)
		}
		if several > 1 && n == 0 {
			t.Error("no record of several was written: the test shows nothing of them")
		}
		for i, n := range m.Nodes[1:] {
			expect(n, newTestJob(m, cluster.JobID(fmt.Sprintf("j-40%d%03d", round, i)), "green", 1, second, ids...), 201)
		}
	}
	// A retry gets 200 whatever its list says, at every controller.
	for _, n := range m.Nodes {
		for _, list := range [][]cluster.JobID{{"j-999999"}, nil, {"j-400000"}, {"j-400001"}} {
			again := newTestJob(m, "j-200000", "green", 1, second, list...)
			if r := m.submitAt(n, again); r.Status != 200 {
				t.Errorf("a retry with %v gets %d at %s", list, r.Status, n.ID)
			}
		}
	}
	// So no cycle: the first job that a list names can't come to depend on a later one.
	if r := m.submitAt(m.Nodes[0], newTestJob(m, "j-000001", "red", 3, 300*second, "j-200000")); r.Status != 200 {
		t.Errorf("a retry gets %d", r.Status)
	}
	m.StoreDownUntil = m.Now + 20*second
	m.RunUntil(m.Now + 2*second)
	for _, n := range m.Nodes {
		expect(n, newTestJob(m, "j-500000", "green", 1, second, "j-999999"), 503)
		expect(n, newTestJob(m, "j-500001", "green", 1, second, "j-000001"), 503)
	}
	m.RunUntil(m.Now + 30*second)
	expect(m.Nodes[1], newTestJob(m, "j-500000", "green", 1, second, "j-999999"), 422)
	m.RunUntil(m.Now + 20*second)
	m.checkNoViolations()
}

// TestDependentOfCancelledJobCancelled shows that a job that names a cancelled one is
// accepted and cancelled.
func TestDependentOfCancelledJobCancelled(t *testing.T) {
	m := newTestCluster(t, 2)
	m.cancelAt(m.Nodes[1], m.longJob)
	for i, n := range m.Nodes {
		for k, team := range []string{"red", "green", "blue"} {
			j := newTestJob(m, cluster.JobID(fmt.Sprintf("j-2%d000%d", i, k)), team, 1, second, "j-000001")
			m.Jobs[j.Spec.ID] = j
			r := m.submitAt(n, j)
			if r.Status != 201 {
				t.Errorf("%s gets %d at %s", j.Spec.ID, r.Status, n.ID)
			}
			j.Accepted = true
			for _, other := range m.Nodes {
				if r := m.queryAt(other, j.Spec.ID); r.Status != 200 || r.View.Status != cluster.JobCancelled {
					t.Errorf("%s says of %s: %d %+v", other.ID, j.Spec.ID, r.Status, r.View)
				}
			}
		}
	}
	m.runAndCheck(60 * second)
}

// TestCancellationVisibleAtPartitionedController asks a controller that is cut off from
// the others, and has not yet seen the cancellation in its watch, about a dependent
// right after another has told the cancellation. It has to read first.
func TestCancellationVisibleAtPartitionedController(t *testing.T) {
	for i := range 3 {
		for _, team := range []string{"red", "green", "blue"} {
			m := newTestCluster(t, 2)
			d := m.submitAfter("j-200000", team, 1, second, "j-000001")
			e := m.submitAfter("j-200001", "blue", 1, second, "j-200000")
			m.waitFor("accepted", 20*second, func() bool { return e.Accepted })
			m.RunUntil(m.Now + 5*second)
			isolated := m.Nodes[i]
			at := m.Nodes[(i+1)%3]
			if i != 1 {
				at = m.Nodes[1]
			}
			isolated.PeersRefuseUntil = m.Now + 4*second
			m.cancelAt(at, m.longJob)
			for range 10 {
				for _, j := range []*simulation.Job{d, e} {
					if r := m.queryAt(isolated, j.Spec.ID); r.Status == 200 && r.View.Status != cluster.JobCancelled {
						t.Errorf("%s, cut off, calls %s of %s %s, told cancelled %v before", isolated.ID, j.Spec.ID, team, r.View.Status, time.Duration(m.Now-m.longJob.CancelConfirmedAt))
					}
				}
			}
			m.runAndCheck(50 * second)
		}
	}
}

// TestDependentReadyAcrossShards shows that in a calm cluster a dependent of another
// shard is ready within a second of the stored end of its dependency, and not before.
// What it then takes to start is what any job takes.
func TestDependentReadyAcrossShards(t *testing.T) {
	m := newIdleCluster(t, 3)
	readyAt := map[string]cluster.Time{}
	m.Log = func(s string) {
		if _, id, ok := strings.Cut(s, "job ready [job "); ok {
			readyAt[strings.Fields(id)[0]] = m.Now
		}
	}
	worst := cluster.Time(0)
	for i := range 9 {
		from, to := []string{"red", "green", "blue"}[i%3], []string{"red", "green", "blue"}[(i+1+i/3)%3]
		a := m.submitAfter(cluster.JobID(fmt.Sprintf("j-10000%d", i)), from, 1, 10*second)
		b := m.submitAfter(cluster.JobID(fmt.Sprintf("j-20000%d", i)), to, 1, 5*second, a.Spec.ID)
		m.waitFor("accepted", 10*second, func() bool { return b.Accepted })
		m.waitFor("the first is stored as done", 60*second, func() bool { return m.storedFinalStatus(a) == cluster.JobDone })
		stored := m.Now
		if b.FirstStartAt != 0 || readyAt[string(b.Spec.ID)] != 0 {
			t.Fatal("too early")
		}
		m.waitFor("the second is ready", 5*second, func() bool { return readyAt[string(b.Spec.ID)] > 0 })
		worst = max(worst, m.Now-stored)
		m.waitFor("the second starts", 40*second, func() bool { return b.FirstStartAt > 0 })
		t.Logf("%s after %s: ready after %v, started after %v", to, from, time.Duration(readyAt[string(b.Spec.ID)]-stored), time.Duration(b.FirstStartAt-stored))
		m.waitFor("the second is done", 60*second, func() bool { return b.ReportedStatus == cluster.JobDone })
	}
	if worst > second {
		t.Errorf("ready %v after the stored end", time.Duration(worst))
	}
	m.checkNoViolations()
}

// TestDependentReadyAcrossFailover ends the owner of the dependent's shard, once while
// the job waits and once right as the end of its dependency is stored.
func TestDependentReadyAcrossFailover(t *testing.T) {
	for _, late := range []bool{false, true} {
		for i, team := range []string{"red", "green", "blue"} {
			m := newTestCluster(t, 3)
			a := m.submitAfter("j-100000", "red", 1, 30*second)
			b := m.submitAfter("j-200000", team, 1, 5*second, a.Spec.ID)
			c := m.submitAfter("j-200001", team, 1, 5*second, "j-000001")
			m.waitFor("accepted", 10*second, func() bool { return b.Accepted && c.Accepted })
			if late {
				m.waitFor("the first is stored as done", 90*second, func() bool {
					return m.storedFinalStatus(a) == cluster.JobDone
				})
			}
			for _, n := range m.Nodes {
				if n.ID == m.shardOwner(shardOfTeam[team]) {
					restart(m.Simulator, n, 20*second)
				}
			}
			m.waitFor(fmt.Sprintf("the dependent is done (%d, late %v)", i, late), 200*second, func() bool { return b.ReportedStatus == cluster.JobDone })
			if c.FirstStartAt != 0 {
				t.Error("the dependent of the long job has started")
			}
			m.runAndCheck(30 * second)
		}
	}
}
