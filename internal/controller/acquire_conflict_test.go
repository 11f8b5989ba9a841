package controller

import (
	"testing"

	"stairrelay/internal/messages"
)

// TestAcquireResentAfterBatchConflict checks that an acquisition is sent again if its
// transaction conflicts because of another write in it, so that the shard gets an owner.
func TestAcquireResentAfterBatchConflict(t *testing.T) {
	h := newControllerHarness()
	shard := h.state.Shards[1]
	shard.Owned, shard.Ready = false, false
	h.store.keys["jobs/j-1"] = messages.KV{Key: "jobs/j-1", Value: []byte(`{"s":{"tm":"red","n":1},"w":"b1-1"}`), ModRevision: 31}
	h.submit(1, "j-1")
	h.ownership.Acquire(shard)
	h.runFor(2 * second)

	if len(h.sentTransactions) == 0 || len(h.sentTransactions[0].Then) != 2 {
		t.Fatal("the acquisition and the admission did not share a transaction")
	}
	if !shard.Owned || shard.Acquiring {
		t.Errorf("owned %v, acquiring %v; want the shard owned", shard.Owned, shard.Acquiring)
	}
}
