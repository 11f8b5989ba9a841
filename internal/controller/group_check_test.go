package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/writequeue"
)

// TestGroupRecordCheckTerminates checks that the check after a conflict on a group's
// record ends, by dropping the shard, although more writes of the record are queued
// meanwhile. If each of their conflicts started another check, the group's tasks would
// wait for their record forever.
func TestGroupRecordCheckTerminates(t *testing.T) {
	b := newControllerHarness()
	machine, _ := b.addRunningMachine(b.addTestJob("j-1", 1))
	shard := b.state.Shards[0]
	key := machine.Group.Key()
	b.inventory.WriteMachine(machine, writequeue.PriorityStart)
	machine.Group.ModRevision = 0 // the store has no record yet
	b.runFor(100 * millisecond)
	kv := b.store.get(key).KV
	kv.ModRevision++
	b.store.revision = cluster.Revision(kv.ModRevision)
	b.store.keys[key] = kv // the same value, written by another writer

	sent := len(b.sentTransactions)
	for range 50 {
		b.inventory.WriteMachine(machine, writequeue.PriorityStart)
		b.runFor(0) // one round of replies
	}
	if shard.CorruptRecordCount == 0 {
		t.Errorf("the shard is not dropped after %d conflicting writes", len(b.sentTransactions)-sent)
	}
}
