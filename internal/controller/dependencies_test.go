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

// Pipelines. There are no cycles: a job names only jobs that were accepted, and a
// repeated submission of an accepted job never changes its dependencies
// (TestDependenciesOfSubmissions), so each job is later than all that it names.

// testTeams are the teams of testConfig.
var testTeams = []string{"red", "green", "blue"}

// newDependent makes a job of a team that depends on others.
func (c *testCluster) newDependent(id cluster.JobID, team string, run cluster.Time, dependencies ...cluster.JobID) *simulation.Job {
	spec := newJobSpec(id, team, 1, run)
	spec.SubmittedAt = wallTime(c.Now)
	spec.Dependencies = dependencies
	return newJob(spec, run)
}

// submitDependent submits a job of a team once its dependencies are accepted.
func (c *testCluster) submitDependent(id cluster.JobID, team string, run cluster.Time, dependencies ...cluster.JobID) *simulation.Job {
	job := c.newDependent(id, team, run, dependencies...)
	c.Users.SubmitAfterDependencies(job, false)
	return job
}

// request sends a request to one controller and waits for the answer.
func (c *testCluster) request(node *simulation.Node, request func(messages.RequestID) messages.Event) messages.Respond {
	c.t.Helper()
	var got *messages.Respond
	node.SendRequest(request, func(answer messages.Respond) { got = &answer })
	c.waitFor("an answer", 6*second, func() bool { return got != nil })
	return *got
}

func (c *testCluster) queryAt(node *simulation.Node, id cluster.JobID) messages.Respond {
	c.t.Helper()
	return c.request(node, queryRequest(id))
}

func (c *testCluster) submitAt(node *simulation.Node, job *simulation.Job) messages.Respond {
	c.t.Helper()
	return c.request(node, submitRequest(job.Spec))
}

// submitChain submits jobs each of which depends on the one before, of the teams in
// turn.
func (c *testCluster) submitChain(first *simulation.Job, count int, run cluster.Time) []*simulation.Job {
	c.t.Helper()
	chain := []*simulation.Job{first}
	for i := 1; i < count; i++ {
		id := cluster.JobID(fmt.Sprintf("j-1%05d", i))
		chain = append(chain, c.submitDependent(id, testTeams[i%len(testTeams)], run, chain[i-1].Spec.ID))
	}
	c.waitFor("all are accepted", 120*second, func() bool { return chain[count-1].Accepted })
	return chain
}

// storedFinalStatus is the final status in a job's own record; none: "".
func (c *testCluster) storedFinalStatus(job *simulation.Job) cluster.JobStatus {
	c.t.Helper()
	reply := c.StateService.Get("jobs/" + string(job.Spec.ID))
	if reply.Outcome != messages.OK {
		return ""
	}
	var record struct {
		Status cluster.JobStatus `json:"st"`
	}
	if err := json.Unmarshal(reply.KV.Value, &record); err != nil {
		c.t.Fatal(err)
	}
	return record.Status
}

// checkCancelledEverywhere checks that all controllers call a job cancelled.
func (c *testCluster) checkCancelledEverywhere(job *simulation.Job) {
	c.t.Helper()
	for _, node := range c.Nodes {
		if answer := c.queryAt(node, job.Spec.ID); answer.Status != messages.ReplyOK || answer.View.Status != cluster.JobCancelled {
			c.t.Errorf("%s says of %s: %d %+v", node.ID, job.Spec.ID, answer.Status, answer.View)
		}
	}
}

const chainLength = 50

// TestDependencyChain: fifty jobs of three teams, one after the other.
func TestDependencyChain(t *testing.T) {
	c := newIdleCluster(t, 3)
	first := c.submitDependent("j-100000", "red", 40*second)
	chain := c.submitChain(first, chainLength, second)
	started := 1
	c.waitFor("the last is done", 900*second, func() bool {
		for ; started < chainLength && chain[started].FirstStartAt > 0; started++ {
			if status := c.storedFinalStatus(chain[started-1]); status != cluster.JobDone {
				t.Errorf("%s has started, the one before it is stored as %q", chain[started].Spec.ID, status)
			}
		}
		return chain[chainLength-1].ReportedStatus == cluster.JobDone
	})
	if started != chainLength {
		t.Errorf("%d have started in their order", started)
	}
	c.checkNoViolations()
}

