package core_test

import (
	"testing"

	"stairrelay/internal/core"
	"stairrelay/internal/standin"
)

// TestZoneBoundJobLosesMachines: the machines of the only zone that a job may use
// are lost. Others there are rented, and its tasks begin on them.
func TestZoneBoundJobLosesMachines(t *testing.T) {
	m := newCalmCluster(t, 1)
	s := core.JobSpec{ID: "j-000002", Class: "c", Team: "red", Priority: core.Normal, Tasks: 3, Need: core.Res{CPU: cpu, Mem: cpu}, Zone: "b",
		Image: "img", ImageGB: 1, RuntimeS: 60, Submitted: core.Wall(m.Now / 1e6)}
	j := &standin.Job{Spec: s, Info: standin.JobInfo{Need: s.Need, Run: 60 * sec, Tasks: 3, Image: "img"}}
	m.Submit(j)
	m.until("its tasks run in its zone", 60*sec, func() bool { return m.onMachines(j) == 3 })
	for id, l := range m.Workers {
		if l.Zone == "b" {
			m.Remove(id)
		}
	}
	m.until("its tasks run again", 90*sec, func() bool { return m.onMachines(j) == 3 })
	m.rest(90 * sec)
	if j.Told != core.StDone {
		t.Errorf("the job is %s", j.Told)
	}
}
