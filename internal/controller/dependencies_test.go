package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"stairrelay/internal/cluster"
	"stairrelay/internal/exactjson"
	"stairrelay/internal/messages"
	"stairrelay/internal/simulation"
)

// Dependencies can't form a cycle, because a job may only depend on jobs that were
// accepted before and a repeated submission does not change the dependencies of an
// accepted job.

// testTeams are the teams of testConfig.
var testTeams = []string{"red", "green", "blue"}

// newDependent returns a job of a team that depends on the given jobs.
func (c *testCluster) newDependent(id cluster.JobID, team string, run cluster.Time, dependencies ...cluster.JobID) *simulation.Job {
	spec := newJobSpec(id, team, 1, run)
	spec.SubmittedAt = wallTime(c.Now)
	spec.Dependencies = dependencies
	return newJob(spec, run)
}

// submitDependent returns a job that depends on the given jobs and is submitted as soon
// as these are accepted.
func (c *testCluster) submitDependent(id cluster.JobID, team string, run cluster.Time, dependencies ...cluster.JobID) *simulation.Job {
	job := c.newDependent(id, team, run, dependencies...)
	c.Users.SubmitAfterDependencies(job, false)
	return job
}

// request sends a request to one controller and returns its response.
func (c *testCluster) request(node *simulation.Node, request func(messages.RequestID) messages.Event) messages.Respond {
	c.t.Helper()
	var got *messages.Respond
	node.SendRequest(request, func(response messages.Respond) { got = &response })
	c.waitFor("a response", 6*second, func() bool { return got != nil })
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

// submitChain submits count-1 jobs that form a chain with first, which the caller has
// submitted. Each depends on the one before it, and the teams alternate. It returns the
// chain once all its jobs are accepted.
func (c *testCluster) submitChain(first *simulation.Job, count int, run cluster.Time) []*simulation.Job {
	c.t.Helper()
	chain := []*simulation.Job{first}
	for i := 1; i < count; i++ {
		id := cluster.JobID(fmt.Sprintf("j-1%05d", i))
		chain = append(chain, c.submitDependent(id, testTeams[i%len(testTeams)], run, chain[i-1].Spec.ID))
	}
	c.waitFor("all jobs of the chain are accepted", 120*second, func() bool { return chain[count-1].Accepted })
	return chain
}

// storedFinalStatus returns the final status in a job's stored record. The result is
// empty if there is no such record or the job has not ended.
func (c *testCluster) storedFinalStatus(job *simulation.Job) cluster.JobStatus {
	c.t.Helper()
	reply := c.Store.Get("jobs/" + string(job.Spec.ID))
	if reply.Outcome != messages.OK {
		return ""
	}
	var record struct {
		Status cluster.JobStatus `json:"st"`
	}
	if err := exactjson.Unmarshal(reply.KV.Value, &record); err != nil {
		c.t.Fatal(err)
	}
	return record.Status
}

// checkCancelledEverywhere checks that all controllers report a job as cancelled.
func (c *testCluster) checkCancelledEverywhere(job *simulation.Job) {
	c.t.Helper()
	for _, node := range c.Nodes {
		if response := c.queryAt(node, job.Spec.ID); response.Status != messages.StatusOK || response.View.Status != cluster.JobCancelled {
			c.t.Errorf("%s answers a query for %s with %d %+v, want cancelled", node.ID, job.Spec.ID, response.Status, response.View)
		}
	}
}

const chainLength = 50

// TestDependencyChain checks that jobs of three teams that form a chain of dependencies
// run one after the other.
func TestDependencyChain(t *testing.T) {
	c := newIdleCluster(t, 3)
	first := c.submitDependent("j-100000", "red", 40*second)
	chain := c.submitChain(first, chainLength, second)
	started := 1
	c.waitFor("the last job is done", 900*second, func() bool {
		for ; started < chainLength && chain[started].FirstStartAt > 0; started++ {
			if status := c.storedFinalStatus(chain[started-1]); status != cluster.JobDone {
				t.Errorf("%s has started although its dependency is stored as %q", chain[started].Spec.ID, status)
			}
		}
		return chain[chainLength-1].ReportedStatus == cluster.JobDone
	})
	if started != chainLength {
		t.Errorf("%d jobs have started in order, want all", started)
	}
	c.checkNoViolations()
}

// TestDependencyChainCancelled checks that after the first job of a chain is cancelled,
// all jobs are reported as cancelled by the cancel deadline and only the first one ran.
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
			t.Errorf("%s has started a task", job.Spec.ID)
		}
	}
	if running := c.countRunningTasks(first); running > 0 {
		t.Errorf("%d tasks of the first job still run", running)
	}
	c.RunUntil(c.Now + 60*second)
	c.checkNoViolations()
}

