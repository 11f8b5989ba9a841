package core

import (
	"slices"
	"testing"
	"time"

	"stairrelay/internal/grouprecord"
)

// TestPauses: however often a part has changed hands or its records made no
// sense, the pauses before somebody claims it stay, all together, below the
// 75 s after which a job without an answer counts as forgotten.
func TestPauses(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []NodeID{"n0", "n1", "n2"}, Lease: 22 * second, ValueBytes: 4096, TxnOps: 12, Tuning: DefaultTuning()})
	p, tune := c.parts[0], c.cfg.Tuning
	detect := tune.PingEvery + tune.ProbeEvery*Time(tune.Probes)
	for i := range tune.Retries {
		detect += tune.RetryFirst << i
	}
	c.now = 100 * second
	for range 50 {
		p.changed(c.now)
	}
	damped := Time(0)
	for !p.settled(c.now + damped) {
		damped += second
	}
	var rest Time
	for range 20 {
		p.held = true
		c.broken(p, "k", "test")
		rest = max(rest, p.restUntil-c.now)
	}
	const alone = 8 * second // lost: a node that hears nobody waits this long after its own cut
	if sum := detect + damped + rest + alone; damped == 0 || rest == 0 || sum >= 75*second {
		t.Errorf("detection %v, damping %v, rest %v, alone %v: %v in all", time.Duration(detect), time.Duration(damped), time.Duration(rest), time.Duration(alone), time.Duration(sum))
	}
}

// TestWriteQueuedInBuild: what a write's building queues at its own priority is
// not lost. A group whose write was lost so stood still for good.
func TestWriteQueuedInBuild(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, StoreRPS: 100, WriteRPS: 100, ValueBytes: 4096, TxnOps: 12, Tuning: DefaultTuning()})
	built := 0
	second := &write{part: NoPart, keys: []string{"b"}, build: func(string) ([]TxnOp, []Mark) {
		built++
		return []TxnOp{{"b", []byte(`{}`)}}, []Mark{0}
	}}
	c.writer.add(prioStart, &write{part: NoPart, keys: []string{"a"}, build: func(string) ([]TxnOp, []Mark) {
		c.writer.add(prioStart, second)
		return nil, nil // no longer wanted
	}})
	c.writer.pump()
	c.writer.pump()
	if built != 1 {
		t.Errorf("the write queued meanwhile was built %d times", built)
	}
}

// TestStaleGroupRead: a part's reading may be older than another's, held here
// too, taking a machine and joining its group with others. The later write
// counts; there are never two pictures of one machine.
func TestStaleGroupRead(t *testing.T) {
	for mark, want := range map[Mark]Part{40: 0, 60: 1} {
		c := New(Config{Self: "n0", Nodes: []NodeID{"n0", "n1"}, ValueBytes: 4096, TxnOps: 12, Tuning: DefaultTuning()})
		for _, p := range c.parts {
			p.held, p.claim = true, 30
		}
		l := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "s", Zone: "a"}}
		c.addMachine(c.newGroup(c.parts[0], "joined", 50), l, 50) // taken at revision 50
		c.learnGroup(KV{Key: "groups/old", Value: grouprecord.Encode(grouprecord.Record{Part: 1, Machines: []grouprecord.Machine{l}, Nonce: "n"}), Mark: mark}, c.parts[1])
		m := c.machines["m-1"]
		if m == nil || m.part != want || len(c.parts[0].machines)+len(c.parts[1].machines) != 1 {
			t.Errorf("read at %d: the parts hold %d and %d machines, want one in part %d", mark, len(c.parts[0].machines), len(c.parts[1].machines), want)
		}
	}
}

