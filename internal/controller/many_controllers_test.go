package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestCloudRateSharedByDemand checks that the only busy one of seven controllers gets most
// of the cloud's rate limit and that each idle one keeps enough for its first calls.
func TestCloudRateSharedByDemand(t *testing.T) {
	rateShare := func(self cluster.NodeID, demand map[cluster.NodeID]float64) float64 {
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
	busy := rateShare("n0", demand)
	if busy < 0.75*3.6 {
		t.Errorf("the controller with work gets %.2f of 3.6 cloud calls per second, want at least three quarters", busy)
	}
	sum := 0.0
	for _, node := range newSevenNodeController().config.Nodes {
		rate := rateShare(node, demand)
		if rate < 0.05 {
			t.Errorf("%s gets only %.3f cloud calls per second", node, rate)
		}
		sum += rate
	}
	if sum > 3.601 {
		t.Errorf("all controllers together get %.2f cloud calls per second, more than 3.6", sum)
	}
}

// newSevenNodeController returns the first of seven controllers in a cluster whose only
// team has no quota limit.
func newSevenNodeController() *Controller {
	return New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0", "n1", "n2", "n3", "n4", "n5", "n6"}, Teams: []cluster.Team{{Name: "red", QuotaLimit: cluster.Resources{CPU: cluster.NoLimit, GPU: cluster.NoLimit}}},
		CloudRPS: 4, StoreRPS: 100, WriteRPS: 25, MaxTxnOps: 20, MaxValueBytes: 16384, WorkerLease: 14 * second, HeartbeatInterval: 5 * second / 2, Tuning: DefaultTuning()})
}

// TestFailbackOnlyToSpreadLoad checks that the owner's only shard with work is not
// offered to its preferred owner, but an idle shard or one of several with work is.
func TestFailbackOnlyToSpreadLoad(t *testing.T) {
	c := newSevenNodeController()
	c.Step(second, 0, messages.Tick{})
	shard0, shard1, preferredOwner := c.state.Shards[0], c.state.Shards[1], c.members.Peer("n1")
	reportHealthy := func() {
		c.members.HandlePingReply(preferredOwner, &messages.Ping{StoreReachable: true, WorkersReachable: true}, c.loop.Now())
	}
	reportHealthy()
	c.Step(20*second, 0, messages.Tick{})
	reportHealthy()
	for _, shard := range []*state.Shard{shard0, shard1} {
		shard.Owned, shard.Ready, shard.Owner = true, true, "n0"
	}
	if len(c.members.MakePing(preferredOwner).FailbackOffers) != 1 {
		t.Error("a shard without work is not offered to its preferred owner")
	}
	c.state.AddOwnedJob(state.NewJob(cluster.JobSpec{ID: "j-1", Team: "red", Tasks: 1}, shard1.ID, 0, 0))
	if len(c.members.MakePing(preferredOwner).FailbackOffers) != 0 {
		t.Error("the only shard with work is offered to its preferred owner")
	}
	c.state.AddOwnedJob(state.NewJob(cluster.JobSpec{ID: "j-2", Team: "red", Tasks: 1}, shard0.ID, 0, 0))
	if len(c.members.MakePing(preferredOwner).FailbackOffers) != 1 {
		t.Error("one of two shards with work is not offered to its preferred owner")
	}
}

// TestReleasedMachineNotAdopted checks that a machine that another shard has released is
// not adopted as an orphan while the cloud still lists it.
func TestReleasedMachineNotAdopted(t *testing.T) {
	c := newSevenNodeController()
	c.config.CloudListLag = 8 * second
	c.reconciler.Configure(c.reconcileConfig())
	c.Step(0, 0, messages.Tick{})
	shard := c.reconciler.Orphans.ShardFor("m-000007")
	shard.Owned, shard.Ready = true, true
	recorded, adopted, reads := true, false, 0
	for c.loop.Now() < 300*second {
		if c.loop.Now() > 70*second {
			recorded = false // released; the cloud lists it for 16 s more
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
				if effect.Prefix == "groups/" && recorded {
					reply.Items = []messages.KV{{Key: "groups/x", Value: grouprecord.Encode(grouprecord.Record{ShardID: 3, Machines: []grouprecord.Machine{{ID: "m-000007", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}}}, WriteID: "n"})}}
				}
				queue = append(queue, c.Step(c.loop.Now(), 0, messages.Reply{Call: effect.Call, Body: reply})...)
			case messages.Log:
				adopted = adopted || effect.Message == "machine in the cloud's list is in no record; registering it"
			}
		}
	}
	if reads < 2 {
		t.Error("the group records were not read to find the owner of the machine")
	}
	if adopted || len(shard.PendingRegistrations) > 0 {
		t.Error("a released machine was adopted as an orphan")
	}
}

// TestOwnerWithoutHeartbeatsFailsOver checks that an owner without heartbeats reports its
// workers as unreachable, and that a controller with heartbeats considers it failed.
func TestOwnerWithoutHeartbeatsFailsOver(t *testing.T) {
	const machines = 20 // a large fleet, which has a shorter heartbeat timeout
	c := newSevenNodeController()
	for now := cluster.Time(0); now <= 30*second; now += second { // a single step would count as a process pause
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
		t.Error("workers count as unreachable while their heartbeats may still arrive")
	}
	setTime(c, c.loop.Now()+second)
	if c.workerReachability.CanReachWorkers() {
		t.Error("workers count as reachable after 4 s without heartbeats from 20 machines, which send one every 2.5 s")
	}

	observer := newSevenNodeController()
	observer.Step(30*second, 0, messages.Tick{})
	observer.members.HandlePingReply(observer.members.Peer("n1"), &messages.Ping{StoreReachable: true, WorkersReachable: false}, observer.loop.Now())
	if observer.members.IsFailed("n1") {
		t.Error("an owner that reaches no workers counts as failed at a controller without heartbeats")
	}
	observer.Step(observer.loop.Now(), 0, messages.Heartbeat{Request: 1, Status: cluster.HeartbeatStatus{Machine: "m-1", Incarnation: 1, SequenceNumber: 1}})
	if !observer.members.IsFailed("n1") {
		t.Error("an owner that reaches no workers does not count as failed although its workers send heartbeats here")
	}
}
