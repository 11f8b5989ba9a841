package controller_test

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestAllControllersDownLongerThanLease checks that tasks stop if all controllers are
// down for longer than a worker lease, and that they run again after the restart.
func TestAllControllersDownLongerThanLease(t *testing.T) {
	c := newTestCluster(t, 2)
	other := c.submitJob("j-000002", 2, 20*second)
	c.RunUntil(c.Now + 3*second)
	for _, node := range c.Nodes {
		node.Kill()
	}
	c.RunUntil(c.Now + c.config.WorkerLease + 5*second)
	if running := c.countRunningTasks(c.longJob); running != 0 {
		t.Fatalf("%d tasks still run after their worker lease has expired", running)
	}
	for i, node := range c.Nodes {
		c.After(cluster.Time(i)*second/5, node.Start)
	}
	c.runAndCheck(90 * second)
	if other.ReportedStatus != cluster.JobDone || c.countRunningTasks(c.longJob) != 3 {
		t.Errorf("the short job is %s and %d tasks of the long job run, want done and 3 tasks", other.ReportedStatus, c.countRunningTasks(c.longJob))
	}
}
