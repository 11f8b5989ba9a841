package inventory

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// TestEmptyGroupRecordKept checks that an empty group's record is deleted only under a later
// claim. Otherwise a delayed copy of the group's creation could restore the record and list
// its machines a second time. A task ran twice because of this (random seed 1083).
func TestEmptyGroupRecordKept(t *testing.T) {
	h := newHarness(t, "n0")
	shard := h.state.Shards[0]
	snapshot := newRecordSnapshot(nil)
	value := snapshot.encode(shard.ID, "n-1")
	record, err := grouprecord.Decode(value)
	if value == nil || err != nil || record.ShardID != 0 || len(record.Machines) != 0 || writequeue.WriteIDOf(value) != "n-1" || len(snapshot.machines) != 0 {
		t.Fatalf("record of an empty group is %q: %v", value, err)
	}
	shard.Owned, shard.ClaimRevision, shard.ModRevision = true, 30, 30
	h.ApplyRecord(messages.KV{Key: "groups/b1-12-1", Value: value, ModRevision: 20}, shard)
	queued := h.writes.Queued(writequeue.PriorityBackground)
	if len(queued) != 1 || queued[0].Keys[0] != "groups/b1-12-1" || len(h.state.Groups) != 0 {
		t.Fatalf("load under a later claim queued %d writes and added %d groups, want one write of the record and no group", len(queued), len(h.state.Groups))
	}
	if operations, _ := queued[0].Build("n-2"); len(operations) != 1 || operations[0].Value != nil {
		t.Errorf("load under a later claim writes %v, want a deletion", operations)
	}
	// The claim that created the group is still in force, or the key contains no claim.
	h.ApplyRecord(messages.KV{Key: "groups/b1-30-1", Value: value, ModRevision: 20}, shard)
	h.ApplyRecord(messages.KV{Key: "groups/g", Value: value, ModRevision: 20}, shard)
	for _, write := range h.writes.Queued(writequeue.PriorityBackground)[1:] {
		if operations, _ := write.Build("n-3"); operations != nil {
			t.Errorf("%v deletes a group while a copy of its creation may still be applied", operations)
		}
	}
}

// TestStaleGroupReadIgnored checks that a record is ignored if it was read before another
// shard owned here acquired its machine, and that a later record moves the machine.
func TestStaleGroupReadIgnored(t *testing.T) {
	for modRevision, want := range map[cluster.ModRevision]cluster.ShardID{40: 0, 60: 1} {
		h := newHarness(t, "n0", "n1")
		for _, shard := range h.state.Shards {
			shard.Owned, shard.ClaimRevision = true, 30
		}
		entry := grouprecord.Machine{ID: "m-1", Kind: grouprecord.Kind{Type: "s", Zone: "a"}}
		h.AddMachine(h.state.AddGroup(h.state.Shards[0], "joined", 50), entry, 50) // acquired at revision 50
		value := grouprecord.Encode(grouprecord.Record{ShardID: 1, Machines: []grouprecord.Machine{entry}, WriteID: "n"})
		h.ApplyRecord(messages.KV{Key: "groups/old", Value: value, ModRevision: modRevision}, h.state.Shards[1])
		m := h.state.Machines["m-1"]
		inFirst, inSecond := len(h.state.Shards[0].Machines), len(h.state.Shards[1].Machines)
		if m == nil || m.ShardID != want || inFirst+inSecond != 1 {
			t.Errorf("record at revision %d: the shards own %d and %d machines, want one in shard %d", modRevision, inFirst, inSecond, want)
		}
	}
}
