package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestCloudRateSharedByDemand: where one of seven controllers has all the work it gets
// most of the cloud's rate, the idle ones keep enough to begin with, and
// together they stay within the limit.
func TestCloudRateSharedByDemand(t *testing.T) {
	view := func(self cluster.NodeID, demand map[cluster.NodeID]float64) float64 {
		cfg := newSevenNodeController().config
		cfg.Self = self
		c := New(cfg)
		c.Step(0, 0, messages.Tick{})
		for _, peer := range c.members.Peers() {
			c.members.HandlePingReply(peer, &messages.Ping{CloudDemand: demand[peer.ID()]}, c.loop.Now())
		}
		c.provisioner.RateLimiter.SetDemand(demand[self])
		return c.provisioner.RateLimiter.Share()
	}
	demand := map[cluster.NodeID]float64{"n0": 4}
	busy := view("n0", demand)
	if busy < 0.75*3.6 {
		t.Errorf("the one with work may call the cloud %.2f times a second of 3.6", busy)
	}
	sum := 0.0
	for _, node := range newSevenNodeController().config.Nodes {
		rate := view(node, demand)
		if rate < 0.05 {
			t.Errorf("%s could not even begin: %.3f calls a second", node, rate)
		}
		sum += rate
	}
	if sum > 3.601 {
		t.Errorf("together %.2f calls a second, over 3.6", sum)
	}
}

// newSevenNodeController is a cluster's first controller whose one team has no limit.
func newSevenNodeController() *Controller {
	return New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0", "n1", "n2", "n3", "n4", "n5", "n6"}, Teams: []cluster.Team{{Name: "red", QuotaLimit: cluster.Resources{CPU: cluster.NoLimit, GPU: cluster.NoLimit}}},
		CloudRPS: 4, StoreRPS: 100, WriteRPS: 25, MaxTxnOps: 20, MaxValueBytes: 16384, WorkerLease: 14 * second, HeartbeatInterval: 5 * second / 2, Tuning: DefaultTuning()})
}

// TestFailbackOnlyRelievesLoad: a shard goes back to its home only where that takes work
// off a controller that has other work too; with all the work in one shard only its
// owner would change.
func TestFailbackOnlyRelievesLoad(t *testing.T) {
	c := newSevenNodeController()
	c.Step(second, 0, messages.Tick{})
	mine, theirs, home := c.state.Shards[0], c.state.Shards[1], c.members.Peer("n1")
	answer := func() {
		c.members.HandlePingReply(home, &messages.Ping{StoreReachable: true, WorkersReachable: true}, c.loop.Now())
	}
	answer()
	c.Step(20*second, 0, messages.Tick{})
	answer()
	for _, shard := range []*state.Shard{mine, theirs} {
		shard.Owned, shard.Ready, shard.Owner = true, true, "n0"
	}
	if len(c.members.MakePing(home).FailbackOffers) != 1 {
		t.Error("a shard without work is not offered to its home")
	}
	c.state.AddOwnedJob(state.NewJob(cluster.JobSpec{ID: "j-1", Team: "red", Tasks: 1}, theirs.ID, 0, 0))
	if len(c.members.MakePing(home).FailbackOffers) != 0 {
		t.Error("the only shard with work is offered to its home")
	}
	c.state.AddOwnedJob(state.NewJob(cluster.JobSpec{ID: "j-2", Team: "red", Tasks: 1}, mine.ID, 0, 0))
	if len(c.members.MakePing(home).FailbackOffers) != 1 {
		t.Error("one of two shards with work is not offered to its home")
	}
}

// TestReleasedMachineNotAdopted: a machine that was another shard's until it was
// released is listed for a while longer; it is not adopted as an orphan because
// it was first seen long ago.
func TestReleasedMachineNotAdopted(t *testing.T) {
	c := newSevenNodeController()
	c.config.CloudListLag = 8 * second
	c.reconciler.Configure(c.reconcileConfig())
	c.Step(0, 0, messages.Tick{})
	shard := c.reconciler.Orphans.ShardFor("m-000007")
	shard.Owned, shard.Ready = true, true
	owned, adopted, reads := true, false, 0
	for c.loop.Now() < 300*second {
		if c.loop.Now() > 70*second {
			owned = false // released; the list shows it for 16 s more
		}
		if c.loop.Now() < 86*second && c.loop.Now()%(8*second) == 0 {
			c.provisioner.List.Apply([]cluster.ListedMachine{{ID: "m-000007", Type: "small", Zone: "a", AgeSeconds: 500}})
		}
		queue := c.Step(c.loop.Now()+second/2, 0, messages.Tick{})
		for len(queue) > 0 {
			effect := queue[0]
			queue = queue[1:]
			switch effect := effect.(type) {
			case messages.StoreList:
				reads++
				reply := messages.ListReply{Outcome: messages.OK}
				if effect.Prefix == "groups/" && owned {
					reply.Items = []messages.KV{{Key: "groups/x", Value: grouprecord.Encode(grouprecord.Record{ShardID: 3, Machines: []grouprecord.Machine{{ID: "m-000007", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}}}, WriteID: "n"})}}
				}
				queue = append(queue, c.Step(c.loop.Now(), 0, messages.Reply{Call: effect.Call, Body: reply})...)
			case messages.Log:
				adopted = adopted || effect.Message == "orphaned machine adopted"
			}
		}
	}
	if reads < 2 {
		t.Error("nobody read which shard has the machine")
	}
	if adopted || len(shard.PendingRegistrations) > 0 {
		t.Error("a released machine was adopted as an orphan")
	}
}

// TestOwnerWithoutHeartbeatsFailsOver: the controller with all machines loses its workers.
// It says so when a few seconds have passed without any heartbeat, and another,
// which has no machines but hears the workers look for their owner, takes over.
func TestOwnerWithoutHeartbeatsFailsOver(t *testing.T) {
	const machines = 20 // a large fleet
	c := newSevenNodeController()
	for now := cluster.Time(0); now <= 30*second; now += second { // a single step would be a process pause
		c.Step(now, 0, messages.Tick{})
	}
	shard := c.state.Shards[0]
	shard.Owned, shard.Ready = true, true
	group := c.state.AddGroup(shard, "g", 1)
	for i := range machines {
		machine := c.inventory.AddMachine(group, grouprecord.Machine{ID: cluster.MachineID(rune('a' + i)), Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}}, 5)
		machine.OwnedSince = 0
	}
	c.workerReachability.RecordOwnedHeartbeat()
	setTime(c, c.loop.Now()+3*second)
	if !c.workerReachability.CanReachWorkers() {
		t.Error("workers count as lost while heartbeats may still be on their way")
	}
	setTime(c, c.loop.Now()+second)
	if c.workerReachability.CanReachWorkers() {
		t.Error("20 machines silent for 4 s, heartbeats each 2.5 s: the workers count as in reach")
	}

	observer := newSevenNodeController()
	observer.Step(30*second, 0, messages.Tick{})
	observer.members.HandlePingReply(observer.members.Peer("n1"), &messages.Ping{StoreReachable: true, WorkersReachable: false}, observer.loop.Now())
	if observer.members.IsFailed("n1") {
		t.Error("an owner without workers is lost to one that hears no worker either")
	}
	observer.Step(observer.loop.Now(), 0, messages.Heartbeat{Request: 1, Status: cluster.HeartbeatStatus{Machine: "m-1", Incarnation: 1, SequenceNumber: 1}})
	if !observer.members.IsFailed("n1") {
		t.Error("an owner without workers is kept though its workers send heartbeats here")
	}
}
