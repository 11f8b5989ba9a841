package controller_test

import (
	"fmt"
	"testing"

	"stairrelay/internal/messages"
)

// TestDeposedOwnerStopsAnsweringInOutage: the state service refuses the owner of a
// shard alone; the next owner acquires the shard, confirms a cancellation and ends
// before it could notify another controller or reach a machine; then the service is
// down for longer than cancel_s, while the workers send their heartbeats to the
// former owner all along. It can't know, and stops answering them in time. The
// controller that ended is back during the outage and knows nothing of what it did
// before: its acknowledgement counts for nothing.
func TestDeposedOwnerStopsAnsweringInOutage(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ { // in some the others hear of the acquisition before the partition
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newTestClusterWithSeed(t, seed, 2)
			owner, next, third := c.Nodes[1], c.Nodes[2], c.Nodes[0]
			owner.StoreRefusesUntil = c.Now + 14*second
			c.RunUntil(c.Now + 2*second)
			third.StoreRefusesUntil = c.Now + 20*second // else it reads of the acquisition and notifies the former owner
			c.waitFor("acquired by the next", 10*second, func() bool { return c.longJobOwner() == next.ID })
			next.WorkersPartitionedUntil, next.PeersPartitionedUntil = c.Now+300*second, c.Now+300*second
			c.cancelVia(next, c.longJob)
			next.Kill()
			c.Store.DownUntil = c.Now + 80*second
			next.PeersPartitionedUntil = 0
			c.After(6*second, next.Start)
			if c.countRunningTasks(c.longJob) == 0 {
				t.Fatal("the tasks are gone before the outage: the gap did not open")
			}
			c.runAndCheck(120 * second)
		})
	}
}

// TestOutageWithAllPeerAcknowledgements: while all controllers acknowledge, an outage
// of the state service that is longer than cancel_s costs no running task.
func TestOutageWithAllPeerAcknowledgements(t *testing.T) {
	c := newTestCluster(t, 2)
	c.Store.DownUntil = c.Now + 2*c.config.CancelDeadline
	c.runAndCheck(2*c.config.CancelDeadline + 5*second)
	for id, worker := range c.Machines.Workers {
		if worker.Incarnation != 1 {
			t.Errorf("the lease of %s has expired", id)
		}
	}
	if running := c.countRunningTasks(c.longJob); running != 3 {
		t.Errorf("%d of 3 tasks run", running)
	}
}

// TestDeposedOwnerLearnsFromThirdController: the former owner is partitioned from the
// next but not from the third controller, whose message is enough for it to
// give the shard up.
func TestDeposedOwnerLearnsFromThirdController(t *testing.T) {
	c := newTestCluster(t, 2)
	owner, next := c.Nodes[1], c.Nodes[2]
	owner.StoreRefusesUntil = c.Now + 10*second
	c.waitFor("acquired by the next", 10*second, func() bool { return c.longJobOwner() == next.ID })
	next.WorkersPartitionedUntil = c.Now + 60*second
	c.RunUntil(c.Now + 2*second) // the third hears of the acquisition
	next.Kill()
	c.Store.DownUntil = c.Now + 60*second
	status := messages.ReplyNone
	c.RunUntil(c.Now + 2*second)
	for id, worker := range c.Machines.Workers {
		if len(worker.Tasks) == 0 {
			continue
		}
		owner.SendRequest(heartbeatRequest(worker.NextStatus()), func(answer messages.Respond) { status = answer.Status })
		c.RunUntil(c.Now + second)
		if status == messages.ReplyOK {
			t.Errorf("the former owner still answers %s", id)
		}
	}
	if status == messages.ReplyNone {
		t.Error("no heartbeat was answered")
	}
}
