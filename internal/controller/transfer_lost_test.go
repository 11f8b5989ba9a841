package controller

import (
	"maps"
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"

	"stairrelay/internal/grouprecord"
)

// TestTransferAbortedWhenShardIsLost: this controller holds two parts, and one takes idle
// machines of the other. Before the store has answered, the taking part is
// claimed by another controller. The machines stay with the part that offered
// them: forgotten at the taking, they were listed by a record of a part held
// here and by nothing in its books, so that their workers were answered 503 and
// got no work until that part changed hands.
func TestTransferAbortedWhenShardIsLost(t *testing.T) {
	b := newControllerHarness()
	giver, taker := b.shards[0], b.shards[1]
	kind := grouprecord.Kind{Type: "small", Zone: "a"}
	b.registerMachines(giver, []grouprecord.Machine{{ID: "m-1", Kind: kind, Address: "m-1"}}, func() {})
	b.runFor(100 * millisecond)
	g := b.machineGroups[slices.Sorted(maps.Keys(b.machineGroups))[0]]
	g.offer = &groupOffer{toShard: taker.id, until: b.loop.Now() + 5*second}
	b.store.revision++
	b.store.keys[taker.key()] = messages.KV{Key: taker.key(), Value: []byte(`{"holder":"n1","term":2,"w":"b1-1"}`), ModRevision: cluster.ModRevision(b.store.revision)}
	b.acquireGroup(taker, g.key(), g.modRevision)
	b.runFor(200 * millisecond)

	if taker.owned {
		t.Fatal("the loss of the taking part went unnoticed")
	}
	m := b.machines["m-1"]
	if m == nil || m.shardID != giver.id || b.machineGroups[g.id] != g {
		t.Fatal("the machine is in no book though its record lists it for a part held here")
	}
	if g.writePending || g.writeInFlight {
		t.Error("the group still counts as being written")
	}
	b.writeMachine(m, writequeue.Start)
	b.runFor(200 * millisecond)
	if kv := b.store.get(g.key()).KV; g.modRevision != kv.ModRevision || g.modRevision <= 31 {
		t.Errorf("its record can't be written any more: mark %d, stored %d", g.modRevision, kv.ModRevision)
	}
}
