package controller_test

import (
	"testing"

	"stairrelay/internal/cluster"
)

// partitionZone partitions a zone until the given time. The zone contains all machines
// and the controller inside, which reach each other but neither the store nor the other
// controllers.
func (c *testCluster) partitionZone(inside cluster.NodeID, until cluster.Time) {
	for _, node := range c.Nodes {
		if node.ID == inside {
			node.StorePartitionedUntil, node.PeersPartitionedUntil = until, until
		} else {
			node.WorkersPartitionedUntil = until
		}
	}
}

// TestZonePartitionDuringCloudOutage checks that cancelled tasks in a partitioned zone
// end in time although the new owner can neither reach nor release their machines.
func TestZonePartitionDuringCloudOutage(t *testing.T) {
	c := newTestCluster(t, 2)
	inside, outside := c.Nodes[1], c.Nodes[2]
	healed := c.Now + 2*c.config.CancelDeadline
	c.partitionZone(inside.ID, healed)
	c.CloudAPI.DownUntil = healed
	c.waitFor("a controller outside acquires the shard", 30*second, func() bool { return c.longJobOwner() == outside.ID })
	c.cancelVia(outside, c.longJob)
	if c.countRunningTasks(c.longJob) == 0 {
		t.Fatal("the tasks ended before the cancellation")
	}
	c.runAndCheck(2*c.config.CancelDeadline + 30*second)
}

// TestZonePartitionLongerThanLease checks that cancelled tasks end in time in a zone that
// is partitioned for longer than a worker lease and in which only a deposed owner answers.
func TestZonePartitionLongerThanLease(t *testing.T) {
	c := newTestCluster(t, 2)
	inside := c.Nodes[1]
	c.partitionZone(inside.ID, c.Now+6*c.config.WorkerLease)
	c.waitFor("a controller outside acquires the shard", 30*second, func() bool { return c.longJobOwner() != inside.ID })
	outside := c.Nodes[2]
	if c.longJobOwner() != outside.ID {
		t.Fatalf("the shard was acquired by %s, not by the expected controller", c.longJobOwner())
	}
	c.cancelVia(outside, c.longJob)
	if c.countRunningTasks(c.longJob) == 0 {
		t.Fatal("the tasks ended before the cancellation")
	}
	c.runAndCheck(c.config.CancelDeadline + 30*second)
}
