package controller_test

import (
	"testing"
	"time"

	"stairrelay/internal/cluster"
)

// TestRepeatedOwnerFailures: the owner of a shard crashes ten times in two minutes, also
// in an outage of the state service; a job is cancelled in between.
func TestRepeatedOwnerFailures(t *testing.T) {
	m := newTestCluster(t, 3)
	other := m.submitJob("j-000002", 2, 200*second)
	startedAt, crashes := m.Now, map[cluster.NodeID]int{}
	for i := range 10 {
		m.After(cluster.Time(i)*12*second, func() {
			owner := m.longJobOwner()
			crashes[owner]++
			m.restartNode(owner, successionTime)
		})
	}
	m.After(40*second, func() { m.Store.DownUntil = m.Now + 30*second })
	m.After(38*second, func() { m.Users.Cancel(m.longJob) })
	m.runAndCheck(120 * second)
	if len(crashes) < 2 || m.longJob.ReportedStatus != cluster.JobCancelled || m.longJob.CancelConfirmedAt-startedAt > 90*second {
		t.Errorf("crashes %v, the job is %s since %v", crashes, m.longJob.ReportedStatus, time.Duration(m.longJob.CancelConfirmedAt-startedAt))
	}
	m.runAndCheck(300 * second)
	if other.ReportedStatus != cluster.JobDone {
		t.Errorf("the other job is %s", other.ReportedStatus)
	}
}
