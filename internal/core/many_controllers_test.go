package core

import (
	"testing"

	"stairrelay/internal/grouprecord"
)

// TestCloudRateByNeed: where one of seven controllers has all the work it gets
// most of the cloud's rate, the idle ones keep enough to begin with, and
// together they stay within the limit.
func TestCloudRateByNeed(t *testing.T) {
	view := func(self NodeID, demand map[NodeID]float64) float64 {
		cfg := sevenCores().cfg
		cfg.Self = self
		c := New(cfg)
		c.Step(0, 0, Tick{})
		for id, p := range c.peers {
			p.heard, p.pingAt, p.ping = true, c.now, Ping{Cloud: demand[id]}
		}
		c.cloud.demand = demand[self]
		c.divideCloud()
		return c.cloud.bucket.Rate()
	}
	demand := map[NodeID]float64{"n0": 4}
	busy := view("n0", demand)
	if busy < 0.75*3.6 {
		t.Errorf("the one with work may call the cloud %.2f times a second of 3.6", busy)
	}
	sum := 0.0
	for _, n := range sevenCores().cfg.Nodes {
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
	c := sevenCores()
	c.cloud.bucket.Lower(0)
	if c.mayCallCloud() || !c.cloud.denied {
		t.Error("a call without a share was let through, or not noted")
	}
	before := c.cloud.bucket.Rate()
	if c.measureCloud(); c.cloud.bucket.Rate() <= before {
		t.Errorf("rate %.2f before and %.2f after calls had to wait", before, c.cloud.bucket.Rate())
	}
}

// sevenCores is a cluster's first controller whose one team has no limit.
func sevenCores() *Core {
	return New(Config{Self: "n0", Nodes: []NodeID{"n0", "n1", "n2", "n3", "n4", "n5", "n6"}, Teams: []Team{{Name: "red", Limit: Res{CPU: NoLimit, GPU: NoLimit}}},
		CloudRPS: 4, StoreRPS: 100, WriteRPS: 25, TxnOps: 20, ValueBytes: 16384, Lease: 14 * second, ReportEvery: 5 * second / 2, Tuning: DefaultTuning()})
}

// TestNoDebtAfterCut: what is sent again and again while the store is out of
// reach does not keep the controller from writing when it is back.
func TestNoDebtAfterCut(t *testing.T) {
	c := sevenCores()
	x := &txn{then: make([]TxnOp, 20), part: NoPart}
	before := c.writer.puts.Level()
	c.writer.send(x)
	for i, out := range []Outcome{Unknown, NotDone, Unknown, Throttled, Unknown} {
		c.writer.answered(x, TxnReply{Out: out})
		c.writer.inflight--
		c.writer.send(x)
		if c.writer.puts.Level() < before-21 {
			t.Fatalf("after %d tries %.0f puts in debt", i+2, -c.writer.puts.Level())
		}
	}
}

// TestHandBackRelieves: a part goes back to its home only where that takes work
// off a controller that has other work too; with all the work in one part it
// would only change hands.
func TestHandBackRelieves(t *testing.T) {
	c := sevenCores()
	c.Step(20*second, 0, Tick{})
	mine, theirs, home := c.parts[0], c.parts[1], c.peers["n1"]
	for _, p := range []*part{mine, theirs} {
		p.held, p.ready, p.holder = true, true, "n0"
	}
	home.heard, home.pingAt, home.goodFrom = true, c.now, second
	if len(c.makePing(home).Offer) != 1 {
		t.Error("a part without work is not offered to its home")
	}
	c.addJob(newJob(JobSpec{ID: "j-1", Team: "red", Tasks: 1}, theirs.id, 0, 0))
	if len(c.makePing(home).Offer) != 0 {
		t.Error("the only part with work is offered to its home")
	}
	c.addJob(newJob(JobSpec{ID: "j-2", Team: "red", Tasks: 1}, mine.id, 0, 0))
	if len(c.makePing(home).Offer) != 1 {
		t.Error("one of two parts with work is not offered to its home")
	}
}

// TestReturnedIsNoStray: a machine that was another part's until it was
// returned is listed for a while longer; it is not taken in as nobody's because
// it was first seen long ago.
func TestReturnedIsNoStray(t *testing.T) {
	c := sevenCores()
	c.cfg.ListLag = 8 * second
	c.Step(0, 0, Tick{})
	p := c.partFor("m-000007")
	p.held, p.ready = true, true
	owned, enlisted, reads := true, false, 0
	for c.now < 300*second {
		if c.now > 70*second {
			owned = false // returned; the list shows it for 16 s more
		}
		if c.now < 86*second && c.now%(8*second) == 0 {
			c.seenInList(Listed{ID: "m-000007", Type: "small", Zone: "a", AgeS: 500})
		}
		queue := c.Step(c.now+second/2, 0, Tick{})
		for len(queue) > 0 {
			f := queue[0]
			queue = queue[1:]
			switch f := f.(type) {
			case StoreList:
				reads++
				r := ListReply{Out: OK}
				if f.Prefix == "groups/" && owned {
					r.Items = []KV{{Key: "groups/x", Value: grouprecord.Encode(grouprecord.Record{Part: 3, Machines: []grouprecord.Machine{{ID: "m-000007", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}}}, Nonce: "n"})}}
				}
				queue = append(queue, c.Step(c.now, 0, Reply{Call: f.Call, Body: r})...)
			case Log:
				enlisted = enlisted || f.Text == "adopted stray machine"
			}
		}
	}
	if reads < 2 {
		t.Error("nobody looked whose the machine is")
	}
	if enlisted || len(p.toEnlist) > 0 {
		t.Error("a returned machine was taken in as a stray")
	}
}

// TestWorkersLostToOwner: the controller with all machines loses its workers.
// It says so when a few seconds have passed without any report, and another,
// which has no machines but hears the workers look for their owner, takes over.
func TestWorkersLostToOwner(t *testing.T) {
	c := sevenCores()
	c.Step(30*second, 0, Tick{})
	p := c.parts[0]
	p.held, p.ready = true, true
	g := c.newGroup(p, "g", 1)
	for i := range manyMachines {
		m := c.addMachine(g, grouprecord.Machine{ID: MachineID(rune('a' + i)), Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}}, 5)
		m.since = 0
	}
	c.process.resumedAt = 0 // the step to 30 s was no standstill
	c.workerContact.lastReport = c.now - 3*second
	if !c.workersOK() {
		t.Error("workers count as lost while reports may still be on their way")
	}
	c.workerContact.lastReport = c.now - 4*second
	if c.workersOK() {
		t.Error("20 machines silent for 4 s, reports each 2.5 s: the workers count as in reach")
	}

	o := sevenCores()
	o.Step(30*second, 0, Tick{})
	owner := o.peers["n1"]
	owner.heard, owner.pingAt, owner.ping = true, o.now, Ping{StoreOK: true, WorkersOK: false}
	if o.lost("n1") {
		t.Error("an owner without workers is lost to one that hears no worker either")
	}
	o.Step(o.now, 0, Checkin{Req: 1, Report: Report{Machine: "m-1", Session: 1, Stamp: 1}})
	if !o.lost("n1") {
		t.Error("an owner without workers is kept though its workers report here")
	}
}
