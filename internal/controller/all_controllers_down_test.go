package controller_test

import (
	"testing"

	"stairrelay/internal/cluster"
)

// TestAllControllersDownLongerThanLease: all controllers are down for longer than a lease.
// The tasks are lost with it; none runs twice, and the job gets done.
func TestAllControllersDownLongerThanLease(t *testing.T) {
	m := newTestCluster(t, 2)
	other := m.submitJob("j-000002", 2, 20*second)
	m.RunUntil(m.Now + 3*second)
	for _, node := range m.Nodes {
		node.Kill()
	}
	m.RunUntil(m.Now + m.config.WorkerLease + 5*second)
	if running := m.countRunningTasks(m.longJob); running != 0 {
		t.Fatalf("%d tasks outlive their lease", running)
	}
	for i, node := range m.Nodes {
		m.After(cluster.Time(i)*second/5, node.Start)
	}
	m.runAndCheck(90 * second)
	if other.ReportedStatus != cluster.JobDone || m.countRunningTasks(m.longJob) != 3 {
		t.Errorf("the short job is %s, %d of the long one's 3 tasks run", other.ReportedStatus, m.countRunningTasks(m.longJob))
	}
}
