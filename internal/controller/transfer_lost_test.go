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

// TestTransferAbortedWhenShardIsLost checks that machines stay with the shard that
// offered them if another controller acquires the recipient before the store has
// replied to the transfer. If they were dropped, their record would list them for an
// owned shard while their heartbeats are answered with 503.
func TestTransferAbortedWhenShardIsLost(t *testing.T) {
	b := newControllerHarness()
	source, recipient := b.state.Shards[0], b.state.Shards[1]
	kind := grouprecord.Kind{Type: "small", Zone: "a"}
	b.inventory.RegisterMachines(source, []grouprecord.Machine{{ID: "m-1", Kind: kind, Address: "m-1"}}, func() {})
	b.runFor(100 * millisecond)
	group := b.state.Groups[slices.Sorted(maps.Keys(b.state.Groups))[0]]
	group.Offer = &state.GroupOffer{ToShard: recipient.ID, Until: b.loop.Now() + 5*second}
	b.store.revision++
	b.store.keys[recipient.Key()] = messages.KV{Key: recipient.Key(), Value: []byte(`{"holder":"n1","term":2,"w":"b1-1"}`), ModRevision: cluster.ModRevision(b.store.revision)}
	b.inventory.AcquireGroup(recipient, group.Key(), group.ModRevision)
	b.runFor(200 * millisecond)

	if recipient.Owned {
		t.Fatal("the recipient is still owned after another controller's claim")
	}
	machine := b.state.Machines["m-1"]
	if machine == nil || machine.ShardID != source.ID || b.state.Groups[group.ID] != group {
		t.Fatal("the machine is unknown although its record lists it for an owned shard")
	}
	if group.WritePending || group.WriteInFlight {
		t.Error("the group still has a pending write")
	}
	b.inventory.WriteMachine(machine, writequeue.PriorityStart)
	b.runFor(200 * millisecond)
	if kv := b.store.get(group.Key()).KV; group.ModRevision != kv.ModRevision || group.ModRevision <= 31 {
		t.Errorf("the group's record can't be written: known mod revision %d, stored %d", group.ModRevision, kv.ModRevision)
	}
}
