package controller_test

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/simulation"
)

// TestZoneBoundJobGetsNewMachines: the machines of the only zone that a job may use
// are lost. Others there are rented, and its tasks begin on them.
func TestZoneBoundJobGetsNewMachines(t *testing.T) {
	m := newTestCluster(t, 1)
	s := cluster.JobSpec{ID: "j-000002", Class: "c", Team: "red", Priority: cluster.Normal, Tasks: 3, ResourceRequest: cluster.Resources{CPU: cpu, Memory: cpu}, Zone: "b",
		Image: "img", ImageGB: 1, RuntimeSeconds: 60, SubmittedAt: cluster.WallTime(m.Now / 1e6)}
	j := &simulation.Job{Spec: s, Info: simulation.JobInfo{ResourceRequest: s.ResourceRequest, RunDuration: 60 * second, TaskCount: 3, Image: "img"}}
	m.Users.Submit(j)
	m.waitFor("its tasks run in its zone", 60*second, func() bool { return m.countRunningTasks(j) == 3 })
	for id, l := range m.Machines.Workers {
		if l.Zone == "b" {
			m.Machines.Remove(id)
		}
	}
	m.waitFor("its tasks run again", 90*second, func() bool { return m.countRunningTasks(j) == 3 })
	m.runAndCheck(90 * second)
	if j.ReportedStatus != cluster.JobDone {
		t.Errorf("the job is %s", j.ReportedStatus)
	}
}
