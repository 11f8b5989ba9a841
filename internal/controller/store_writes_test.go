package controller

import (
	"maps"
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestLateGroupWriteAfterDropRejected: a group that one shard made and another took over
// and emptied is dropped by the other's next claim, which fences off no copy of its
// creation: that one is guarded by the claim of the shard that made it.
func TestLateGroupWriteAfterDropRejected(t *testing.T) {
	b := newControllerHarness()
	maker, taker := b.state.Shards[0], b.state.Shards[1]
	b.inventory.RegisterMachines(maker, []grouprecord.Machine{{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1"}}, func() {})
	b.runFor(100 * millisecond)
	if len(b.sentTransactions) == 0 || len(b.state.Groups) != 1 {
		t.Fatalf("%d transactions, %d groups", len(b.sentTransactions), len(b.state.Groups))
	}
	first := b.sentTransactions[0]
	key := first.Then[0].Key
	group := b.state.Groups[slices.Sorted(maps.Keys(b.state.Groups))[0]]
	group.Offer = &state.GroupOffer{ToShard: taker.ID, Until: b.loop.Now() + 5*second}
	b.inventory.AcquireGroup(taker, key, group.ModRevision)
	b.runFor(100 * millisecond)
	machine := b.state.Machines["m-1"]
	if machine == nil || machine.ShardID != taker.ID {
		t.Fatal("the group was not transferred")
	}
	b.provisioner.ScaleIn.HandleTerminated(machine)
	b.runFor(200 * millisecond)
	if kv := b.store.get(key); kv.Outcome != messages.OK || b.state.Machines["m-1"] != nil {
		t.Fatalf("the emptied group: %v", kv)
	}
	// The other shard's next claim.
	b.store.revision++
	taker.ClaimRevision, taker.ModRevision = b.store.revision, cluster.ModRevision(b.store.revision)
	b.store.keys[taker.Key()] = messages.KV{Key: taker.Key(), Value: []byte(`{"holder":"n0","term":2,"w":"b0-9"}`), ModRevision: taker.ModRevision}
	b.inventory.ApplyRecord(b.store.get(key).KV, taker)
	b.runFor(second)
	if reply := b.store.commit(first); reply.Outcome != messages.Conflict {
		t.Errorf("a late copy of the group's creation is carried out: %s is there again", key)
	}
}
