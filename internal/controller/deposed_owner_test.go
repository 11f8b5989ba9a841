package controller_test

import (
	"fmt"
	"testing"

	"stairrelay/internal/messages"
)

// TestDeposedOwnerStopsAnsweringInOutage checks that cancelled tasks end in time if the
// store goes down and the new owner crashes before it notifies the deposed owner.
func TestDeposedOwnerStopsAnsweringInOutage(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ { // for some seeds other controllers learn of the acquisition before the new owner is partitioned
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newTestClusterWithSeed(t, seed, 2)
			owner, next, third := c.Nodes[1], c.Nodes[2], c.Nodes[0]
			owner.StoreUnavailableUntil = c.Now + 14*second
			c.RunUntil(c.Now + 2*second)
			third.StoreUnavailableUntil = c.Now + 20*second // otherwise it would read the new claim and notify the deposed owner
			c.waitFor("the next owner acquires the shard", 10*second, func() bool { return c.longJobOwner() == next.ID })
			next.WorkersPartitionedUntil, next.PeersPartitionedUntil = c.Now+300*second, c.Now+300*second
			c.cancelVia(next, c.longJob)
			next.Kill()
			c.StoreAPI.DownUntil = c.Now + 80*second
			next.PeersPartitionedUntil = 0
			c.After(6*second, next.Start)
			if c.countRunningTasks(c.longJob) == 0 {
				t.Fatal("the tasks ended before the outage, so the test is inconclusive")
			}
			c.runAndCheck(120 * second)
		})
	}
}

// TestOutageWithAllPeerAcknowledgements checks that a store outage longer than the cancel
// deadline stops no task while all controllers acknowledge each other.
func TestOutageWithAllPeerAcknowledgements(t *testing.T) {
	c := newTestCluster(t, 2)
	c.StoreAPI.DownUntil = c.Now + 2*c.config.CancelDeadline
	c.runAndCheck(2*c.config.CancelDeadline + 5*second)
	for id, worker := range c.Machines.Workers {
		if worker.Incarnation != 1 {
			t.Errorf("the lease of %s has expired", id)
		}
	}
	if running := c.countRunningTasks(c.longJob); running != 3 {
		t.Errorf("%d of 3 tasks run after the outage", running)
	}
}

// TestDeposedOwnerLearnsFromThirdController checks that a deposed owner stops accepting
// heartbeats after a third controller has notified it of the acquisition.
func TestDeposedOwnerLearnsFromThirdController(t *testing.T) {
	c := newTestCluster(t, 2)
	owner, next := c.Nodes[1], c.Nodes[2]
	owner.StoreUnavailableUntil = c.Now + 10*second
	c.waitFor("the next owner acquires the shard", 10*second, func() bool { return c.longJobOwner() == next.ID })
	next.WorkersPartitionedUntil = c.Now + 60*second
	c.RunUntil(c.Now + 2*second) // the third controller learns of the acquisition
	next.Kill()
	c.StoreAPI.DownUntil = c.Now + 60*second
	status := messages.StatusNone
	c.RunUntil(c.Now + 2*second)
	for id, worker := range c.Machines.Workers {
		if len(worker.Tasks) == 0 {
			continue
		}
		owner.SendRequest(heartbeatRequest(worker.NextStatus()), func(response messages.Respond) { status = response.Status })
		c.RunUntil(c.Now + second)
		if status == messages.StatusOK {
			t.Errorf("the deposed owner still accepts heartbeats of %s", id)
		}
	}
	if status == messages.StatusNone {
		t.Error("no heartbeat was answered")
	}
}
