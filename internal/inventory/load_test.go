package inventory

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// TestEmptiedGroupRecordKept: the record of an emptied group is written, not deleted.
// Were its key absent, a late copy of the transaction that created it would be carried
// out again and list its machines a second time (random seed 1083: a task ran twice).
// The next claim, which fences such copies off, deletes it.
func TestEmptiedGroupRecordKept(t *testing.T) {
	h := newHarness(t, "n0")
	shard := h.state.Shards[0]
	snapshot := newRecordSnapshot(nil)
	value := snapshot.encode(shard.ID, "n-1")
	record, err := grouprecord.Decode(value)
	if value == nil || err != nil || record.ShardID != 0 || len(record.Machines) != 0 || writequeue.WriteIDOf(value) != "n-1" || len(snapshot.machines) != 0 {
		t.Fatalf("an emptied group is written as %q: %v", value, err)
	}
	shard.Owned, shard.ClaimRevision, shard.ModRevision = true, 30, 30
	h.ApplyRecord(messages.KV{Key: "groups/b1-12-1", Value: value, ModRevision: 20}, shard)
	queued := h.writes.Queued(writequeue.PriorityBackground)
	if len(queued) != 1 || queued[0].Keys[0] != "groups/b1-12-1" || len(h.state.Groups) != 0 {
		t.Fatalf("the next claim queues %d writes and knows %d groups", len(queued), len(h.state.Groups))
	}
	if operations, _ := queued[0].Build("n-2"); len(operations) != 1 || operations[0].Value != nil {
		t.Errorf("the next claim writes %v", operations)
	}
	// The claim that created it is in force, or the key doesn't say which that was.
	h.ApplyRecord(messages.KV{Key: "groups/b1-30-1", Value: value, ModRevision: 20}, shard)
	h.ApplyRecord(messages.KV{Key: "groups/g", Value: value, ModRevision: 20}, shard)
	for _, write := range h.writes.Queued(writequeue.PriorityBackground)[1:] {
		if operations, _ := write.Build("n-3"); operations != nil {
			t.Errorf("%v is deleted though a copy of its creation may come", operations)
		}
	}
}

// TestStaleGroupReadIgnored: a shard's reading may be older than another's, owned here
// too, taking a machine and merging its group with others. The later write counts;
// there are never two entries for one machine.
func TestStaleGroupReadIgnored(t *testing.T) {
	for modRevision, want := range map[cluster.ModRevision]cluster.ShardID{40: 0, 60: 1} {
		h := newHarness(t, "n0", "n1")
		for _, shard := range h.state.Shards {
			shard.Owned, shard.ClaimRevision = true, 30
		}
		line := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "s", Zone: "a"}}
		h.AddMachine(h.state.AddGroup(h.state.Shards[0], "joined", 50), line, 50) // taken at revision 50
		value := grouprecord.Encode(grouprecord.Record{ShardID: 1, Machines: []grouprecord.Machine{line}, WriteID: "n"})
		h.ApplyRecord(messages.KV{Key: "groups/old", Value: value, ModRevision: modRevision}, h.state.Shards[1])
		m := h.state.Machines["m-1"]
		first, second := len(h.state.Shards[0].Machines), len(h.state.Shards[1].Machines)
		if m == nil || m.ShardID != want || first+second != 1 {
			t.Errorf("read at %d: the shards own %d and %d machines, want one in shard %d", modRevision, first, second, want)
		}
	}
}