// TestEmptiedGroupStays: the record of an emptied group is written, not
// dropped. Were its key absent, a late copy of the transaction that created it
// would be carried out again and list its machines a second time (random seed
// 1083: a task ran twice). The next claim, which fences such copies, drops it.
func TestEmptiedGroupStays(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, ValueBytes: 4096, TxnOps: 12, Tuning: DefaultTuning()})
	p := c.parts[0]
	v, s := c.snap(0, nil, "n-1")
	rec, err := grouprecord.Decode(v)
	part, ms := rec.Part, rec.Machines
	if v == nil || err != nil || part != 0 || len(ms) != 0 || nonceOf(v) != "n-1" || len(s.machines) != 0 {
		t.Fatalf("an emptied group is written as %q: %v", v, err)
	}
	p.held, p.claim, p.mark = true, 30, 30
	c.learnGroup(KV{Key: "groups/b1-12-1", Value: v, Mark: 20}, p)
	q := c.writer.queues[prioLazy]
	if len(q) != 1 || q[0].keys[0] != "groups/b1-12-1" || len(c.groups) != 0 {
		t.Fatalf("the next claim queues %d writes and knows %d groups", len(q), len(c.groups))
	}
	if ops, _ := q[0].build("n-2"); len(ops) != 1 || ops[0].Value != nil {
		t.Errorf("the next claim writes %v", ops)
	}
	// The claim that made it is in force, or the key doesn't say which that was.
	c.learnGroup(KV{Key: "groups/b1-30-1", Value: v, Mark: 20}, p)
	c.learnGroup(KV{Key: "groups/g", Value: v, Mark: 20}, p)
	for _, x := range c.writer.queues[prioLazy][1:] {
		if ops, _ := x.build("n-3"); ops != nil {
			t.Errorf("%v is dropped though a copy of its creation may come", ops)
		}
	}
}

// TestOwnersInPages: groups read in several pages may miss a machine that
// changed groups meanwhile; taken for nobody's, it would be listed twice. The
// changes since the first page show it, and without them nothing is concluded.
func TestOwnersInPages(t *testing.T) {
	for _, watched := range []Outcome{OK, NotDone} {
		c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, StoreRPS: 100, WriteRPS: 100, ValueBytes: 4096, TxnOps: 12, Tuning: DefaultTuning()})
		record := func(key string, ids ...MachineID) KV {
			var ms []grouprecord.Machine
			for _, id := range ids {
				ms = append(ms, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}})
			}
			return KV{Key: "groups/" + key, Value: grouprecord.Encode(grouprecord.Record{Part: 0, Machines: ms, Nonce: "w"}), Mark: 7}
		}
		asked, ended := false, false
		var got map[MachineID]bool
		c.readRecorded(func(rec *recordedMachines) {
			ended = true
			if rec != nil {
				got = rec.listed
			}
		})
		for i := 0; i < len(c.out); i++ {
			switch f := c.out[i].(type) {
			case StoreList:
				r := ListReply{Out: OK, Epoch: 5}
				if f.Prefix == "groups/" {
					r.Items, r.Paged = []KV{record("b", "m-1")}, true
				}
				c.calls[f.Call](r)
			case StoreWatch:
				if asked = true; f.Since != 5 || f.Prefix != "groups/" {
					t.Errorf("asked for changes of %s since %d", f.Prefix, f.Since)
				}
				c.calls[f.Call](WatchReply{Out: watched, Items: []KV{record("a", "m-2"), {Key: "groups/x"}}, Epoch: 9})
			}
		}
		if !asked || !ended {
			t.Fatalf("asked %v, ended %v", asked, ended)
		}
		if watched == OK && !(got["m-1"] && got["m-2"]) {
			t.Errorf("listed: %v", got)
		}
		if watched != OK && got != nil {
			t.Errorf("concluded %v without the changes", got)
		}
	}
}

