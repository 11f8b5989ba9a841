package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

// TestEmptyGroupKeptBesideUnseenAcquire: the record of an emptied group was made under
// another part's claim. This controller has not heard of that claim, so that the
// part's mark as known here is not the one in the group's name. The claim is in
// force: its holder's late writes are still carried out, and the key must stay.
// It goes once the part has a claim later than the one that made the group.
func TestEmptyGroupKeptBesideUnseenAcquire(t *testing.T) {
	const makingClaim = cluster.Revision(40)
	for _, test := range []struct {
		name    string
		known   cluster.ModRevision // of the other part's claim, here
		stored  cluster.ModRevision // of its claim in force
		dropped bool
	}{
		{"a later claim is in force", 50, 50, true},
		{"the claim that made it is in force, and known", cluster.ModRevision(makingClaim), cluster.ModRevision(makingClaim), false},
		{"the claim that made it is in force, and not heard of", 30, cluster.ModRevision(makingClaim), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newControllerHarness()
			part, other := b.state.Shards[0], b.state.Shards[1]
			b.store.revision = 60
			other.Owned, other.Ready, other.ModRevision = false, false, test.known
			b.store.keys[other.Key()] = messages.KV{Key: other.Key(), Value: []byte(`{"holder":"n1","term":2,"w":"b1-1"}`), ModRevision: test.stored}
			emptied := messages.KV{Key: "groups/b1-40-1", Value: grouprecord.Encode(grouprecord.Record{ShardID: part.ID, WriteID: "b0-5"}), ModRevision: 55}
			b.store.keys[emptied.Key] = emptied
			b.applyGroupRecord(emptied, part)
			b.runFor(second)
			if dropped := b.store.get(emptied.Key).Outcome == messages.NotFound; dropped != test.dropped {
				t.Errorf("dropped %v, want %v", dropped, test.dropped)
			}
		})
	}
}

// TestEmptiedGroupRecordKept: the record of an emptied group is written, not
// dropped. Were its key absent, a late copy of the transaction that created it
// would be carried out again and list its machines a second time (random seed
// 1083: a task ran twice). The next claim, which fences such copies, drops it.
func TestEmptiedGroupRecordKept(t *testing.T) {
	c := New(Config{Self: "n0", Nodes: []cluster.NodeID{"n0"}, MaxValueBytes: 4096, MaxTxnOps: 12, Tuning: DefaultTuning()})
	p := c.state.Shards[0]
	v, s := c.buildGroupRecord(0, nil, "n-1")
	rec, err := grouprecord.Decode(v)
	part, ms := rec.ShardID, rec.Machines
	if v == nil || err != nil || part != 0 || len(ms) != 0 || writequeue.WriteIDOf(v) != "n-1" || len(s.machines) != 0 {
		t.Fatalf("an emptied group is written as %q: %v", v, err)
	}
	p.Owned, p.ClaimRevision, p.ModRevision = true, 30, 30
	c.applyGroupRecord(messages.KV{Key: "groups/b1-12-1", Value: v, ModRevision: 20}, p)
	q := c.writeQueue.Queued(writequeue.Background)
	if len(q) != 1 || q[0].Keys[0] != "groups/b1-12-1" || len(c.state.Groups) != 0 {
		t.Fatalf("the next claim queues %d writes and knows %d groups", len(q), len(c.state.Groups))
	}
	if ops, _ := q[0].Build("n-2"); len(ops) != 1 || ops[0].Value != nil {
		t.Errorf("the next claim writes %v", ops)
	}
	// The claim that made it is in force, or the key doesn't say which that was.
	c.applyGroupRecord(messages.KV{Key: "groups/b1-30-1", Value: v, ModRevision: 20}, p)
	c.applyGroupRecord(messages.KV{Key: "groups/g", Value: v, ModRevision: 20}, p)
	for _, x := range c.writeQueue.Queued(writequeue.Background)[1:] {
		if ops, _ := x.Build("n-3"); ops != nil {
			t.Errorf("%v is dropped though a copy of its creation may come", ops)
		}
	}
}
