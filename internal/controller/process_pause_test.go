package controller

import (
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/grouprecord"
)

// TestProcessPauseReleasesNoMachines: a controller that stood still for longer than a lease has
// heard no machine meanwhile. The first report after that must not make it
// return all the others as silent; that they stay silent from then on does.
func TestProcessPauseReleasesNoMachines(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, HeartbeatInterval: 5 * second, WorkerLease: 26 * second, CancelDeadline: 60 * second,
		StoreRPS: 100, WriteRPS: 100, MaxValueBytes: 4096, MaxTxnOps: 12, CloudRPS: 5, Tuning: DefaultTuning()})
	c.Step(0, 0, messages.Tick{})
	p := c.state.Shards[0]
	p.Owned, p.Ready = true, true
	g := c.state.AddGroup(p, "g", 1)
	var ms []*state.Machine
	for _, id := range []cluster.MachineID{"m-1", "m-2", "m-3"} {
		m := c.inventory.AddMachine(g, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "x"}, 5)
		m.IdleSince = 1000 * second // not what this is about
		ms = append(ms, m)
	}
	returned := func() (n int) {
		for _, m := range ms {
			if m.Releasing {
				n++
			}
		}
		return n
	}
	report := func(at cluster.Time, stamp cluster.SequenceNumber) {
		c.Step(at, 0, messages.Heartbeat{Request: 1, Status: cluster.HeartbeatStatus{Machine: "m-1", Addr: "x", Incarnation: 1, SequenceNumber: stamp, FencingToken: 5, PreemptionNotice: -1}})
	}
	report(second, 1)
	at := 41 * second
	report(at, 2)
	for i := range cluster.SequenceNumber(4) {
		at += second
		report(at, 3+i)
	}
	if n := returned(); n > 0 {
		t.Errorf("%d machines returned after a standstill", n)
	}
	for i := range cluster.SequenceNumber(60) {
		at += second
		report(at, 10+i)
	}
	if n := returned(); n != 2 {
		t.Errorf("%d of the two silent machines returned", n)
	}
}
