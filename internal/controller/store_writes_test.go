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

// TestLateGroupWriteAfterDeletionRejected checks that a delayed copy of a group's creation
// is rejected after another shard has acquired and emptied the group and has a new claim.
func TestLateGroupWriteAfterDeletionRejected(t *testing.T) {
	h := newControllerHarness()
	creator, recipient := h.state.Shards[0], h.state.Shards[1]
	h.inventory.RegisterMachines(creator, []grouprecord.Machine{{ID: "m-1", Kind: grouprecord.Kind{Type: "small", Zone: "a", Spot: false}, Address: "m-1"}}, func() {})
	h.runFor(100 * millisecond)
	if len(h.sentTransactions) == 0 || len(h.state.Groups) != 1 {
		t.Fatalf("%d transactions, %d groups; want a transaction that creates one group", len(h.sentTransactions), len(h.state.Groups))
	}
	first := h.sentTransactions[0]
	key := first.Then[0].Key
	group := h.state.Groups[slices.Sorted(maps.Keys(h.state.Groups))[0]]
	group.Offer = &state.GroupOffer{ToShard: recipient.ID, Until: h.loop.Now() + 5*second}
	h.inventory.AcquireGroup(recipient, key, group.ModRevision)
	h.runFor(100 * millisecond)
	machine := h.state.Machines["m-1"]
	if machine == nil || machine.ShardID != recipient.ID {
		t.Fatal("the group was not transferred")
	}
	h.provisioner.ScaleIn.HandleTerminated(machine)
	h.runFor(200 * millisecond)
	if kv := h.store.get(key); kv.Outcome != messages.OK || h.state.Machines["m-1"] != nil {
		t.Fatalf("the emptied group was deleted too early, or its machine is still known: %v", kv)
	}
	// The recipient has a new claim.
	h.store.revision++
	recipient.ClaimRevision, recipient.ModRevision = h.store.revision, cluster.ModRevision(h.store.revision)
	h.store.keys[recipient.Key()] = messages.KV{Key: recipient.Key(), Value: []byte(`{"holder":"n0","term":2,"w":"b0-9"}`), ModRevision: recipient.ModRevision}
	h.inventory.ApplyRecord(h.store.get(key).KV, recipient)
	h.runFor(second)
	if reply := h.store.commit(first); reply.Outcome != messages.Conflict {
		t.Errorf("a late copy of the group's creation was applied: %s exists again", key)
	}
}
