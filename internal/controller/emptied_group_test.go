package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
)

// TestEmptyGroupKeptUnderUnseenClaim checks that an emptied group's key is kept while its
// creator's claim may be in force. A late write could create a deleted key again.
func TestEmptyGroupKeptUnderUnseenClaim(t *testing.T) {
	const creationClaim = cluster.Revision(40)
	for _, test := range []struct {
		name           string
		knownRevision  cluster.ModRevision // of the other shard's claim, as known to this controller
		storedRevision cluster.ModRevision // of the other shard's claim in the store
		deleted        bool
	}{
		{"a later claim is in force", 50, 50, true},
		{"the creation claim is in force and known", cluster.ModRevision(creationClaim), cluster.ModRevision(creationClaim), false},
		{"the creation claim is in force and not yet seen", 30, cluster.ModRevision(creationClaim), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newControllerHarness()
			shard, other := h.state.Shards[0], h.state.Shards[1]
			h.store.revision = 60
			other.Owned, other.Ready, other.ModRevision = false, false, test.knownRevision
			h.store.keys[other.Key()] = messages.KV{Key: other.Key(), Value: []byte(`{"holder":"n1","term":2,"w":"b1-1"}`), ModRevision: test.storedRevision}
			emptied := messages.KV{Key: "groups/b1-40-1", Value: grouprecord.Encode(grouprecord.Record{ShardID: shard.ID, WriteID: "b0-5"}), ModRevision: 55}
			h.store.keys[emptied.Key] = emptied
			h.inventory.ApplyRecord(emptied, shard)
			h.runFor(second)
			if deleted := h.store.get(emptied.Key).Outcome == messages.NotFound; deleted != test.deleted {
				t.Errorf("deleted %v, want %v", deleted, test.deleted)
			}
		})
	}
}