// TestStoodStill: a controller that stood still for longer than a lease has
// heard no machine meanwhile. The first report after that must not make it
// return all the others as silent; that they stay silent from then on does.
func TestStoodStill(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, ReportEvery: 5 * second, Lease: 26 * second, CancelWithin: 60 * second,
		StoreRPS: 100, WriteRPS: 100, ValueBytes: 4096, TxnOps: 12, CloudRPS: 5, Tuning: DefaultTuning()})
	c.Step(0, 0, Tick{})
	p := c.parts[0]
	p.held, p.ready = true, true
	g := c.newGroup(p, "g", 1)
	var ms []*machine
	for _, id := range []MachineID{"m-1", "m-2", "m-3"} {
		m := c.addMachine(g, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "x"}, 5)
		m.idleSince = 1000 * second // not what this is about
		ms = append(ms, m)
	}
	returned := func() (n int) {
		for _, m := range ms {
			if m.returning {
				n++
			}
		}
		return n
	}
	report := func(at Time, stamp Stamp) {
		c.Step(at, 0, Checkin{Req: 1, Report: Report{Machine: "m-1", Addr: "x", Session: 1, Stamp: stamp, Token: 5, Notice: -1}})
	}
	report(second, 1)
	at := 41 * second
	report(at, 2)
	for i := range Stamp(4) {
		at += second
		report(at, 3+i)
	}
	if n := returned(); n > 0 {
		t.Errorf("%d machines returned after a standstill", n)
	}
	for i := range Stamp(60) {
		at += second
		report(at, 10+i)
	}
	if n := returned(); n != 2 {
		t.Errorf("%d of the two silent machines returned", n)
	}
}

// TestLateCopyOfRental: a late copy of the transaction that recorded a rental
// must not bring the record back after its machines are in a group: the next
// holder would repeat it and list them twice (seed 175, a task ran twice).
func TestLateCopyOfRental(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, StoreRPS: 100, WriteRPS: 100, ValueBytes: 4096, TxnOps: 12, CloudRPS: 5, Tuning: DefaultTuning()})
	p := c.parts[0]
	p.held, p.ready, p.mark = true, true, 3
	p.rentals, p.refused = map[string]*rental{}, map[rentOption]Time{}
	keys := map[string]Mark{p.key(): 3}
	carryOut := func(f StoreTxn) TxnReply {
		for _, w := range f.When {
			if keys[w.Key] != w.Mark {
				return TxnReply{Out: Conflict, Failed: []string{w.Key}}
			}
		}
		for _, o := range f.Then {
			keys[o.Key] = 7
			if o.Value == nil {
				delete(keys, o.Key)
			}
		}
		return TxnReply{Out: OK, Epoch: 7}
	}
	var first *StoreTxn
	rented := false
	c.startRental(p, rentOption{"small", "a", true}, 2)
	for range 3 {
		c.writer.pump()
		out := c.out
		c.out = nil
		for _, f := range out {
			switch f := f.(type) {
			case StoreTxn:
				if first == nil {
					first = &f
				}
				c.calls[f.Call](carryOut(f))
			case CloudRent:
				rented = true
				c.calls[f.Call](RentReply{Out: OK, IDs: []MachineID{"m-1", "m-2"}})
			}
		}
	}
	if !rented || len(c.groups) != 1 || len(p.rentals) != 0 {
		t.Fatalf("rented %v, %d groups, %d open rentals", rented, len(c.groups), len(p.rentals))
	}
	if r := carryOut(*first); r.Out != Conflict {
		t.Errorf("a late copy of the rental's record was carried out: %v", keys)
	}
}

