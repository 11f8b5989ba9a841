package core

import (
	"slices"
	"strings"
	"testing"

	"stairrelay/internal/entitlement"
	"stairrelay/internal/grouprecord"
)

// Guards of the meetings of docs/meetings.md, each by itself.

// testStore is a store that a test plays by hand; what it carries out is real.
type testStore struct {
	keys  map[string]KV
	epoch Epoch
}

func (s *testStore) txn(f StoreTxn) TxnReply {
	for _, w := range f.When {
		if s.keys[w.Key].Mark != w.Mark {
			return TxnReply{Out: Conflict, Failed: []string{w.Key}}
		}
	}
	s.epoch++
	for _, o := range f.Then {
		if s.keys[o.Key] = (KV{o.Key, o.Value, Mark(s.epoch)}); o.Value == nil {
			delete(s.keys, o.Key)
		}
	}
	return TxnReply{Out: OK, Epoch: s.epoch}
}

func (s *testStore) get(key string) GetReply {
	if kv, ok := s.keys[key]; ok {
		return GetReply{Out: OK, KV: kv}
	}
	return GetReply{Out: Missing}
}

func (s *testStore) list(prefix string, since Epoch) []KV {
	var l []KV
	for _, k := range sortedKeys(s.keys) {
		if kv := s.keys[k]; strings.HasPrefix(k, prefix) && kv.Mark > Mark(since) {
			l = append(l, kv)
		}
	}
	return l
}

// bench is one controller among three, which holds part 0, with its store.
type bench struct {
	*Core
	store *testStore
	told  []Respond
	txns  []StoreTxn
	// lose tells whether a transaction's answer is lost.
	lose      func(StoreTxn) bool
	refuse    func(StoreTxn) bool // as malformed; nil: none
	throttle  func(StoreTxn) bool // as beyond the rate; nil: none
	failWatch bool
}

func newBench() *bench {
	c := New(Config{Self: "n0", Nodes: []NodeID{"n0", "n1", "n2"}, Boot: "b0", ReportEvery: 5 * second, Lease: 26 * second, CancelWithin: 60 * second,
		StoreRPS: 1000, WriteRPS: 1000, ValueBytes: 4096, TxnOps: 12, CloudRPS: 5, Teams: []Team{{Name: "red", Limit: Res{CPU: 100_000_000}}}, Tuning: DefaultTuning()})
	c.types["small"] = MachineType{Name: "small", Cap: Res{CPU: 4_000_000, Mem: 16_000_000}, Zones: []string{"a"}}
	c.now, c.acceptances.loaded = 100*second, true
	b := &bench{Core: c, store: &testStore{keys: map[string]KV{}, epoch: 30}, lose: func(StoreTxn) bool { return false }}
	for _, p := range c.parts {
		p.held, p.ready, p.holder, p.claim, p.mark, p.term, p.provenAt = true, true, "n0", 30, 30, 1, c.now
		p.rentals, p.refused = map[string]*rental{}, map[rentOption]Time{}
		b.store.keys[p.key()] = KV{p.key(), []byte(`{"holder":"n0","term":1,"w":"b0-1"}`), 30}
	}
	return b
}

// play lets time pass and the store answer; what it was asked for is kept.
func (b *bench) play(d Time) {
	for end := b.now + d; b.now <= end; b.now += 20 * milli {
		b.runTimers()
		b.writer.pump()
		out := b.out
		b.out = nil
		for _, f := range out {
			switch f := f.(type) {
			case StoreTxn:
				b.txns = append(b.txns, f)
				if b.refuse != nil && b.refuse(f) {
					b.calls[f.Call](TxnReply{Out: Invalid})
				} else if b.throttle != nil && b.throttle(f) {
					b.calls[f.Call](TxnReply{Out: Throttled})
				} else if r := b.store.txn(f); b.lose(f) {
					b.calls[f.Call](TxnReply{Out: Unknown})
				} else {
					b.calls[f.Call](r)
				}
			case StoreGet:
				b.calls[f.Call](b.store.get(f.Key))
			case StoreList:
				if b.failWatch {
					b.calls[f.Call](ListReply{Out: Unknown})
					continue
				}
				b.calls[f.Call](ListReply{Out: OK, Items: b.store.list(f.Prefix, 0), Epoch: b.store.epoch})
			case StoreWatch:
				if f.Wait == 0 && b.failWatch {
					b.calls[f.Call](WatchReply{Out: Unknown})
				} else if f.Wait == 0 {
					b.calls[f.Call](WatchReply{Out: OK, Items: b.store.list(f.Prefix, f.Since), Epoch: b.store.epoch})
				}
			case Respond:
				b.told = append(b.told, f)
			}
		}
	}
}

