package controller_test

import (
	"testing"
	"time"

	"stairrelay/internal/cluster"
)

// TestRepeatedOwnerFailures checks that one job is cancelled and another is done although
// the owner of their shard crashes ten times in two minutes, also during a store outage.
func TestRepeatedOwnerFailures(t *testing.T) {
	c := newTestCluster(t, 3)
	other := c.submitJob("j-000002", 2, 200*second)
	startedAt, crashes := c.Now, map[cluster.NodeID]int{}
	for i := range 10 {
		c.After(cluster.Time(i)*12*second, func() {
			owner := c.longJobOwner()
			crashes[owner]++
			c.restartNode(owner, failoverTime)
		})
	}
	c.After(40*second, func() { c.StoreAPI.DownUntil = c.Now + 30*second })
	c.After(38*second, func() { c.Users.Cancel(c.longJob) })
	c.runAndCheck(120 * second)
	if len(crashes) < 2 || c.longJob.ReportedStatus != cluster.JobCancelled || c.longJob.CancelConfirmedAt-startedAt > 90*second {
		t.Errorf("crashes %v, the cancelled job is %s, confirmed after %v; want crashes of several owners and a confirmation within 90s", crashes, c.longJob.ReportedStatus, time.Duration(c.longJob.CancelConfirmedAt-startedAt))
	}
	c.runAndCheck(300 * second)
	if other.ReportedStatus != cluster.JobDone {
		t.Errorf("the other job is %s, want done", other.ReportedStatus)
	}
}