// TestDependencyChainCancelled: the first of fifty is cancelled. Within cancel_s every
// controller calls each of them cancelled, and none has had a task.
func TestDependencyChainCancelled(t *testing.T) {
	c := newIdleCluster(t, 3)
	first := c.submitDependent("j-100000", "red", 600*second)
	chain := c.submitChain(first, chainLength, second)
	c.cancelVia(c.Nodes[2], first)
	c.RunUntil(first.CancelConfirmedAt + c.config.CancelDeadline - 2*second)
	for _, job := range chain {
		c.checkCancelledEverywhere(job)
	}
	for _, job := range chain[1:] {
		if job.FirstStartAt != 0 {
			t.Errorf("%s had a task", job.Spec.ID)
		}
	}
	if running := c.countRunningTasks(first); running > 0 {
		t.Errorf("%d tasks of the first still run", running)
	}
	c.RunUntil(c.Now + 60*second)
	c.checkNoViolations()
}

// TestDependenciesOfSubmissions: which dependencies a submission may name, and how it
// is answered.
func TestDependenciesOfSubmissions(t *testing.T) {
	c := newTestCluster(t, 2)
	for i, node := range c.Nodes {
		id := cluster.JobID(fmt.Sprintf("j-20000%d", i))
		c.expectStatus(node, c.newDependent(id, "green", second, "j-000001", "j-999999"), messages.ReplyUnschedulable)
		// That did not use the ID up: it may come again with other dependencies.
		c.expectStatus(node, c.newDependent(id, "green", second, "j-000001", "j-000001"), messages.ReplyCreated)
	}
	c.checkRecentDependencies()
	c.checkRepeatedSubmissions()
	c.checkSubmissionsInOutage()
	c.RunUntil(c.Now + 20*second)
	c.checkNoViolations()
}

// expectStatus submits a job to one controller and checks the answer's status.
func (c *testCluster) expectStatus(node *simulation.Node, job *simulation.Job, want messages.ReplyStatus) {
	c.t.Helper()
	answer := c.submitAt(node, job)
	if answer.Status != want {
		c.t.Errorf("%s, which depends on %v, gets %d %s, want %d", job.Spec.ID, job.Spec.Dependencies, answer.Status, answer.Error, want)
	}
	job.Accepted = answer.Status == messages.ReplyOK || answer.Status == messages.ReplyCreated
	if job.Accepted {
		c.Jobs[job.Spec.ID] = job
	}
}

// checkRecentDependencies submits jobs that depend on others which another controller
// has just accepted, in a record of their own or in one of several.
func (c *testCluster) checkRecentDependencies() {
	c.t.Helper()
	for round, count := range []int{1, 14} {
		c.Store.Delay = second / 5 // more submissions come in than there are writes at once
		ids := c.submitTogether(round, count)
		c.Store.Delay = 0
		recordBytes := 0
		for _, kv := range c.StateService.List("accepts/").Items {
			recordBytes += len(kv.Value)
		}
		if count > 1 && recordBytes == 0 {
			c.t.Error("no record of several jobs was written: the test shows nothing of them")
		}
		for i, node := range c.Nodes[1:] {
			id := cluster.JobID(fmt.Sprintf("j-40%d%03d", round, i))
			c.expectStatus(node, c.newDependent(id, "green", second, ids...), messages.ReplyCreated)
		}
	}
}

// submitTogether submits jobs to one controller at once and waits until all are
// accepted.
func (c *testCluster) submitTogether(round, count int) []cluster.JobID {
	c.t.Helper()
	var ids []cluster.JobID
	pending := count
	for i := range count {
		job := c.newDependent(cluster.JobID(fmt.Sprintf("j-30%d%03d", round, i)), "blue", 60*second)
		ids = append(ids, job.Spec.ID)
		c.Jobs[job.Spec.ID] = job
		c.Nodes[0].SendRequest(submitRequest(job.Spec), func(answer messages.Respond) {
			if answer.Status != messages.ReplyCreated {
				c.t.Errorf("%s gets %d", job.Spec.ID, answer.Status)
			}
			job.Accepted = true
			pending--
		})
	}
	c.waitFor("they are accepted", 5*second, func() bool { return pending == 0 })
	return ids
}