func (b *bench) job(id JobID, tasks int) *job {
	spec := JobSpec{ID: id, Team: "red", Tasks: tasks, Need: Res{CPU: 1_000_000}}
	j := newJob(spec, 0, 0, b.now)
	b.addJob(j)
	b.jobs.known[id] = &knownJob{part: 0, tasks: tasks, team: "red"}
	return j
}

// running is a machine that runs the first task of a job.
func (b *bench) running(j *job) (*machine, *assign) {
	m := b.addMachine(b.newGroup(b.parts[0], "g", 31), grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1"}, 31)
	m.acked, m.session, m.stamp, m.heard = true, 1, 1, b.now
	a := &assign{task: TaskID{Job: j.spec.ID, Index: 0}, job: j, need: j.spec.Need, mach: m.id, attempt: 7, phase: aSeen, state: Running}
	m.addAssign(a)
	j.setPlaced(0, a)
	return m, a
}

// TestEndUnderWay: the write of a job's end is carried out and its answer is
// lost; others may have read and told it. Neither a question nor another
// controller's may then get the owner's older view.
func TestEndUnderWay(t *testing.T) {
	b := newBench()
	j := b.job("j-1", 1)
	j.setDone(0)
	b.lose = func(StoreTxn) bool { return true }
	b.writeJob(j, prioAccept)
	b.play(60 * milli)
	if b.store.get("jobs/j-1").Out != OK || j.final != "" {
		t.Fatal("the end is not stored, or its answer is not lost")
	}
	b.jobs.known["j-1"].final = "" // nothing has told this controller
	b.onQuery(Query{Req: 5, ID: "j-1"})
	var views []JobView
	b.answerAsk([]JobID{"j-1"}, func(v []JobView) { views = v })
	b.play(300 * milli)
	if len(b.told) != 1 || b.told[0].View == nil || b.told[0].View.Status != StDone {
		t.Errorf("a question gets %+v", b.told)
	}
	for _, v := range views {
		if v.Status != StDone {
			t.Errorf("another controller gets %+v", v)
		}
	}
}

// TestOnlyStops: what is sent to a machine that waits for a higher token, or
// has not acknowledged its own, holds the stops of cancelled tasks and no start.
func TestOnlyStops(t *testing.T) {
	for _, x := range []struct {
		name            string
		bumping, acked  bool
		answer, ordered []Verb
	}{
		{"in order", false, true, []Verb{Stop, Start}, []Verb{Stop, Start}},
		{"bumping", true, true, []Verb{Stop}, []Verb{Stop}},
		{"unacknowledged", false, false, []Verb{Stop, Start}, []Verb{Stop}},
	} {
		for _, byAnswer := range []bool{true, false} {
			b := newBench()
			m, a := b.running(b.job("j-1", 2))
			other := b.job("j-2", 1)
			ready := &assign{task: TaskID{Job: "j-2", Index: 0}, job: other, mach: m.id, attempt: 8, phase: aReady}
			m.addAssign(ready)
			other.setPlaced(0, ready)
			b.cancelHere("j-1", func(int, *JobView) {})
			m.bumping, m.acked = x.bumping, x.acked
			var cmds []Command
			want := x.ordered
			if byAnswer {
				want = x.answer
				m.pending = 9
				b.answerReport(m)
				cmds = b.out[len(b.out)-1].(Respond).Worker.Commands
			} else {
				b.pushOrders()
				for _, f := range b.out {
					if o, ok := f.(Orders); ok {
						cmds = o.Commands
					}
				}
			}
			var got []Verb
			for _, c := range cmds {
				got = append(got, c.Verb)
			}
			if !slices.Equal(got, want) || !a.stop {
				t.Errorf("%s, in an answer %v: sent %v, want %v", x.name, byAnswer, got, want)
			}
		}
	}
}

// TestUnsentStopAgain: a stop whose call was not carried out, or has no answer,
// is sent again by the next call; one that arrived is not.
func TestUnsentStopAgain(t *testing.T) {
	for out, again := range map[Outcome]bool{NotDone: true, Unknown: true, OK: false} {
		b := newBench()
		m, _ := b.running(b.job("j-1", 1))
		b.cancelHere("j-1", func(int, *JobView) {})
		b.pushOrders()
		o := b.out[len(b.out)-1].(Orders)
		b.out = nil
		r := Report{Machine: m.id, Addr: m.addr, Session: 1, Stamp: 2, Token: m.token, Notice: -1, Tasks: []TaskReport{{Task: TaskID{Job: "j-1", Index: 0}, Attempt: 7, State: Running}}}
		b.calls[o.Call](OrdersReply{Out: out, Report: r})
		b.orderSoon(m)
		b.out = nil
		b.pushOrders()
		if sent := len(b.out) > 0; sent != again {
			t.Errorf("after %v the stop is sent again: %v", out, sent)
		}
	}
}

// TestLateCopyOfRefusedRental: the creation of a rental was carried out twice,
// as far as its writer knows, and the cloud refused it. A late copy must not
// bring the request back (seven controllers, seed 1030).
func TestLateCopyOfRefusedRental(t *testing.T) {
	b := newBench()
	p := b.parts[0]
	n := 0
	b.lose = func(StoreTxn) bool { n++; return n == 1 }
	b.startRental(p, rentOption{"small", "a", true}, 2)
	var rent *CloudRent
	for range 100 {
		b.runTimers()
		b.writer.pump()
		if i := slices.IndexFunc(b.out, func(f Effect) bool { _, ok := f.(CloudRent); return ok }); i >= 0 {
			f := b.out[i].(CloudRent)
			rent = &f
			break
		}
		b.play(0)
	}
	if rent == nil {
		t.Fatal("nothing was asked of the cloud")
	}
	b.calls[rent.Call](RentReply{Out: Missing})
	b.play(second)
	if len(p.rentals) != 0 || b.store.get("rentals/"+rent.Name).Out != Missing {
		t.Fatalf("the refused request is still there: %v", p.rentals)
	}
	if r := b.store.txn(b.txns[0]); r.Out != Conflict {
		t.Error("a late copy of the refused request was carried out")
	}
}

// TestRepeatedAcceptance: an acceptance whose answer was lost, or that another
// controller stored a moment ago in a record of several, is answered as a
// repeat: others may have told more of the job since.
func TestRepeatedAcceptance(t *testing.T) {
	for name, want := range map[string]int{"new": 201, "answer lost": 200, "stored by another": 200} {
		b := newBench()
		n := 0
		b.lose = func(StoreTxn) bool { n++; return n == 1 && name == "answer lost" }
		if name == "stored by another" {
			b.store.epoch = 40
			b.store.keys["accepts/b1-1"] = KV{"accepts/b1-1", []byte(`{"j":[{"id":"j-1","s":{"team":"red","tasks":1,"Team":"red","Tasks":1}}],"w":"b1-1"}`), 40}
		}
		b.onSubmit(Submit{Req: 1, Job: JobSpec{ID: "j-1", Team: "red", Tasks: 1, Need: Res{CPU: 1_000_000, Mem: 1_000_000}}})
		b.play(second)
		if len(b.told) != 1 || b.told[0].Status != want || b.told[0].View == nil {
			t.Errorf("%s: answered %+v, want %d", name, b.told, want)
		}
	}
}

// TestTakenMachineHangs: after a take-over an old copy of a report arrives from
// a machine with cancelled tasks. It proves no life: unless the machine
// acknowledges its token soon, it is returned; one without such tasks is not.
func TestTakenMachineHangs(t *testing.T) {
	for _, x := range []struct{ cancelled, acks, returned bool }{{true, false, true}, {true, true, false}, {false, false, false}} {
		b := newBench()
		j := b.job("j-1", 1)
		m, a := b.running(j)
		m.session, m.stamp, m.acked, m.taken, a.phase = 0, 0, false, true, aDoubt
		if j.cancelling = x.cancelled; x.cancelled {
			a.stop = true
		}
		b.now += second
		r := Report{Machine: "m-1", Addr: "m-1", Session: 1, Stamp: 5, Token: 12, Notice: -1, Tasks: []TaskReport{{Task: TaskID{Job: "j-1", Index: 0}, Attempt: 7, State: Running}}}
		if x.acks {
			r.Token = m.token
		}
		b.reconcile(m, &r, false)
		b.now += b.takenPatience() + second
		b.machineSweep()
		if m.returning != x.returned {
			t.Errorf("cancelled %v, acknowledged %v: returned %v", x.cancelled, x.acks, m.returning)
		}
	}
}

// TestWord: what another controller's word that it knows of no later claim of a
// part is worth, and how long a holder may answer and start by it.
func TestWord(t *testing.T) {
	const heard = 130 * second // the part was proven at 100 s
	for _, x := range []struct {
		name          string
		play          func(b *bench, q *peer)
		certain       Time
		held          bool
		entitled, may bool // 8 s later
	}{
		{"every word", func(*bench, *peer) {}, heard, true, true, false},
		{"none of one", func(_ *bench, q *peer) { q.wordAt, q.terms = 0, nil }, 100 * second, true, false, false},
		{"a new run", func(b *bench, q *peer) { b.heardPing(q, Ping{Boot: "other", Terms: []Term{1, 1, 1}}, heard) }, 100 * second, true, false, false},
		{"a new run, the store read since", func(b *bench, q *peer) {
			b.heardPing(q, Ping{Boot: "other", Terms: []Term{1, 1, 1}}, heard)
			b.proven(b.parts[0], 30, heard)
		}, heard, true, true, false},
		{"a new run, another's mark read", func(b *bench, q *peer) {
			b.heardPing(q, Ping{Boot: "other", Terms: []Term{1, 1, 1}}, heard)
			b.proven(b.parts[0], 31, heard)
		}, 100 * second, true, false, false},
		{"an older release", func(b *bench, q *peer) { b.heardPing(q, Ping{Boot: "b-" + string(q.id)}, heard) }, 100 * second, true, false, false},
		{"a later term", func(b *bench, q *peer) {
			b.heardPing(q, Ping{Boot: "b-" + string(q.id), Terms: []Term{2, 1, 1}}, heard)
		}, 0, false, false, false},
		{"its own call only", func(b *bench, q *peer) {
			q.wordAt = 100 * second
			b.takePing(q, Ping{Boot: "b-" + string(q.id), Terms: []Term{1, 1, 1}})
		}, 100 * second, true, false, false},
	} {
		b := newBench()
		p := b.parts[0]
		p.provenAt = 100 * second
		b.now = heard
		for _, id := range []NodeID{"n1", "n2"} {
			q := b.peers[id]
			q.boot, q.bootAt = "b-"+string(id), 50*second
			b.heardPing(q, Ping{Boot: q.boot, Terms: []Term{1, 1, 1}}, heard)
		}
		x.play(b, b.peers["n2"])
		if p.held != x.held {
			t.Errorf("%s: held %v", x.name, p.held)
			continue
		}
		if !x.held {
			continue
		}
		if at := b.certainAt(p); at != x.certain {
			t.Errorf("%s: certain as of %d s, want %d s", x.name, at/second, x.certain/second)
		}
		if b.now == heard && x.certain == heard && !b.mayStart(p) {
			t.Errorf("%s: may not start", x.name)
		}
		b.now += 8 * second
		if b.entitled(p) != x.entitled || b.mayStart(p) != x.may {
			t.Errorf("%s, 8 s later: entitled %v, may start %v", x.name, b.entitled(p), b.mayStart(p))
		}
	}
}

// TestNoStartUncertain: a holder that has not been certain of its part for a
// while sends no start, but stops all the same.
func TestNoStartUncertain(t *testing.T) {
	for d, want := range map[Time]int{second: 1, entitlement.StartBound + second: 0} {
		b := newBench()
		j := b.job("j-1", 1)
		m, a := b.running(j)
		a.phase = aReady
		b.now += d
		if n := len(b.commands(m, false)); n != want {
			t.Errorf("%d s after the last proof: %d starts", d/second, n)
		}
	}
}

// TestCancelledCalledFirst: machines with cancelled tasks that are silent, or
// wait for a higher token that an outage keeps from being stored, are called
// with the stops, before all others.
func TestCancelledCalledFirst(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "bumping": false} {
		b := newBench()
		m, a := b.running(b.job("j-1", 1))
		a.stop = true
		a.job.cancelling = true
		if m.heard = b.now; silent {
			m.heard -= 2*b.cfg.ReportEvery + second
		} else {
			m.bumping, m.acked = true, false
		}
		b.callMachines(b.parts[0].machines)
		var got []Command
		for _, f := range b.out {
			if o, ok := f.(Orders); ok && o.Addr == m.addr {
				got = append(got, o.Commands...)
			}
		}
		if len(got) != 1 || got[0].Verb != Stop {
			t.Errorf("%s: called with %+v", name, got)
		}
	}
}

