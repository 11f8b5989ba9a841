package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"
)

// TestGroupRecordCheckTerminates checks that the check after a conflict on a group's
// record ends, and drops the shard, although more writes of the group are queued.
func TestGroupRecordCheckTerminates(t *testing.T) {
	h := newControllerHarness()
	machine, _ := h.addRunningMachine(h.addTestJob("j-1", 1))
	shard := h.state.Shards[0]
	key := machine.Group.Key()
	h.inventory.WriteMachine(machine, writequeue.PriorityStart)
	machine.Group.ModRevision = 0 // the store has no record yet
	h.runFor(100 * millisecond)
	kv := h.store.get(key).KV
	kv.ModRevision++
	h.store.revision = cluster.Revision(kv.ModRevision)
	h.store.keys[key] = kv // the same value, written by another writer

	sent := len(h.sentTransactions)
	for range 50 {
		h.inventory.WriteMachine(machine, writequeue.PriorityStart)
		h.runFor(0) // one round of replies
	}
	if shard.CorruptRecordCount == 0 {
		t.Errorf("the shard is not dropped after %d conflicting writes", len(h.sentTransactions)-sent)
	}
}
