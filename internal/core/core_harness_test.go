package core

import (
	"strings"

	"stairrelay/internal/grouprecord"
)

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

// coreHarness is one controller among three, which holds part 0, with its store.
type coreHarness struct {
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

func newCoreHarness() *coreHarness {
	c := New(Config{Self: "n0", Nodes: []NodeID{"n0", "n1", "n2"}, Boot: "b0", ReportEvery: 5 * second, Lease: 26 * second, CancelWithin: 60 * second,
		StoreRPS: 1000, WriteRPS: 1000, ValueBytes: 4096, TxnOps: 12, CloudRPS: 5, Teams: []Team{{Name: "red", Limit: Res{CPU: 100_000_000}}}, Tuning: DefaultTuning()})
	c.types["small"] = MachineType{Name: "small", Cap: Res{CPU: 4_000_000, Mem: 16_000_000}, Zones: []string{"a"}}
	c.now, c.acceptances.loaded = 100*second, true
	b := &coreHarness{Core: c, store: &testStore{keys: map[string]KV{}, epoch: 30}, lose: func(StoreTxn) bool { return false }}
	for _, p := range c.parts {
		p.held, p.ready, p.holder, p.claim, p.mark, p.term, p.provenAt = true, true, "n0", 30, 30, 1, c.now
		p.rentals, p.refused = map[string]*rental{}, map[rentOption]Time{}
		b.store.keys[p.key()] = KV{p.key(), []byte(`{"holder":"n0","term":1,"w":"b0-1"}`), 30}
	}
	return b
}

// play lets time pass and the store answer; what it was asked for is kept.
func (b *coreHarness) play(d Time) {
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

func (b *coreHarness) job(id JobID, tasks int) *job {
	spec := JobSpec{ID: id, Team: "red", Tasks: tasks, Need: Res{CPU: 1_000_000}}
	j := newJob(spec, 0, 0, b.now)
	b.addJob(j)
	b.jobs.known[id] = &knownJob{part: 0, tasks: tasks, team: "red"}
	return j
}

// running is a machine that runs the first task of a job.
func (b *coreHarness) running(j *job) (*machine, *assign) {
	m := b.addMachine(b.newGroup(b.parts[0], "g", 31), grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1"}, 31)
	m.acked, m.session, m.stamp, m.heard = true, 1, 1, b.now
	a := &assign{task: TaskID{Job: j.spec.ID, Index: 0}, job: j, need: j.spec.Need, mach: m.id, attempt: 7, phase: aSeen, state: Running}
	m.addAssign(a)
	j.setPlaced(0, a)
	return m, a
}
