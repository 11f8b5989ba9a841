package controller_test

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestAllControllersDownLongerThanLease: all controllers are down for longer than a lease.
// The tasks are lost with it; none runs twice, and the job gets done.
func TestAllControllersDownLongerThanLease(t *testing.T) {
	c := newTestCluster(t, 2)
	other := c.submitJob("j-000002", 2, 20*second)
	c.RunUntil(c.Now + 3*second)
	for _, node := range c.Nodes {
		node.Kill()
	}
	c.RunUntil(c.Now + c.config.WorkerLease + 5*second)
	if running := c.countRunningTasks(c.longJob); running != 0 {
		t.Fatalf("%d tasks outlive their lease", running)
	}
	for i, node := range c.Nodes {
		c.After(cluster.Time(i)*second/5, node.Start)
	}
	c.runAndCheck(90 * second)
	if other.ReportedStatus != cluster.JobDone || c.countRunningTasks(c.longJob) != 3 {
		t.Errorf("the short job is %s, %d of the long one's 3 tasks run", other.ReportedStatus, c.countRunningTasks(c.longJob))
	}
}
