package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
)

// TestUnlistedSilentMachineReleased checks that a machine is released before its lease
// expires only if it sends no heartbeats and the cloud doesn't list it.
func TestUnlistedSilentMachineReleased(t *testing.T) {
	for _, test := range []struct {
		listed, silent, released bool
	}{{false, true, true}, {true, true, false}, {false, false, false}} {
		c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, HeartbeatInterval: 2 * second, WorkerLease: 14 * second, StoreRPS: 100, WriteRPS: 100, MaxValueBytes: 4096, MaxTxnOps: 12,
			CloudRPS: 4, CloudListLag: 8 * second, Teams: []cluster.Team{{Name: "red", QuotaLimit: cluster.Resources{CPU: cluster.NoLimit}}}, Tuning: DefaultTuning()})
		c.Step(0, 0, messages.Tick{})
		shard := c.state.Shards[0]
		shard.Owned, shard.Ready = true, true
		group := c.state.AddGroup(shard, "g", 1)
		machine := c.inventory.AddMachine(group, grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}}, 5)
		for c.loop.Now() < 8*second {
			c.workerReachability.RecordOwnedHeartbeat()
			if !test.silent {
				machine.LastHeartbeat = c.loop.Now()
			}
			for _, effect := range c.Step(c.loop.Now()+second/4, 0, messages.Tick{}) {
				if request, ok := effect.(messages.CloudListMachines); ok {
					reply := messages.ListMachinesReply{Outcome: messages.OK}
					if test.listed {
						reply.Items = []cluster.ListedMachine{{ID: "m-1", Status: "running", AgeSeconds: 100}}
					}
					c.loop.Deliver(messages.Reply{Call: request.Call, Body: reply})
				}
			}
		}
		if machine.Releasing != test.released {
			t.Errorf("listed %v, silent %v: released %v, want the opposite", test.listed, test.silent, machine.Releasing)
		}
	}
}
