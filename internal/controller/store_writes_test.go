package controller

import (
	"maps"
	"slices"
	"testing"

	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"

	"stairrelay/internal/grouprecord"
)

// TestLateGroupWriteAfterDropRejected: a group that one part made and another took and
// emptied is dropped by the other's next claim, which fences no copy of its
// creation: that one is guarded by the claim of the part that made it.
func TestLateGroupWriteAfterDropRejected(t *testing.T) {
	b := newControllerHarness()
	p, q := b.state.Shards[0], b.state.Shards[1]
	b.inventory.RegisterMachines(p, []grouprecord.Machine{{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1"}}, func() {})
	b.runFor(100 * millisecond)
	if len(b.sentTransactions) == 0 || len(b.state.Groups) != 1 {
		t.Fatalf("%d transactions, %d groups", len(b.sentTransactions), len(b.state.Groups))
	}
	first := b.sentTransactions[0]
	key := first.Then[0].Key
	g := b.state.Groups[slices.Sorted(maps.Keys(b.state.Groups))[0]]
	g.Offer = &state.GroupOffer{ToShard: q.ID, Until: b.loop.Now() + 5*second}
	b.inventory.AcquireGroup(q, key, g.ModRevision)
	b.runFor(100 * millisecond)
	m := b.state.Machines["m-1"]
	if m == nil || m.ShardID != q.ID {
		t.Fatal("the group was not taken")
	}
	b.provisioner.ScaleIn.HandleTerminated(m)
	b.runFor(200 * millisecond)
	if kv := b.store.get(key); kv.Outcome != messages.OK || b.state.Machines["m-1"] != nil {
		t.Fatalf("the emptied group: %v", kv)
	}
	// The other part's next claim.
	b.store.revision++
	q.ClaimRevision, q.ModRevision = b.store.revision, cluster.ModRevision(b.store.revision)
	b.store.keys[q.Key()] = messages.KV{Key: q.Key(), Value: []byte(`{"holder":"n0","term":2,"w":"b0-9"}`), ModRevision: q.ModRevision}
	b.inventory.ApplyRecord(b.store.get(key).KV, q)
	b.runFor(second)
	if r := b.store.commit(first); r.Outcome != messages.Conflict {
		t.Errorf("a late copy of the group's creation is carried out: %s is there again", key)
	}
}