// checkRepeatedSubmissions checks that a repeated submission gets 200 whatever its
// dependencies are, at every controller. So there is no cycle: the first job that a
// list names can't come to depend on a later one.
func (c *testCluster) checkRepeatedSubmissions() {
	c.t.Helper()
	for _, node := range c.Nodes {
		for _, dependencies := range [][]cluster.JobID{{"j-999999"}, nil, {"j-400000"}, {"j-400001"}} {
			again := c.newDependent("j-200000", "green", second, dependencies...)
			if answer := c.submitAt(node, again); answer.Status != messages.ReplyOK {
				c.t.Errorf("a repeat with %v gets %d at %s", dependencies, answer.Status, node.ID)
			}
		}
	}
	again := c.newDependent("j-000001", "red", 300*second, "j-200000")
	again.Spec.Tasks = c.longJob.Spec.Tasks
	if answer := c.submitAt(c.Nodes[0], again); answer.Status != messages.ReplyOK {
		c.t.Errorf("a repeat gets %d", answer.Status)
	}
}

// checkSubmissionsInOutage checks that nothing is decided while the state service is
// down.
func (c *testCluster) checkSubmissionsInOutage() {
	c.t.Helper()
	c.Store.DownUntil = c.Now + 20*second
	c.RunUntil(c.Now + 2*second)
	for _, node := range c.Nodes {
		c.expectStatus(node, c.newDependent("j-500000", "green", second, "j-999999"), messages.ReplyUnavailable)
		c.expectStatus(node, c.newDependent("j-500001", "green", second, "j-000001"), messages.ReplyUnavailable)
	}
	c.RunUntil(c.Now + 30*second)
	c.expectStatus(c.Nodes[1], c.newDependent("j-500000", "green", second, "j-999999"), messages.ReplyUnschedulable)
}

// TestDependentOfCancelledJobCancelled: a job that depends on a cancelled one is
// accepted and cancelled.
func TestDependentOfCancelledJobCancelled(t *testing.T) {
	c := newTestCluster(t, 2)
	c.cancelVia(c.Nodes[1], c.longJob)
	for i, node := range c.Nodes {
		for k, team := range testTeams {
			job := c.newDependent(cluster.JobID(fmt.Sprintf("j-2%d000%d", i, k)), team, second, "j-000001")
			c.Jobs[job.Spec.ID] = job
			if answer := c.submitAt(node, job); answer.Status != messages.ReplyCreated {
				t.Errorf("%s gets %d at %s", job.Spec.ID, answer.Status, node.ID)
			}
			job.Accepted = true
			c.checkCancelledEverywhere(job)
		}
	}
	c.runAndCheck(60 * second)
}

// TestCancellationVisibleAtPartitionedController: a controller that is partitioned from
// the others and has not yet seen the cancellation in its watch is asked about a
// dependent right after another has confirmed the cancellation. It reads first.
func TestCancellationVisibleAtPartitionedController(t *testing.T) {
	for i := range 3 {
		for _, team := range testTeams {
			c := newTestCluster(t, 2)
			dependent := c.submitDependent("j-200000", team, second, "j-000001")
			transitive := c.submitDependent("j-200001", "blue", second, "j-200000")
			c.waitFor("accepted", 20*second, func() bool { return transitive.Accepted })
			c.RunUntil(c.Now + 5*second)
			partitioned, other := c.Nodes[i], c.Nodes[1]
			if i == 1 {
				other = c.Nodes[2]
			}
			partitioned.PeersRefuseUntil = c.Now + 4*second
			c.cancelVia(other, c.longJob)
			for range 10 {
				c.checkNotCalledUnfinished(partitioned, dependent)
				c.checkNotCalledUnfinished(partitioned, transitive)
			}
			c.runAndCheck(50 * second)
		}
	}
}

