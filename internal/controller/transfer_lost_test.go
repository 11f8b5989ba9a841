package controller

import (
	"maps"
	"slices"
	"testing"

	"stairrelay/internal/state"

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
	giver, taker := b.state.Shards[0], b.state.Shards[1]
	kind := grouprecord.Kind{Type: "small", Zone: "a"}
	b.inventory.RegisterMachines(giver, []grouprecord.Machine{{ID: "m-1", Kind: kind, Address: "m-1"}}, func() {})
	b.runFor(100 * millisecond)
	g := b.state.Groups[slices.Sorted(maps.Keys(b.state.Groups))[0]]
	g.Offer = &state.GroupOffer{ToShard: taker.ID, Until: b.loop.Now() + 5*second}
	b.store.revision++
	b.store.keys[taker.Key()] = messages.KV{Key: taker.Key(), Value: []byte(`{"holder":"n1","term":2,"w":"b1-1"}`), ModRevision: cluster.ModRevision(b.store.revision)}
	b.inventory.AcquireGroup(taker, g.Key(), g.ModRevision)
	b.runFor(200 * millisecond)

	if taker.Owned {
		t.Fatal("the loss of the taking part went unnoticed")
	}
	m := b.state.Machines["m-1"]
	if m == nil || m.ShardID != giver.ID || b.state.Groups[g.ID] != g {
		t.Fatal("the machine is in no book though its record lists it for a part held here")
	}
	if g.WritePending || g.WriteInFlight {
		t.Error("the group still counts as being written")
	}
	b.inventory.WriteMachine(m, writequeue.Start)
	b.runFor(200 * millisecond)
	if kv := b.store.get(g.Key()).KV; g.ModRevision != kv.ModRevision || g.ModRevision <= 31 {
		t.Errorf("its record can't be written any more: mark %d, stored %d", g.ModRevision, kv.ModRevision)
	}
}