// TestDependenciesOfSubmissions checks how submissions with known, unknown and duplicate
// dependencies are answered, also if the submission is repeated or the store is down.
func TestDependenciesOfSubmissions(t *testing.T) {
	c := newTestCluster(t, 2)
	for i, node := range c.Nodes {
		id := cluster.JobID(fmt.Sprintf("j-20000%d", i))
		c.expectStatus(node, c.newDependent(id, "green", second, "j-000001", "j-999999"), messages.StatusUnschedulable)
		// The rejected ID may be submitted again with other dependencies.
		c.expectStatus(node, c.newDependent(id, "green", second, "j-000001", "j-000001"), messages.StatusCreated)
	}
	c.checkRecentDependencies()
	c.checkRepeatedSubmissions()
	c.checkSubmissionsInOutage()
	c.RunUntil(c.Now + 20*second)
	c.checkNoViolations()
}

// expectStatus submits a job to one controller and checks the status of the response.
func (c *testCluster) expectStatus(node *simulation.Node, job *simulation.Job, want messages.ResponseStatus) {
	c.t.Helper()
	response := c.submitAt(node, job)
	if response.Status != want {
		c.t.Errorf("%s with dependencies %v is answered with %d %s, want %d", job.Spec.ID, job.Spec.Dependencies, response.Status, response.Error, want)
	}
	job.Accepted = response.Status == messages.StatusOK || response.Status == messages.StatusCreated
	if job.Accepted {
		c.Jobs[job.Spec.ID] = job
	}
}

// checkRecentDependencies checks that jobs may depend on jobs that another controller has
// just accepted, whether each of these is stored in a record of its own or several share
// one.
func (c *testCluster) checkRecentDependencies() {
	c.t.Helper()
	for round, count := range []int{1, 14} {
		c.StoreAPI.Delay = second / 5 // submissions arrive faster than they can be written one by one
		ids := c.submitTogether(round, count)
		c.StoreAPI.Delay = 0
		recordBytes := 0
		for _, kv := range c.Store.List("accepts/").Items {
			recordBytes += len(kv.Value)
		}
		if count > 1 && recordBytes == 0 {
			c.t.Error("no record of several jobs was written, so the test does not cover them")
		}
		for i, node := range c.Nodes[1:] {
			id := cluster.JobID(fmt.Sprintf("j-40%d%03d", round, i))
			c.expectStatus(node, c.newDependent(id, "green", second, ids...), messages.StatusCreated)
		}
	}
}

// submitTogether submits jobs to one controller without delay between them, and returns
// their IDs when all are accepted.
func (c *testCluster) submitTogether(round, count int) []cluster.JobID {
	c.t.Helper()
	var ids []cluster.JobID
	pending := count
	for i := range count {
		job := c.newDependent(cluster.JobID(fmt.Sprintf("j-30%d%03d", round, i)), "blue", 60*second)
		ids = append(ids, job.Spec.ID)
		c.Jobs[job.Spec.ID] = job
		c.Nodes[0].SendRequest(submitRequest(job.Spec), func(response messages.Respond) {
			if response.Status != messages.StatusCreated {
				c.t.Errorf("%s is answered with %d, want 201", job.Spec.ID, response.Status)
			}
			job.Accepted = true
			pending--
		})
	}
	c.waitFor("all jobs are accepted", 5*second, func() bool { return pending == 0 })
	return ids
}

// checkRepeatedSubmissions checks that every controller answers a repeated submission
// with 200, even if it names other dependencies than the accepted job.
func (c *testCluster) checkRepeatedSubmissions() {
	c.t.Helper()
	for _, node := range c.Nodes {
		for _, dependencies := range [][]cluster.JobID{{"j-999999"}, nil, {"j-400000"}, {"j-400001"}} {
			repeated := c.newDependent("j-200000", "green", second, dependencies...)
			if response := c.submitAt(node, repeated); response.Status != messages.StatusOK {
				c.t.Errorf("a repeated submission with dependencies %v is answered with %d by %s, want 200", dependencies, response.Status, node.ID)
			}
		}
	}
	repeated := c.newDependent("j-000001", "red", 300*second, "j-200000")
	repeated.Spec.Tasks = c.longJob.Spec.Tasks
	if response := c.submitAt(c.Nodes[0], repeated); response.Status != messages.StatusOK {
		c.t.Errorf("a repeated submission is answered with %d, want 200", response.Status)
	}
}

// checkSubmissionsInOutage checks that submissions are neither accepted nor rejected as
// unschedulable during an outage of the store.
func (c *testCluster) checkSubmissionsInOutage() {
	c.t.Helper()
	c.StoreAPI.DownUntil = c.Now + 20*second
	c.RunUntil(c.Now + 2*second)
	for _, node := range c.Nodes {
		c.expectStatus(node, c.newDependent("j-500000", "green", second, "j-999999"), messages.StatusUnavailable)
		c.expectStatus(node, c.newDependent("j-500001", "green", second, "j-000001"), messages.StatusUnavailable)
	}
	c.RunUntil(c.Now + 30*second)
	c.expectStatus(c.Nodes[1], c.newDependent("j-500000", "green", second, "j-999999"), messages.StatusUnschedulable)
}

