package controller_test

import (
	"testing"

	"stairrelay/internal/cluster"
)

// partitionZone partitions a zone with all the machines and one controller from the
// other controllers and the state service, until a time. The machines go on sending
// their heartbeats to the controller inside.
func (c *testCluster) partitionZone(inside cluster.NodeID, until cluster.Time) {
	for _, node := range c.Nodes {
		if node.ID == inside {
			node.StorePartitionedUntil, node.PeersPartitionedUntil = until, until
		} else {
			node.WorkersPartitionedUntil = until
		}
	}
}

// TestZonePartitionDuringCloudOutage: a zone with all the machines and the controller
// that owns their shard is partitioned for longer than a lease, and the cloud is
// down, so that the controller outside which acquires the shard and confirms a
// cancellation can neither reach the machines nor release them. Only the controller
// inside can end the cancelled tasks: by no longer answering their machines, though
// it can't know of the cancellation.
func TestZonePartitionDuringCloudOutage(t *testing.T) {
	c := newTestCluster(t, 2)
	inside, outside := c.Nodes[1], c.Nodes[2]
	healed := c.Now + 2*c.config.CancelDeadline
	c.partitionZone(inside.ID, healed)
	c.CloudAPI.DownUntil = healed
	c.waitFor("acquired outside", 30*second, func() bool { return c.longJobOwner() == outside.ID })
	c.cancelVia(outside, c.longJob)
	if c.countRunningTasks(c.longJob) == 0 {
		t.Fatal("the tasks are gone before the cancellation")
	}
	c.runAndCheck(2*c.config.CancelDeadline + 30*second)
}

// TestZonePartitionLongerThanLease: a zone with all the workers and one controller is
// partitioned for longer than a lease; the controller there goes on answering them.
// Another acquires its shard and confirms a cancellation, and can't reach a machine.
func TestZonePartitionLongerThanLease(t *testing.T) {
	c := newTestCluster(t, 2)
	inside := c.Nodes[1]
	c.partitionZone(inside.ID, c.Now+6*c.config.WorkerLease)
	c.waitFor("acquired outside", 30*second, func() bool { return c.longJobOwner() != inside.ID })
	outside := c.Nodes[2]
	if c.longJobOwner() != outside.ID {
		t.Fatalf("acquired by %s", c.longJobOwner())
	}
	c.cancelVia(outside, c.longJob)
	if c.countRunningTasks(c.longJob) == 0 {
		t.Fatal("the tasks are gone before the cancellation")
	}
	c.runAndCheck(c.config.CancelDeadline + 30*second)
}
