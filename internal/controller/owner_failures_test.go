package controller_test

import (
	"testing"
	"time"

	"stairrelay/internal/cluster"
)

// TestRepeatedOwnerFailures: whoever holds the part ends, ten times in two minutes, also
// inside an outage of the state service; a job is cancelled in between.
func TestRepeatedOwnerFailures(t *testing.T) {
	m := newTestCluster(t, 3)
	other := m.submitJob("j-000002", 2, 200*second)
	begun, ended := m.Now, map[cluster.NodeID]int{}
	for i := range 10 {
		m.After(cluster.Time(i)*12*second, func() {
			for _, n := range m.Nodes {
				if n.ID == m.longJobOwner() {
					ended[n.ID]++
					restart(m.Simulator, n, 9*second) // long enough for another to succeed it
				}
			}
		})
	}
	m.After(40*second, func() { m.Store.DownUntil = m.Now + 30*second })
	m.After(38*second, func() { m.Users.Cancel(m.longJob) })
	m.runAndCheck(120 * second)
	if len(ended) < 2 || m.longJob.ReportedStatus != cluster.JobCancelled || m.longJob.CancelConfirmedAt-begun > 90*second {
		t.Errorf("ended %v, the job is %s since %v", ended, m.longJob.ReportedStatus, time.Duration(m.longJob.CancelConfirmedAt-begun))
	}
	m.runAndCheck(300 * second)
	if other.ReportedStatus != cluster.JobDone {
		t.Errorf("the other job is %s", other.ReportedStatus)
	}
}
