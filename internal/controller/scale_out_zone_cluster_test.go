package controller_test

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestZoneBoundJobGetsNewMachines checks that after all machines in the only zone that a
// job may use are lost, new ones are provisioned there and the tasks start on them.
func TestZoneBoundJobGetsNewMachines(t *testing.T) {
	c := newTestCluster(t, 1)
	const run = 60 * second
	spec := newJobSpec("j-000002", "red", 3, run)
	spec.Zone = "b"
	spec.SubmittedAt = wallTime(c.Now)
	job := newJob(spec, run)
	c.Users.Submit(job)
	c.waitFor("its tasks run in its zone", 60*second, func() bool { return c.countRunningTasks(job) == 3 })
	for id, worker := range c.Machines.Workers {
		if worker.Zone == "b" {
			c.Machines.Remove(id)
		}
	}
	c.waitFor("its tasks run again", 90*second, func() bool { return c.countRunningTasks(job) == 3 })
	c.runAndCheck(90 * second)
	if job.ReportedStatus != cluster.JobDone {
		t.Errorf("the job is %s, want done", job.ReportedStatus)
	}
}