// TestFirstTaskSpared: the first task of a job that had waited too long is not
// stopped for an urgent job; one of a job that has not waited is.
func TestFirstTaskSpared(t *testing.T) {
	for _, waited := range []bool{true, false} {
		c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, ReportEvery: 5 * second, StoreRPS: 100, WriteRPS: 100, ValueBytes: 4096, TxnOps: 12,
			Teams: []Team{{Name: "red", Limit: Res{CPU: 100_000_000}}}, Tuning: DefaultTuning()})
		c.types["small"] = MachineType{Name: "small", Cap: Res{CPU: 4_000_000, Mem: 16_000_000}, Zones: []string{"a"}}
		p := c.parts[0]
		m := c.addMachine(c.newGroup(p, "g", 1), grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}}, 5)
		m.acked = true
		c.wall = 1_000_000
		at := c.wall - 1000
		if waited {
			at = c.wall - Wall(c.cfg.Tuning.BeginWithin/milli)*3/4
		}
		old := newJob(JobSpec{ID: "j-1", Team: "red", Tasks: 9, Need: Res{CPU: 4_000_000}, CheckpntS: 10, Submitted: at}, 0, 0, 0)
		urgent := newJob(JobSpec{ID: "j-2", Team: "red", Tasks: 1, Need: Res{CPU: 4_000_000}, Priority: Urgent, Submitted: c.wall}, 0, 0, 0)
		c.addJob(old)
		c.addJob(urgent)
		a := &assign{task: TaskID{Job: "j-1", Index: 0}, job: old, need: old.spec.Need, mach: "m-1", phase: aSeen, state: Running}
		m.addAssign(a)
		old.setPlaced(0, a)
		c.preempt(p, []*job{urgent}, map[*job]bool{}, c.teamUse(p))
		if a.stop == waited {
			t.Errorf("waited %v: stopped %v", waited, a.stop)
		}
	}
}

// TestStrained: a process near its share of the processor decides less often,
// refuses what it can't take in time, and sends starts by calls only to
// machines that would else not report for a while.
func TestStrained(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, ReportEvery: 5 * second, StoreRPS: 100, WriteRPS: 100, ValueBytes: 4096, TxnOps: 12,
		Teams: []Team{{Name: "red", Limit: Res{CPU: 100_000_000}}}, Tuning: DefaultTuning()})
	p := c.parts[0]
	j := newJob(JobSpec{ID: "j-1", Team: "red", Tasks: 9, Need: Res{CPU: 1_000_000}}, 0, 0, 0)
	c.addJob(j)
	g := c.newGroup(p, "g", 1)
	put := func(m *machine, i int, ph phase) {
		a := &assign{task: TaskID{Job: "j-1", Index: i}, job: j, need: j.spec.Need, mach: m.id, phase: ph}
		m.addAssign(a)
		j.setPlaced(i, a)
	}
	var ms []*machine
	for i, id := range []MachineID{"busy", "idle"} {
		m := c.addMachine(g, grouprecord.Machine{ID: id, Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: string(id)}, 5)
		m.acked = true
		put(m, i, aReady)
		ms = append(ms, m)
	}
	put(ms[0], 2, aSeen)
	called := func(l Load) (to []string) {
		for _, m := range ms {
			m.ordersBusy = false
			m.assigns[TaskID{Job: "j-1", Index: slices.Index(ms, m)}].phase = aReady
			c.orderSoon(m)
		}
		c.out, c.process.load = nil, l
		c.pushOrders()
		for _, f := range c.out {
			to = append(to, f.(Orders).Addr)
		}
		return to
	}
	if to := called(Load{Busy: 0.4}); len(to) != 2 {
		t.Errorf("at ease, starts are called to %v", to)
	}
	if to := called(Load{Busy: 0.9}); len(to) != 1 || to[0] != "idle" {
		t.Errorf("strained, starts are called to %v", to)
	}
	if d := c.process.pause(placePause); d <= placePause || d > second {
		t.Errorf("strained, placements are %v apart", time.Duration(d))
	}
	c.process.load = Load{Lag: 2 * second}
	if c.overloaded(BestEffort) == 0 || c.overloaded(Normal) == 0 || c.overloaded(Production) != 0 {
		t.Errorf("2 s behind: refused for %d, %d, %d s", c.overloaded(BestEffort), c.overloaded(Normal), c.overloaded(Production))
	}
}

