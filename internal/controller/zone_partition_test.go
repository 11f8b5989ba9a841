package controller_test

import (
	"testing"

	"stairrelay/internal/cluster"
)

// partitionZone partitions a zone with all the machines and one controller from the
// other controllers and the state service, until a time. The machines go on sending
// their heartbeats to the controller inside.
func (m *testCluster) partitionZone(inside cluster.NodeID, until cluster.Time) {
	for _, node := range m.Nodes {
		if node.ID == inside {
			node.StoreCutUntil, node.PeersCutUntil = until, until
		} else {
			node.WorkersCutUntil = until
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
	m := newTestCluster(t, 2)
	inside, outside := m.Nodes[1], m.Nodes[2]
	healed := m.Now + 2*m.config.CancelDeadline
	m.partitionZone(inside.ID, healed)
	m.CloudAPI.DownUntil = healed
	m.waitFor("acquired outside", 30*second, func() bool { return m.longJobOwner() == outside.ID })
	m.cancelAt(outside, m.longJob)
	if m.countRunningTasks(m.longJob) == 0 {
		t.Fatal("the tasks are gone before the cancellation")
	}
	m.runAndCheck(2*m.config.CancelDeadline + 30*second)
}

// TestZonePartitionLongerThanLease: a zone with all the workers and one controller is
// partitioned for longer than a lease; the controller there goes on answering them.
// Another acquires its shard and confirms a cancellation, and can't reach a machine.
func TestZonePartitionLongerThanLease(t *testing.T) {
	m := newTestCluster(t, 2)
	inside := m.Nodes[1]
	m.partitionZone(inside.ID, m.Now+6*m.config.WorkerLease)
	m.waitFor("acquired outside", 30*second, func() bool { return m.longJobOwner() != inside.ID })
	outside := m.Nodes[2]
	if m.longJobOwner() != outside.ID {
		t.Fatalf("acquired by %s", m.longJobOwner())
	}
	m.cancelAt(outside, m.longJob)
	if m.countRunningTasks(m.longJob) == 0 {
		t.Fatal("the tasks are gone before the cancellation")
	}
	m.runAndCheck(m.config.CancelDeadline + 30*second)
}
