package core

import (
	"fmt"
	"testing"

	"stairrelay/internal/grouprecord"
)

// TestLateCopyAfterDrop: a group that one part made and another took and
// emptied is dropped by the other's next claim, which fences no copy of its
// creation: that one is guarded by the claim of the part that made it.
func TestLateCopyAfterDrop(t *testing.T) {
	b := newCoreHarness()
	p, q := b.parts[0], b.parts[1]
	b.enlist(p, []grouprecord.Machine{{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1"}}, func() {})
	b.play(100 * milli)
	if len(b.txns) == 0 || len(b.groups) != 1 {
		t.Fatalf("%d transactions, %d groups", len(b.txns), len(b.groups))
	}
	first := b.txns[0]
	key := first.Then[0].Key
	g := b.groups[sortedKeys(b.groups)[0]]
	g.offer = &groupOffer{to: q.id, until: b.now + 5*second}
	b.takeGroup(q, key, g.mark)
	b.play(100 * milli)
	m := b.machines["m-1"]
	if m == nil || m.part != q.id {
		t.Fatal("the group was not taken")
	}
	b.machineGone(m)
	b.play(200 * milli)
	if kv := b.store.get(key); kv.Out != OK || b.machines["m-1"] != nil {
		t.Fatalf("the emptied group: %v", kv)
	}
	// The other part's next claim.
	b.store.epoch++
	q.claim, q.mark = b.store.epoch, Mark(b.store.epoch)
	b.store.keys[q.key()] = KV{q.key(), []byte(`{"holder":"n0","term":2,"w":"b0-9"}`), q.mark}
	b.learnGroup(b.store.get(key).KV, q)
	b.play(second)
	if r := b.store.txn(first); r.Out != Conflict {
		t.Errorf("a late copy of the group's creation is carried out: %s is there again", key)
	}
}

// TestAcceptanceBesideConflict: a transaction is refused because of another
// write in it. The submissions that it took along are stored by the next.
func TestAcceptanceBesideConflict(t *testing.T) {
	b := newCoreHarness()
	m, _ := b.running(b.job("j-9", 1))
	m.group.mark = 77 // another writer was there
	b.writeMachine(m, prioStart)
	b.onSubmit(Submit{Req: 1, Job: JobSpec{ID: "j-1", Team: "red", Tasks: 1, Need: Res{CPU: 1_000_000, Mem: 1_000_000}}})
	b.play(5 * second)
	if len(b.txns) == 0 || len(b.txns[0].Then) != 2 {
		t.Fatal("the two writes did not share a transaction")
	}
	if len(b.told) != 1 || b.told[0].Status != 201 {
		t.Errorf("answered %+v, want 201", b.told)
	}
	b.play(5 * second)
	if n := len(b.writer.queues[prioAccept]); n != 0 || b.acceptances.names > 3 {
		t.Errorf("nothing waits to be accepted, but %d writes are queued, after %d", n, b.acceptances.names)
	}
}

// TestAcceptsUnread: whether another controller accepted the job before can't
// be read. Then it is not called new.
func TestAcceptsUnread(t *testing.T) {
	b := newCoreHarness()
	b.store.epoch = 40
	b.store.keys["accepts/b1-1"] = KV{"accepts/b1-1", []byte(`{"j":[{"id":"j-1","s":{"Team":"red","Tasks":1}}],"w":"b1-1"}`), 40}
	b.failWatch = true
	b.onSubmit(Submit{Req: 1, Job: JobSpec{ID: "j-1", Team: "red", Tasks: 1, Need: Res{CPU: 1_000_000, Mem: 1_000_000}}})
	b.play(4 * second)
	for _, r := range b.told {
		if r.Status == 201 {
			t.Errorf("answered %+v", r)
		}
	}
}

// TestSameIDInOneRecord: the same submission comes in twice before either is
// written. It is stored once, and one of the two is answered as a repeat.
func TestSameIDInOneRecord(t *testing.T) {
	b := newCoreHarness()
	for i := range ReqID(2) {
		b.onSubmit(Submit{Req: 1 + i, Job: JobSpec{ID: "j-1", Team: "red", Tasks: 1, Need: Res{CPU: 1_000_000, Mem: 1_000_000}}})
	}
	b.play(second)
	n := map[ReplyStatus]int{}
	for _, r := range b.told {
		n[r.Status]++
	}
	if n[201] != 1 || n[200] != 1 {
		t.Errorf("answered %v, want one 201 and one 200", n)
	}
	for _, f := range b.txns {
		keys := map[string]bool{}
		for _, w := range f.When {
			if keys[w.Key] {
				t.Errorf("a transaction has two conditions on %s", w.Key)
			}
			keys[w.Key] = true
		}
	}
}

// TestConditionsOfBurst: submissions that pile up while the store is slow go out
// in transactions that the store takes: conditions are limited to four times
// the puts.
func TestConditionsOfBurst(t *testing.T) {
	b := newCoreHarness()
	b.play(second)
	inflight := b.writer.inflight
	b.writer.inflight = maxInflight // the store is slow
	for i := range ReqID(60) {
		b.onSubmit(Submit{Req: 1 + i, Job: JobSpec{ID: JobID(fmt.Sprintf("j-%03d", i)), Team: "red", Tasks: 1, Need: Res{CPU: 1_000_000, Mem: 1_000_000}}})
	}
	b.writer.inflight = inflight
	b.play(second)
	for _, f := range b.txns {
		if len(f.When) > 4*b.cfg.TxnOps {
			t.Errorf("a transaction of %d puts has %d conditions", len(f.Then), len(f.When))
		}
	}
	for _, r := range b.told {
		if r.Status != 201 {
			t.Errorf("answered %+v", r)
		}
	}
}
