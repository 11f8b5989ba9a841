package core

import (
	"testing"

	"stairrelay/internal/grouprecord"
)

// TestDropBesideUnheardClaim: the record of an emptied group was made under
// another part's claim. This controller has not heard of that claim, so that the
// part's mark as known here is not the one in the group's name. The claim is in
// force: its holder's late writes are still carried out, and the key must stay.
// It goes once the part has a claim later than the one that made the group.
func TestDropBesideUnheardClaim(t *testing.T) {
	const makingClaim = Epoch(40)
	for _, test := range []struct {
		name    string
		known   Mark // of the other part's claim, here
		stored  Mark // of its claim in force
		dropped bool
	}{
		{"a later claim is in force", 50, 50, true},
		{"the claim that made it is in force, and known", Mark(makingClaim), Mark(makingClaim), false},
		{"the claim that made it is in force, and not heard of", 30, Mark(makingClaim), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newCoreHarness()
			part, other := b.parts[0], b.parts[1]
			b.store.epoch = 60
			other.held, other.ready, other.mark = false, false, test.known
			b.store.keys[other.key()] = KV{other.key(), []byte(`{"holder":"n1","term":2,"w":"b1-1"}`), test.stored}
			emptied := KV{"groups/b1-40-1", grouprecord.Encode(grouprecord.Record{Part: part.id, Nonce: "b0-5"}), 55}
			b.store.keys[emptied.Key] = emptied
			b.learnGroup(emptied, part)
			b.play(second)
			if dropped := b.store.get(emptied.Key).Out == Missing; dropped != test.dropped {
				t.Errorf("dropped %v, want %v", dropped, test.dropped)
			}
		})
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
