package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestProcessPauseReleasesNoMachines checks that a controller releases no machine for
// heartbeats missed while it was paused, but does release one that stays silent.
func TestProcessPauseReleasesNoMachines(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, HeartbeatInterval: 5 * second, WorkerLease: 26 * second, CancelDeadline: 60 * second,
		StoreRPS: 100, WriteRPS: 100, MaxValueBytes: 4096, MaxTxnOps: 12, CloudRPS: 5, Tuning: DefaultTuning()})
	c.Step(0, 0, messages.Tick{})
	shard := c.state.Shards[0]
	shard.Owned, shard.Ready = true, true
	group := c.state.AddGroup(shard, "g", 1)
	var machines []*state.Machine
	for _, id := range []cluster.MachineID{"m-1", "m-2", "m-3"} {
		machine := c.inventory.AddMachine(group, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "x"}, 5)
		machine.IdleSince = 1000 * second // so that none is released as idle
		machines = append(machines, machine)
	}
	released := func() (count int) {
		for _, machine := range machines {
			if machine.Releasing {
				count++
			}
		}
		return count
	}
	sendHeartbeat := func(at cluster.Time, sequence cluster.SequenceNumber) {
		c.Step(at, 0, messages.Heartbeat{Request: 1, Status: cluster.HeartbeatStatus{Machine: "m-1", Addr: "x", Incarnation: 1, SequenceNumber: sequence, FencingToken: 5, PreemptionNotice: -1}})
	}
	sendHeartbeat(second, 1)
	at := 41 * second
	sendHeartbeat(at, 2)
	for i := range cluster.SequenceNumber(4) {
		at += second
		sendHeartbeat(at, 3+i)
	}
	if count := released(); count > 0 {
		t.Errorf("%d machines released after a pause, want none", count)
	}
	for i := range cluster.SequenceNumber(60) {
		at += second
		sendHeartbeat(at, 10+i)
	}
	if count := released(); count != 2 {
		t.Errorf("%d machines released, want the two silent ones", count)
	}
}