// TestSuits: of two machines that are equal otherwise, work that would lose much
// on a spot machine gets the ordinary one and work that saves leaves it that;
// where no great loss is to be expected the kind does not matter.
func TestSuits(t *testing.T) {
	c := sevenCores()
	c.spotLosses.lost, c.spotLosses.seconds = 10, 20_000 // two an hour
	c.types["small"] = MachineType{Name: "small", FetchGBs: 0.25}
	p, spot, own := c.parts[0], true, false
	like := func(run, checkpoint float64) *job {
		return &job{spec: JobSpec{Spot: true, RuntimeS: run, CheckpntS: checkpoint, ImageGB: 1.5, Class: "c"}}
	}
	short, long, saves := like(15, 0), like(60, 0), like(60, 30)
	if !c.suits(p, long, own) || c.suits(p, long, spot) {
		t.Error("60 s that can't be saved are sent to a spot machine")
	}
	if c.suits(p, short, own) != c.suits(p, short, spot) || c.suits(p, saves, own) != c.suits(p, saves, spot) {
		t.Error("the kind of machine matters where no loss is to be expected")
	}
	c.cfg.Objectives = []Objective{{Kind: "deadline", Class: "tight", Times: 1}, {Kind: "finished", Class: "c", WithinS: 80}}
	due := like(15, 0)
	due.spec.Tasks = 20
	few := like(15, 0)
	few.spec.Class, few.spec.DeadlineS, few.spec.Tasks = "tight", 40, 3
	if !c.suits(p, few, spot) {
		t.Error("three short tasks, of which hardly ever one is lost, are scattered over ordinary machines")
	}
	if due.spec.Class, due.spec.DeadlineS = "tight", 40; c.suits(p, due, spot) || !c.suits(p, short, spot) {
		t.Error("a job that could not make its deadline with a task begun anew goes to spot machines, or one with time to spare does not")
	}
	if p.avoidSpot = true; c.suits(p, saves, own) || !c.suits(p, saves, spot) {
		t.Error("work that saves does not leave the ordinary machine to others")
	}
	if c.ordinaryWorthFetch(long) || !c.ordinaryWorthFetch(like(150, 0)) {
		t.Error("a new fetch of 6 s is not weighed against the expected loss")
	}
}

// TestUnlistedAndSilent: a machine that is silent and gone from the cloud's
// list is returned without waiting for its lease; one that only is silent, or
// only is missing from a list that may be old, is not.
func TestUnlistedAndSilent(t *testing.T) {
	for _, x := range []struct {
		listed, silent, returned bool
	}{{false, true, true}, {true, true, false}, {false, false, false}} {
		c := New(Config{Self: "n0", Nodes: []NodeID{"n0"}, ReportEvery: 2 * second, Lease: 14 * second, StoreRPS: 100, WriteRPS: 100, ValueBytes: 4096, TxnOps: 12,
			CloudRPS: 4, ListLag: 8 * second, Teams: []Team{{Name: "red", Limit: Res{CPU: NoLimit}}}, Tuning: DefaultTuning()})
		c.Step(0, 0, Tick{})
		p := c.parts[0]
		p.held, p.ready = true, true
		g := c.newGroup(p, "g", 1)
		m := c.addMachine(g, grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}}, 5)
		for c.now < 8*second {
			c.workerContact.lastReport = c.now
			if !x.silent {
				m.heard = c.now
			}
			for _, f := range c.Step(c.now+second/4, 0, Tick{}) {
				if f, ok := f.(CloudList); ok {
					r := CloudListReply{Out: OK}
					if x.listed {
						r.Items = []Listed{{ID: "m-1", Status: "running", AgeS: 100}}
					}
					c.calls[f.Call](r)
				}
			}
		}
		if m.returning != x.returned {
			t.Errorf("listed %v, silent %v: returned %v", x.listed, x.silent, m.returning)
		}
	}
}
