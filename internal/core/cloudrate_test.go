package core

import "testing"

// TestCloudRateByNeed: where one of seven controllers has all the work it gets
// most of the cloud's rate, the idle ones keep enough to begin with, and
// together they stay within the limit.
func TestCloudRateByNeed(t *testing.T) {
	nodes := []NodeID{"n0", "n1", "n2", "n3", "n4", "n5", "n6"}
	view := func(self NodeID, demand map[NodeID]float64) float64 {
		c := New(Config{Self: self, Nodes: nodes, Teams: []Team{{Name: "red", Limit: Res{CPU: NoLimit, GPU: NoLimit}}},
			CloudRPS: 4, StoreRPS: 100, WriteRPS: 25, TxnOps: 20, ValueBytes: 16384, Lease: 14 * second, ReportEvery: 5 * second / 2, Tuning: DefaultTuning()})
		c.Step(0, 0, Tick{})
		for id, p := range c.peers {
			p.heard, p.pingAt, p.ping = true, c.now, Ping{Cloud: demand[id]}
		}
		c.cloud.demand = demand[self]
		c.divideCloud()
		return c.cloud.rate
	}
	demand := map[NodeID]float64{"n0": 4}
	busy := view("n0", demand)
	if busy < 0.75*3.6 {
		t.Errorf("the one with work may call the cloud %.2f times a second of 3.6", busy)
	}
	sum := 0.0
	for _, n := range nodes {
		r := view(n, demand)
		if r < 0.05 {
			t.Errorf("%s could not even begin: %.3f calls a second", n, r)
		}
		sum += r
	}
	if sum > 3.601 {
		t.Errorf("together %.2f calls a second, over 3.6", sum)
	}
	// A call that had to wait shows as demand at once.
	c := New(Config{Self: "n0", Nodes: nodes, CloudRPS: 4, StoreRPS: 100, WriteRPS: 25, TxnOps: 20, ValueBytes: 16384, Tuning: DefaultTuning()})
	c.cloud.have = 0
	if c.mayCallCloud() || !c.cloud.denied {
		t.Error("a call without a share was let through, or not noted")
	}
	before := c.cloud.rate
	if c.measureCloud(); c.cloud.rate <= before {
		t.Errorf("rate %.2f before and %.2f after calls had to wait", before, c.cloud.rate)
	}
}
