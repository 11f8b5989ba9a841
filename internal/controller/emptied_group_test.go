package controller

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/grouprecord"
	"stairrelay/internal/messages"
)

// TestEmptyGroupKeptBesideUnseenAcquire: the record of an emptied group was made under
// another shard's claim. This controller has not heard of that claim, so that the
// shard's mod revision as known here is not the one in the group's name. The claim is in
// force: its owner's late writes are still carried out, and the key must stay.
// It goes once the shard has a claim later than the one that made the group.
func TestEmptyGroupKeptBesideUnseenAcquire(t *testing.T) {
	const makingClaim = cluster.Revision(40)
	for _, test := range []struct {
		name    string
		known   cluster.ModRevision // of the other shard's claim, here
		stored  cluster.ModRevision // of its claim in force, in the store
		dropped bool
	}{
		{"a later claim is in force", 50, 50, true},
		{"the claim that made it is in force, and known", cluster.ModRevision(makingClaim), cluster.ModRevision(makingClaim), false},
		{"the claim that made it is in force, and not heard of", 30, cluster.ModRevision(makingClaim), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newControllerHarness()
			shard, other := b.state.Shards[0], b.state.Shards[1]
			b.store.revision = 60
			other.Owned, other.Ready, other.ModRevision = false, false, test.known
			b.store.keys[other.Key()] = messages.KV{Key: other.Key(), Value: []byte(`{"holder":"n1","term":2,"w":"b1-1"}`), ModRevision: test.stored}
			emptied := messages.KV{Key: "groups/b1-40-1", Value: grouprecord.Encode(grouprecord.Record{ShardID: shard.ID, WriteID: "b0-5"}), ModRevision: 55}
			b.store.keys[emptied.Key] = emptied
			b.inventory.ApplyRecord(emptied, shard)
			b.runFor(second)
			if dropped := b.store.get(emptied.Key).Outcome == messages.NotFound; dropped != test.dropped {
				t.Errorf("dropped %v, want %v", dropped, test.dropped)
			}
		})
	}
}
