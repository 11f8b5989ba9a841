package ownership

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

// TestPeerClaim checks that a later term in a peer's ping updates the owner of a shard
// that is not owned here, unless an acquisition is in flight.
func TestPeerClaim(t *testing.T) {
	for _, acquiring := range []bool{false, true} {
		m := newTestManager()
		shard := m.shards[0]
		shard.RecordOwner("n1", 4, 20, m.loop.Now())
		shard.Acquiring = acquiring
		m.ApplyPing("n2", &messages.Ping{Shards: []messages.ShardTerm{{Shard: 0, Term: 5}}})
		owner, term, reads := cluster.NodeID("n2"), cluster.Term(5), 1
		if acquiring { // left to the reply to the acquisition
			owner, term, reads = "n1", 4, 0
		}
		if shard.Owner != owner || shard.Term != term || shard.ModRevision != 20 {
			t.Errorf("acquiring %v: %+v", acquiring, shard.ShardOwnership)
		}
		if got := len(effectsOf[messages.StoreGet](m)); got != reads {
			t.Errorf("acquiring %v: %d reads of the claim record, want %d", acquiring, got, reads)
		}
	}
}

// TestStartFollowsClaims checks that a new process reads all claim records, acquires
// its shards and watches the records, and starts over after a compaction.
func TestStartFollowsClaims(t *testing.T) {
	m := newTestManager()
	m.Start()
	list := onlyEffect[messages.StoreList](t, m)
	m.reply(list.Call, messages.ListReply{Outcome: messages.UnknownOutcome})
	m.advanceTo(m.loop.Now() + claimListRetryDelay)
	list = onlyEffect[messages.StoreList](t, m)
	m.reply(list.Call, messages.ListReply{
		Outcome:  messages.OK,
		Revision: 40,
		Items:    []messages.KV{claimKV(0, "n0", 3, "b9-7", 20), claimKV(1, "n1", 4, "b1-7", 21)},
	})
	if got := onlyEffect[messages.StoreTxn](t, m).Then[0].Key; got != "parts/0" {
		t.Errorf("acquires %s, want the shard of the earlier process, parts/0", got)
	}
	if m.shards[1].Owner != "n1" || m.shards[1].Term != 4 {
		t.Errorf("shard 1: %+v, want owner n1 and term 4", m.shards[1].ShardOwnership)
	}
	if want := []string{"b9", "b1"}; !slices.Equal(m.peers.writers, want) {
		t.Errorf("recorded writes of %v, want %v", m.peers.writers, want)
	}

	watch := onlyEffect[messages.StoreWatch](t, m)
	if watch.SinceRevision != 40 {
		t.Errorf("watches since revision %d, want 40", watch.SinceRevision)
	}
	m.reply(watch.Call, messages.WatchReply{Outcome: messages.Compacted})
	m.advanceTo(m.loop.Now() + claimWatchDelay)
	onlyEffect[messages.StoreList](t, m)
}

// TestInvalidClaim checks that an invalid claim record is logged and ignored.
func TestInvalidClaim(t *testing.T) {
	for _, value := range []string{`{`, `{"term":7}`, `{"holder":7}`} {
		m := newTestManager()
		shard := m.ownShard(0)
		m.ApplyClaim(messages.KV{Key: shard.Key(), Value: []byte(value), ModRevision: 31})
		if !shard.Owned || shard.Term != 1 || shard.ModRevision != 30 {
			t.Errorf("%s: %+v, want it owned with term 1 and mod revision 30", value, shard.ShardOwnership)
		}
		if lines := effectsOf[messages.Log](m); len(lines) != 1 || lines[0].Level != messages.LogError {
			t.Errorf("%s: logged %v, want one error", value, lines)
		}
	}
}
