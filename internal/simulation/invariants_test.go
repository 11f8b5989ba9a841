package simulation

import (
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/controller"
)

const testCPU = cluster.Amount(1_000_000)

// newCheckedCluster returns a simulated cluster with two running machines and no running
// controllers, in which tests violate invariants.
func newCheckedCluster(t *testing.T) *Simulator {
	t.Helper()
	cfg := controller.Config{
		Teams:             []cluster.Team{{Name: "red", QuotaLimit: cluster.Resources{CPU: testCPU}}},
		Nodes:             []cluster.NodeID{"n0"},
		HeartbeatInterval: 1000 * second, // longer than the test, so that no heartbeat is sent
		WorkerLease:       1000 * second,
		CancelDeadline:    30 * second,
	}
	types := []cluster.MachineType{{Name: "small", Capacity: cluster.Resources{CPU: 4 * testCPU, Memory: 4 * testCPU}}}
	cloud := NewFakeCloud(types, map[string]int{}, func() cluster.Time { return 0 })
	s := assemble(1, cfg, cloud, nil)
	s.NoRandomFaults = true
	s.Machines.Add("small", "a", false)
	s.Machines.Add("small", "b", false)
	s.Machines.advance()
	return s
}

// addTestJob adds an accepted job with one task.
func addTestJob(s *Simulator, id cluster.JobID, dependencies ...cluster.JobID) *Job {
	request := cluster.Resources{CPU: testCPU, Memory: testCPU}
	job := &Job{
		Spec:     cluster.JobSpec{ID: id, Team: "red", Tasks: 1, ResourceRequest: request, Dependencies: dependencies},
		Info:     JobInfo{ResourceRequest: request, RunDuration: 100 * second, TaskCount: 1},
		Accepted: true,
	}
	s.Jobs[id] = job
	return job
}

// startOn starts a job's task on a machine, without fetching the image.
func startOn(s *Simulator, machine cluster.MachineID, job *Job) {
	worker := s.Machines.Workers[machine]
	worker.fetchedImages[job.Info.Image] = true
	worker.startTask(cluster.Command{Kind: cluster.Start, Task: cluster.TaskID{Job: job.Spec.ID}, Attempt: 1})
}

// The machines of newCheckedCluster.
const (
	firstMachine = cluster.MachineID("m-000001")
	otherMachine = cluster.MachineID("m-000002")
)

// invariantViolations maps the names of tests to a function that violates an invariant and
// the name of that invariant.
var invariantViolations = map[string]struct {
	violate func(s *Simulator)
	want    string
}{
	"a task runs on two machines": {func(s *Simulator) {
		job := addTestJob(s, "j-1")
		startOn(s, firstMachine, job)
		startOn(s, otherMachine, job)
	}, "ran_twice"},
	"a task runs in a zone that its job excludes": {func(s *Simulator) {
		job := addTestJob(s, "j-1")
		job.Spec.Zone = "b"
		startOn(s, firstMachine, job)
	}, "wrong_place"},
	"a task starts before a dependency is done": {func(s *Simulator) {
		addTestJob(s, "j-1")
		startOn(s, firstMachine, addTestJob(s, "j-2", "j-1"))
	}, "too_early"},
	"a team exceeds its quota limit": {func(s *Simulator) {
		startOn(s, firstMachine, addTestJob(s, "j-1"))
		startOn(s, otherMachine, addTestJob(s, "j-2"))
		s.checker.checkAll()
	}, "quota"},
	"a cancelled job's task keeps running": {func(s *Simulator) {
		job := addTestJob(s, "j-1")
		startOn(s, firstMachine, job)
		job.CancelRequested = true
		s.After(second, func() { s.Users.CheckReportedStatus(job, cluster.JobCancelled) })
		s.After(second+s.config.CancelDeadline+millisecond, s.checker.checkAll)
		s.RunUntil(100 * second)
	}, "ran_cancelled"},
	"a job is reported done before its tasks are": {func(s *Simulator) {
		s.Users.CheckReportedStatus(addTestJob(s, "j-1"), cluster.JobDone)
	}, "not_done"},
	"a job is reported cancelled without a request": {func(s *Simulator) {
		s.Users.CheckReportedStatus(addTestJob(s, "j-1"), cluster.JobCancelled)
	}, "went_back"},
	"a cancelled job is reported running": {func(s *Simulator) {
		job := addTestJob(s, "j-1")
		job.CancelRequested = true
		s.Users.CheckReportedStatus(job, cluster.JobCancelled)
		s.Users.CheckReportedStatus(job, cluster.JobRunning)
	}, "went_back"},
	"no request about a job gets a response": {func(s *Simulator) {
		addTestJob(s, "j-1")
		s.FaultsOverAt = second
		s.After(second+lostJobTimeout+millisecond, s.checker.checkLostJobs)
		s.RunUntil(100 * second)
	}, "forgotten"},
	"a job waits while there is capacity": {func(s *Simulator) {
		addTestJob(s, "j-1")
		s.FaultsOverAt = second
		s.repeatEvery(5*second, s.checker.starvation.check)
		s.RunUntil(120 * second)
	}, "left_waiting"},
}

// TestInvariantViolationsAreReported checks that the violation of each invariant in
// invariantViolations is reported.
func TestInvariantViolationsAreReported(t *testing.T) {
	for name, test := range invariantViolations {
		t.Run(name, func(t *testing.T) {
			s := newCheckedCluster(t)
			test.violate(s)
			if len(s.Violations) != 1 || !strings.Contains(s.Violations[0], test.want+":") {
				t.Errorf("violations %v, want exactly one, of the invariant %s", s.Violations, test.want)
			}
		})
	}
}

// TestValidRunReportsNoViolations checks that no violation is reported while a job runs on
// one machine within the quota limit of its team.
func TestValidRunReportsNoViolations(t *testing.T) {
	s := newCheckedCluster(t)
	s.FaultsOverAt = second
	job := addTestJob(s, "j-1")
	startOn(s, "m-000001", job)
	s.Users.CheckReportedStatus(job, cluster.JobRunning)
	s.repeatEvery(checkInterval, s.checker.checkAll)
	s.RunUntil(60 * second)
	if len(s.Violations) > 0 {
		t.Errorf("violations %v, want none", s.Violations)
	}
}
