package controller_test

import (
	"fmt"
	"testing"
	"time"

	"stairrelay/internal/cluster"
)

// successionTime is how long a controller has to be down for another to acquire
// its shards.
const successionTime = 9 * second

// restartEachOwner restarts each owner of the long job's shard a while after it has
// acquired that.
func (c *testCluster) restartEachOwner(ownershipDuration cluster.Time) {
	var last cluster.NodeID
	var check func()
	check = func() {
		if owner := c.longJobOwner(); owner != last {
			last = owner
			c.After(ownershipDuration, func() { c.restartNode(owner, successionTime) })
		}
		c.After(second/10, check)
	}
	check()
}

// restartNode restarts the controller of a name.
func (c *testCluster) restartNode(id cluster.NodeID, delay cluster.Time) {
	for _, node := range c.Nodes {
		if node.ID == id {
			restart(c.Simulator, node, delay)
		}
	}
}

// hangMachinesOfJob makes the machines hang on which the long job has tasks.
func (c *testCluster) hangMachinesOfJob(duration cluster.Time) {
	for id, worker := range c.Machines.Workers {
		if len(worker.Tasks) > 0 {
			c.Machines.Hang(id, duration)
		}
	}
}

// TestHungMachineAcrossShortOwnerships: the machine of a cancelled job hangs, and no
// owner of its shard runs for as long as an owner waits for a machine that it has
// just acquired. The job's tasks are gone in time all the same: a controller that
// has known of the cancellation for half of its time, or started only after it,
// releases a machine that leaves its first call unanswered.
func TestHungMachineAcrossShortOwnerships(t *testing.T) {
	// Ten owners in two minutes: of the 12 s for each, detection takes 6.6 s.
	const tenInTwoMinutes = 5400 * millisecond
	for _, test := range []struct {
		heartbeatInterval, lease, cancelDeadline, ownership cluster.Time
	}{
		{2 * second, 12 * second, 37 * second, 2 * second},
		{3 * second, 22 * second, 52 * second, tenInTwoMinutes},
		{5 * second, 26500 * millisecond, 51500 * millisecond, tenInTwoMinutes},
		{5 * second, 26500 * millisecond, 51500 * millisecond, 2 * second},
	} {
		t.Run(fmt.Sprintf("heartbeats each %v, owners run for %v", time.Duration(test.heartbeatInterval), time.Duration(test.ownership)), func(t *testing.T) {
			cfg := testConfig()
			cfg.HeartbeatInterval, cfg.WorkerLease, cfg.CancelDeadline = test.heartbeatInterval, test.lease, test.cancelDeadline
			if patience := max(5*second, 2*test.heartbeatInterval); test.ownership >= patience {
				t.Fatalf("owners run for %v, no shorter than an owner waits", time.Duration(test.ownership))
			}
			c := newTestClusterWithConfig(t, cfg, 1, 2)
			c.hangMachinesOfJob(2 * cfg.CancelDeadline)
			c.cancelVia(c.Nodes[1], c.longJob)
			c.restartEachOwner(test.ownership)
			c.RunUntil(c.longJob.CancelConfirmedAt + cfg.CancelDeadline)
			if running := c.countRunningTasks(c.longJob); running > 0 {
				t.Errorf("%d tasks are on machines when the time for the cancellation is over", running)
			}
			c.runAndCheck(30 * second)
		})
	}
}

// TestHungMachineReleasedInOutage: a cancelled job's machine hangs, and the state
// service is down for longer than cancel_s: the machine is released without a
// record.
func TestHungMachineReleasedInOutage(t *testing.T) {
	c := newTestCluster(t, 2)
	c.hangMachinesOfJob(100 * second)
	c.cancelVia(c.Nodes[1], c.longJob)
	c.Store.DownUntil = c.Now + 80*second
	if c.countRunningTasks(c.longJob) == 0 {
		t.Fatal("the tasks are gone before the outage")
	}
	c.runAndCheck(120 * second)
}
