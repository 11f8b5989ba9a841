package controller

import (
	"maps"
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// TestTransferAbortedWhenShardIsLost: this controller owns two shards, and one takes over
// idle machines of the other. Before the store has replied, the shard that takes them is
// acquired by another controller. The machines stay with the shard that offered them.
// When they were dropped at the transfer, the record of an owned shard listed them and
// the controller knew nothing of them: their workers were answered 503 and got no work
// until that shard had another owner.
func TestTransferAbortedWhenShardIsLost(t *testing.T) {
	b := newControllerHarness()
	giver, taker := b.state.Shards[0], b.state.Shards[1]
	kind := grouprecord.Kind{Type: "small", Zone: "a"}
	b.inventory.RegisterMachines(giver, []grouprecord.Machine{{ID: "m-1", Kind: kind, Address: "m-1"}}, func() {})
	b.runFor(100 * millisecond)
	group := b.state.Groups[slices.Sorted(maps.Keys(b.state.Groups))[0]]
	group.Offer = &state.GroupOffer{ToShard: taker.ID, Until: b.loop.Now() + 5*second}
	b.store.revision++
	b.store.keys[taker.Key()] = messages.KV{Key: taker.Key(), Value: []byte(`{"holder":"n1","term":2,"w":"b1-1"}`), ModRevision: cluster.ModRevision(b.store.revision)}
	b.inventory.AcquireGroup(taker, group.Key(), group.ModRevision)
	b.runFor(200 * millisecond)

	if taker.Owned {
		t.Fatal("the loss of the shard that takes over went unnoticed")
	}
	machine := b.state.Machines["m-1"]
	if machine == nil || machine.ShardID != giver.ID || b.state.Groups[group.ID] != group {
		t.Fatal("the machine is unknown though its record lists it for a shard owned here")
	}
	if group.WritePending || group.WriteInFlight {
		t.Error("the group still counts as being written")
	}
	b.inventory.WriteMachine(machine, writequeue.PriorityStart)
	b.runFor(200 * millisecond)
	if kv := b.store.get(group.Key()).KV; group.ModRevision != kv.ModRevision || group.ModRevision <= 31 {
		t.Errorf("its record can't be written any more: mod revision %d, stored %d", group.ModRevision, kv.ModRevision)
	}
}
