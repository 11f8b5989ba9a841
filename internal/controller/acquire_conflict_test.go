package controller

import (
	"testing"

	"stairrelay/internal/messages"
)

// TestAcquireResentAfterBatchConflict: an acquire shares its transaction with an
// admission that is refused, since another controller admitted the job meanwhile. The
// acquire has to be sent again as an acquire: sent as an ordinary write it was dropped,
// as the shard is not owned, and the controller counted as acquiring for ever. Then
// nobody served the shard: its last owner waited for its own acquire, and the others
// saw that owner alive.
func TestAcquireResentAfterBatchConflict(t *testing.T) {
	b := newControllerHarness()
	shard := b.state.Shards[1]
	shard.Owned, shard.Ready = false, false
	b.store.keys["jobs/j-1"] = messages.KV{Key: "jobs/j-1", Value: []byte(`{"s":{"tm":"red","n":1},"w":"b1-1"}`), ModRevision: 31}
	b.submit(1, "j-1")
	b.ownership.Acquire(shard)
	b.runFor(2 * second)

	if len(b.sentTransactions) == 0 || len(b.sentTransactions[0].Then) != 2 {
		t.Fatal("the acquire and the admission did not share a transaction")
	}
	if !shard.Owned || shard.Acquiring {
		t.Errorf("owned %v, acquiring %v; want the shard owned", shard.Owned, shard.Acquiring)
	}
}