// TestClaimProven: while one controller gives no word and the store serves, the
// mark is read again and again, and the holder stays entitled.
func TestClaimProven(t *testing.T) {
	b := newBench()
	p := b.parts[0]
	b.play(b.cfg.CancelWithin)
	if d := b.now - p.provenAt; d > 4*second || !b.entitled(p) || !b.mayStart(p) {
		t.Errorf("last proven %d s ago: entitled %v, may start %v", d/second, b.entitled(p), b.mayStart(p))
	}
}

// TestQuotaAfterTakeOver: what a group's record lists counts against the team's
// limit after a take-over, a cancelled job's tasks too, until it is proven gone.
func TestQuotaAfterTakeOver(t *testing.T) {
	for _, acked := range []bool{false, true} {
		b := newBench()
		p := b.parts[0]
		b.learnJob(KV{"jobs/j-1", []byte(`{"st":"cancelled","tm":"red","n":2,"r":{"CPU":3000000,"GPU":0,"Mem":1},"w":"b9-1"}`), 20}, p)
		l := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1", Tasks: []grouprecord.Task{{ID: TaskID{Job: "j-1", Index: 0}, Attempt: 7}}}
		b.learnGroup(KV{"groups/g", grouprecord.Encode(grouprecord.Record{Part: 0, Machines: []grouprecord.Machine{l}, Nonce: "b9-2"}), 25}, p)
		m := b.machines["m-1"]
		r := Report{Machine: "m-1", Addr: "m-1", Session: 1, Stamp: 5, Token: 12, Notice: -1} // an old one, without the task
		want := Amount(3_000_000)
		if acked {
			r.Token, want = m.token, 0
		}
		b.reconcile(m, &r, false)
		if use := b.teamUse(p)["red"].CPU; use != want {
			t.Errorf("acknowledged %v: the team uses %d, want %d", acked, use, want)
		}
	}
}
