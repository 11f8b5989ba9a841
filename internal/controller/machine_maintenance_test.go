package controller

import (
	"testing"

	"stairrelay/internal/state"

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

// TestHungMachineReleasedAfterFailover: after a take-over an old copy of a report arrives from
// a machine with cancelled tasks. It proves no life: unless the machine
// acknowledges its token soon, it is returned; one without such tasks is not.
func TestHungMachineReleasedAfterFailover(t *testing.T) {
	for _, x := range []struct{ cancelled, acks, returned bool }{{true, false, true}, {true, true, false}, {false, false, false}} {
		b := newControllerHarness()
		j := b.addTestJob("j-1", 1)
		m, a := b.addRunningMachine(j)
		m.Incarnation, m.SequenceNumber, m.TokenAcknowledged, m.AwaitingFirstAcknowledgement, a.Phase = 0, 0, false, true, state.PhaseUnverified
		if j.Cancelling = x.cancelled; x.cancelled {
			a.StopRequested = true
		}
		setTime(b.Controller, b.loop.Now()+second)
		r := cluster.HeartbeatStatus{Machine: "m-1", Addr: "m-1", Incarnation: 1, SequenceNumber: 5, FencingToken: 12, PreemptionNotice: -1, Tasks: []cluster.TaskStatus{{Task: cluster.TaskID{Job: "j-1", Index: 0}, Attempt: 7, State: cluster.Running}}}
		if x.acks {
			r.FencingToken = m.Token
		}
		b.reconciler.ApplyStatus(m, &r, false)
		setTime(b.Controller, b.loop.Now()+b.reconciler.Maintenance.FirstAcknowledgementTimeout()+second)
		b.reconciler.Maintenance.Run()
		if m.Releasing != x.returned {
			t.Errorf("cancelled %v, acknowledged %v: returned %v", x.cancelled, x.acks, m.Releasing)
		}
	}
}

// TestMachinesWithCancelledTasksCalledFirst: machines with cancelled tasks that are silent, or
// wait for a higher token that an outage keeps from being stored, are called
// with the stops, before all others.
func TestMachinesWithCancelledTasksCalledFirst(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "bumping": false} {
		b := newControllerHarness()
		m, a := b.addRunningMachine(b.addTestJob("j-1", 1))
		a.StopRequested = true
		a.Job.Cancelling = true
		if m.LastHeartbeat = b.loop.Now(); silent {
			m.LastHeartbeat -= 2*b.config.HeartbeatInterval + second
		} else {
			m.RaisingToken, m.TokenAcknowledged = true, false
		}
		b.reconciler.Maintenance.PushCommands(b.state.Shards[0].Machines)
		var got []cluster.Command
		for _, f := range b.loop.Effects() {
			if o, ok := f.(messages.PushCommands); ok && o.Addr == m.Address {
				got = append(got, o.Commands...)
			}
		}
		if len(got) != 1 || got[0].Kind != cluster.Stop {
			t.Errorf("%s: called with %+v", name, got)
		}
	}
}