// TestDependentOfCancelledJobCancelled checks that a job that depends on a cancelled
// job is accepted and then reported as cancelled.
func TestDependentOfCancelledJobCancelled(t *testing.T) {
	c := newTestCluster(t, 2)
	c.cancelVia(c.Nodes[1], c.longJob)
	for i, node := range c.Nodes {
		for k, team := range testTeams {
			job := c.newDependent(cluster.JobID(fmt.Sprintf("j-2%d000%d", i, k)), team, second, "j-000001")
			c.Jobs[job.Spec.ID] = job
			if response := c.submitAt(node, job); response.Status != messages.StatusCreated {
				t.Errorf("%s is answered with %d by %s, want 201", job.Spec.ID, response.Status, node.ID)
			}
			job.Accepted = true
			c.checkCancelledEverywhere(job)
		}
	}
	c.runAndCheck(60 * second)
}

// TestCancellationVisibleAtPartitionedController checks that a controller that can't
// reach its peers reports no dependent as unfinished once its dependency is cancelled.
func TestCancellationVisibleAtPartitionedController(t *testing.T) {
	for i := range 3 {
		for _, team := range testTeams {
			c := newTestCluster(t, 2)
			dependent := c.submitDependent("j-200000", team, second, "j-000001")
			transitive := c.submitDependent("j-200001", "blue", second, "j-200000")
			c.waitFor("the dependents are accepted", 20*second, func() bool { return transitive.Accepted })
			c.RunUntil(c.Now + 5*second)
			partitioned, other := c.Nodes[i], c.Nodes[1]
			if i == 1 {
				other = c.Nodes[2]
			}
			partitioned.PeersRefuseUntil = c.Now + 4*second
			c.cancelVia(other, c.longJob)
			for range 10 {
				c.checkNotReportedUnfinished(partitioned, dependent)
				c.checkNotReportedUnfinished(partitioned, transitive)
			}
			c.runAndCheck(50 * second)
		}
	}
}

// checkNotReportedUnfinished checks that a controller either reports a cancelled job as
// cancelled or rejects the query.
func (c *testCluster) checkNotReportedUnfinished(node *simulation.Node, job *simulation.Job) {
	c.t.Helper()
	if response := c.queryAt(node, job.Spec.ID); response.Status == messages.StatusOK && response.View.Status != cluster.JobCancelled {
		c.t.Errorf("partitioned controller %s reports %s of team %s as %s, %v after the cancellation was confirmed", node.ID, job.Spec.ID, job.Spec.Team, response.View.Status, time.Duration(c.Now-c.longJob.CancelConfirmedAt))
	}
}

// TestDependentReadyAcrossShards checks that without faults a dependent in any shard is
// ready within a second after its dependency is stored as done, and not before.
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
		c.waitFor("the dependent is accepted", 10*second, func() bool { return dependent.Accepted })
		c.waitFor("the dependency is stored as done", 60*second, func() bool { return c.storedFinalStatus(dependency) == cluster.JobDone })
		storedAt := c.Now
		if dependent.FirstStartAt != 0 || readyAt[id] != 0 {
			t.Fatal("the dependent is ready before its dependency is stored as done")
		}
		c.waitFor("the dependent is ready", 5*second, func() bool { return readyAt[id] > 0 })
		longest = max(longest, c.Now-storedAt)
		c.waitFor("the dependent starts", 40*second, func() bool { return dependent.FirstStartAt > 0 })
		t.Logf("%s after %s: ready after %v, started after %v", secondTeam, firstTeam, time.Duration(readyAt[id]-storedAt), time.Duration(dependent.FirstStartAt-storedAt))
		c.waitFor("the dependent is done", 60*second, func() bool { return dependent.ReportedStatus == cluster.JobDone })
	}
	if longest > second {
		t.Errorf("a dependent was ready %v after its dependency was stored as done, want at most 1s", time.Duration(longest))
	}
	c.checkNoViolations()
}

// TestDependentReadyAcrossFailover checks that a dependent runs although the owner of its
// shard restarts while the job waits or right after its dependency is stored as done.
func TestDependentReadyAcrossFailover(t *testing.T) {
	for _, dependencyDone := range []bool{false, true} {
		for _, team := range testTeams {
			t.Run(fmt.Sprintf("%s/dependencyDone=%v", team, dependencyDone), func(t *testing.T) {
				c := newTestCluster(t, 3)
				dependency := c.submitDependent("j-100000", "red", 30*second)
				dependent := c.submitDependent("j-200000", team, 5*second, dependency.Spec.ID)
				blocked := c.submitDependent("j-200001", team, 5*second, "j-000001")
				c.waitFor("the dependents are accepted", 10*second, func() bool { return dependent.Accepted && blocked.Accepted })
				if dependencyDone {
					c.waitFor("the dependency is stored as done", 90*second, func() bool {
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
