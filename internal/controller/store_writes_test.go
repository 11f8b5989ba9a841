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

// TestLateGroupWriteAfterDropRejected checks that a delayed copy of a group's creation
// is rejected after another shard has acquired and emptied the group and has a new
// claim. That write is conditional on the claim of the shard that created the group, so
// a new claim of the other shard does not fence it off.
func TestLateGroupWriteAfterDropRejected(t *testing.T) {
	b := newControllerHarness()
	creator, recipient := b.state.Shards[0], b.state.Shards[1]
	b.inventory.RegisterMachines(creator, []grouprecord.Machine{{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1"}}, func() {})
	b.runFor(100 * millisecond)
	if len(b.sentTransactions) == 0 || len(b.state.Groups) != 1 {
		t.Fatalf("%d transactions, %d groups", len(b.sentTransactions), len(b.state.Groups))
	}
	first := b.sentTransactions[0]
	key := first.Then[0].Key
	group := b.state.Groups[slices.Sorted(maps.Keys(b.state.Groups))[0]]
	group.Offer = &state.GroupOffer{ToShard: recipient.ID, Until: b.loop.Now() + 5*second}
	b.inventory.AcquireGroup(recipient, key, group.ModRevision)
	b.runFor(100 * millisecond)
	machine := b.state.Machines["m-1"]
	if machine == nil || machine.ShardID != recipient.ID {
		t.Fatal("the group was not transferred")
	}
	b.provisioner.ScaleIn.HandleTerminated(machine)
	b.runFor(200 * millisecond)
	if kv := b.store.get(key); kv.Outcome != messages.OK || b.state.Machines["m-1"] != nil {
		t.Fatalf("the emptied group was deleted too early, or its machine is still known: %v", kv)
	}
	// The recipient has a new claim.
	b.store.revision++
	recipient.ClaimRevision, recipient.ModRevision = b.store.revision, cluster.ModRevision(b.store.revision)
	b.store.keys[recipient.Key()] = messages.KV{Key: recipient.Key(), Value: []byte(`{"holder":"n0","term":2,"w":"b0-9"}`), ModRevision: recipient.ModRevision}
	b.inventory.ApplyRecord(b.store.get(key).KV, recipient)
	b.runFor(second)
	if reply := b.store.commit(first); reply.Outcome != messages.Conflict {
		t.Errorf("a late copy of the group's creation was applied: %s exists again", key)
	}
}
