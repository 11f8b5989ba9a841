package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"
)

// TestGroupRecordCheckTerminates: another writer has changed a group's record, and tasks
// keep coming and going on its machines. The check that follows the first
// conflict has to come to its conclusion, which is to give the shard up and read
// it anew. Writes that were queued while it read conflicted in their turn, each
// was followed by another check, and none of them concluded anything: the
// group's tasks waited for their record forever, at three requests a round.
func TestGroupRecordCheckTerminates(t *testing.T) {
	b := newControllerHarness()
	machine, _ := b.addRunningMachine(b.addTestJob("j-1", 1))
	shard := b.state.Shards[0]
	key := machine.Group.Key()
	b.inventory.WriteMachine(machine, writequeue.PriorityStart)
	machine.Group.ModRevision = 0 // as the store has none yet
	b.runFor(100 * millisecond)
	kv := b.store.get(key).KV
	kv.ModRevision++
	b.store.revision = cluster.Revision(kv.ModRevision)
	b.store.keys[key] = kv // the same, written by another

	sent := len(b.sentTransactions)
	for range 50 {
		b.inventory.WriteMachine(machine, writequeue.PriorityStart)
		b.runFor(0) // one round of answers
	}
	if shard.CorruptRecordCount == 0 {
		t.Errorf("no conclusion after %d refused writes", len(b.sentTransactions)-sent)
	}
}