// checkNotCalledUnfinished checks that a controller which answers about a cancelled
// job calls it cancelled.
func (c *testCluster) checkNotCalledUnfinished(node *simulation.Node, job *simulation.Job) {
	c.t.Helper()
	if answer := c.queryAt(node, job.Spec.ID); answer.Status == messages.ReplyOK && answer.View.Status != cluster.JobCancelled {
		c.t.Errorf("%s, partitioned, calls %s of %s %s, confirmed as cancelled %v before", node.ID, job.Spec.ID, job.Spec.Team, answer.View.Status, time.Duration(c.Now-c.longJob.CancelConfirmedAt))
	}
}

// TestDependentReadyAcrossShards: on a day without faults a dependent of another shard
// is ready within a second of its dependency's stored end, and not before. What it
// then takes to start is what any job takes.
func TestDependentReadyAcrossShards(t *testing.T) {
	c := newIdleCluster(t, 3)
	readyAt := map[string]cluster.Time{}
	c.Log = func(text string) {
		if _, id, ok := strings.Cut(text, "job ready [job "); ok {
			readyAt[strings.Fields(id)[0]] = c.Now
		}
	}
	longest := cluster.Time(0)
	for i := range 9 {
		firstTeam, secondTeam := testTeams[i%3], testTeams[(i+1+i/3)%3]
		dependency := c.submitDependent(cluster.JobID(fmt.Sprintf("j-10000%d", i)), firstTeam, 10*second)
		dependent := c.submitDependent(cluster.JobID(fmt.Sprintf("j-20000%d", i)), secondTeam, 5*second, dependency.Spec.ID)
		id := string(dependent.Spec.ID)
		c.waitFor("accepted", 10*second, func() bool { return dependent.Accepted })
		c.waitFor("the first is stored as done", 60*second, func() bool { return c.storedFinalStatus(dependency) == cluster.JobDone })
		storedAt := c.Now
		if dependent.FirstStartAt != 0 || readyAt[id] != 0 {
			t.Fatal("too early")
		}
		c.waitFor("the second is ready", 5*second, func() bool { return readyAt[id] > 0 })
		longest = max(longest, c.Now-storedAt)
		c.waitFor("the second starts", 40*second, func() bool { return dependent.FirstStartAt > 0 })
		t.Logf("%s after %s: ready after %v, started after %v", secondTeam, firstTeam, time.Duration(readyAt[id]-storedAt), time.Duration(dependent.FirstStartAt-storedAt))
		c.waitFor("the second is done", 60*second, func() bool { return dependent.ReportedStatus == cluster.JobDone })
	}
	if longest > second {
		t.Errorf("ready %v after the stored end", time.Duration(longest))
	}
	c.checkNoViolations()
}

// TestDependentReadyAcrossFailover: the owner of the dependent's shard restarts, once
// while the job waits and once right as its dependency's end is stored.
func TestDependentReadyAcrossFailover(t *testing.T) {
	for _, late := range []bool{false, true} {
		for _, team := range testTeams {
			t.Run(fmt.Sprintf("%s/late=%v", team, late), func(t *testing.T) {
				c := newTestCluster(t, 3)
				dependency := c.submitDependent("j-100000", "red", 30*second)
				dependent := c.submitDependent("j-200000", team, 5*second, dependency.Spec.ID)
				blocked := c.submitDependent("j-200001", team, 5*second, "j-000001")
				c.waitFor("accepted", 10*second, func() bool { return dependent.Accepted && blocked.Accepted })
				if late {
					c.waitFor("the first is stored as done", 90*second, func() bool {
						return c.storedFinalStatus(dependency) == cluster.JobDone
					})
				}
				c.restartNode(c.shardOwner(shardOfTeam[team]), 20*second)
				c.waitFor("the dependent is done", 200*second, func() bool { return dependent.ReportedStatus == cluster.JobDone })
				if blocked.FirstStartAt != 0 {
					t.Error("the dependent of the long job has started")
				}
				c.runAndCheck(30 * second)
			})
		}
	}
}
