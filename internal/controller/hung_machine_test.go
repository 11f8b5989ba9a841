package controller_test

import (
	"fmt"
	"testing"
	"time"

	"stairrelay/internal/cluster"
)

// failoverTime is a downtime of a controller that is long enough for another one to
// acquire its shards.
const failoverTime = 9 * second

// restartEachOwner kills each owner of the long job's shard ownershipDuration after the
// acquisition, and starts it again after failoverTime.
func (c *testCluster) restartEachOwner(ownershipDuration cluster.Time) {
	var last cluster.NodeID
	var check func()
	check = func() {
		if owner := c.longJobOwner(); owner != last {
			last = owner
			c.After(ownershipDuration, func() { c.restartNode(owner, failoverTime) })
		}
		c.After(second/10, check)
	}
	check()
}

// restartNode kills the controller with the given ID and starts it again after a
// downtime.
func (c *testCluster) restartNode(id cluster.NodeID, downtime cluster.Time) {
	for _, node := range c.Nodes {
		if node.ID == id {
			restart(c.Simulator, node, downtime)
		}
	}
}

// hangMachinesWithTasks makes all machines that have tasks hang for a duration.
func (c *testCluster) hangMachinesWithTasks(duration cluster.Time) {
	for id, worker := range c.Machines.Workers {
		if len(worker.Tasks) > 0 {
			c.Machines.Hang(id, duration)
		}
	}
}

// TestHungMachineAcrossShortOwnerships checks that a cancelled job's tasks on a hung
// machine end by the cancel deadline although each owner soon crashes.
func TestHungMachineAcrossShortOwnerships(t *testing.T) {
	// Ten owners in two minutes have 12 s each, of which failure detection takes 6.6 s.
	const tenInTwoMinutes = 5400 * millisecond
	for _, test := range []struct {
		heartbeatInterval, lease, cancelDeadline, ownershipDuration cluster.Time
	}{
		{2 * second, 12 * second, 37 * second, 2 * second},
		{3 * second, 22 * second, 52 * second, tenInTwoMinutes},
		{5 * second, 26500 * millisecond, 51500 * millisecond, tenInTwoMinutes},
		{5 * second, 26500 * millisecond, 51500 * millisecond, 2 * second},
	} {
		t.Run(fmt.Sprintf("heartbeat interval %v, ownership duration %v", time.Duration(test.heartbeatInterval), time.Duration(test.ownershipDuration)), func(t *testing.T) {
			cfg := testConfig()
			cfg.HeartbeatInterval, cfg.WorkerLease, cfg.CancelDeadline = test.heartbeatInterval, test.lease, test.cancelDeadline
			if newOwnerTimeout := max(5*second, 2*test.heartbeatInterval); test.ownershipDuration >= newOwnerTimeout {
				t.Fatalf("ownership duration %v is not shorter than the time for which a new owner waits for a machine", time.Duration(test.ownershipDuration))
			}
			c := newTestClusterWithConfig(t, cfg, 1, 2)
			c.hangMachinesWithTasks(2 * cfg.CancelDeadline)
			c.cancelVia(c.Nodes[1], c.longJob)
			c.restartEachOwner(test.ownershipDuration)
			c.RunUntil(c.longJob.CancelConfirmedAt + cfg.CancelDeadline)
			if running := c.countRunningTasks(c.longJob); running > 0 {
				t.Errorf("%d tasks still run at the cancel deadline", running)
			}
			c.runAndCheck(30 * second)
		})
	}
}

// TestCancelledTasksOnHungMachineEndInOutage checks that a cancelled job's tasks on a
// hung machine end in time during a store outage longer than the cancel deadline.
func TestCancelledTasksOnHungMachineEndInOutage(t *testing.T) {
	c := newTestCluster(t, 2)
	c.hangMachinesWithTasks(100 * second)
	c.cancelVia(c.Nodes[1], c.longJob)
	c.StoreAPI.DownUntil = c.Now + 80*second
	if c.countRunningTasks(c.longJob) == 0 {
		t.Fatal("the tasks ended before the outage, so the test is inconclusive")
	}
	c.runAndCheck(120 * second)
}
