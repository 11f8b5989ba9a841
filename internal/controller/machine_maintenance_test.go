package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/grouprecord"
)

// TestUnlistedSilentMachineReleased: a machine that is silent and gone from the cloud's
// list is returned without waiting for its lease; one that only is silent, or
// only is missing from a list that may be old, is not.
func TestUnlistedSilentMachineReleased(t *testing.T) {
	for _, x := range []struct {
		listed, silent, returned bool
	}{{false, true, true}, {true, true, false}, {false, false, false}} {
		c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, HeartbeatInterval: 2 * second, WorkerLease: 14 * second, StoreRPS: 100, WriteRPS: 100, MaxValueBytes: 4096, MaxTxnOps: 12,
			CloudRPS: 4, CloudListLag: 8 * second, Teams: []cluster.Team{{Name: "red", QuotaLimit: cluster.Resources{CPU: cluster.NoLimit}}}, Tuning: DefaultTuning()})
		c.Step(0, 0, messages.Tick{})
		p := c.state.Shards[0]
		p.Owned, p.Ready = true, true
		g := c.state.AddGroup(p, "g", 1)
		m := c.inventory.AddMachine(g, grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}}, 5)
		for c.loop.Now() < 8*second {
			c.workerReachability.RecordOwnedHeartbeat()
			if !x.silent {
				m.LastHeartbeat = c.loop.Now()
			}
			for _, f := range c.Step(c.loop.Now()+second/4, 0, messages.Tick{}) {
				if f, ok := f.(messages.CloudList); ok {
					r := messages.CloudListReply{Outcome: messages.OK}
					if x.listed {
						r.Items = []cluster.ListedMachine{{ID: "m-1", Status: "running", AgeSeconds: 100}}
					}
					c.loop.Deliver(messages.Reply{Call: f.Call, Body: r})
				}
			}
		}
		if m.Releasing != x.returned {
			t.Errorf("listed %v, silent %v: returned %v", x.listed, x.silent, m.Releasing)
		}
	}
}
