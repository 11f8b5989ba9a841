package ownership

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// TestAcquireIfEligible checks which shards a controller acquires.
func TestAcquireIfEligible(t *testing.T) {
	for _, test := range []struct {
		name    string
		id      cluster.ShardID
		prepare func(m *testManager, shard *state.Shard)
		want    bool
	}{
		{"no owner, this node preferred", 0, func(*testManager, *state.Shard) {}, true},
		{"no owner, another node preferred", 1, func(*testManager, *state.Shard) {}, false},
		{"no owner, preferred owner failed, next in the ring", 2, func(m *testManager, _ *state.Shard) {
			m.peers.failed = []cluster.NodeID{"n2"}
		}, true},
		{"no owner, preferred owner failed, another node is next", 1, func(m *testManager, _ *state.Shard) {
			m.peers.failed = []cluster.NodeID{"n1"}
		}, false},
		{"owned by an earlier process", 1, func(_ *testManager, shard *state.Shard) { shard.Owner = "n0" }, true},
		{"owned by another node", 0, func(_ *testManager, shard *state.Shard) { shard.Owner = "n1" }, false},
		{"owner failed, next in the ring", 0, func(m *testManager, shard *state.Shard) {
			shard.Owner, m.peers.failed = "n2", []cluster.NodeID{"n2"}
		}, true},
		{"owner failed, another node is next", 0, func(m *testManager, shard *state.Shard) {
			shard.Owner, m.peers.failed = "n1", []cluster.NodeID{"n1"}
		}, false},
		{"owner and its successor failed", 0, func(m *testManager, shard *state.Shard) {
			shard.Owner, m.peers.failed = "n1", []cluster.NodeID{"n1", "n2"}
		}, true},
		{"owner failed right after acquiring it", 0, func(m *testManager, shard *state.Shard) {
			shard.RecordOwner("n2", 4, 30, m.loop.Now())
			m.peers.failed = []cluster.NodeID{"n2"}
		}, false},
		{"offered back", 0, func(_ *testManager, shard *state.Shard) {
			shard.Owner, shard.FailbackOffered = "n1", true
		}, true},
		{"offered back right after a change of owners", 0, func(m *testManager, shard *state.Shard) {
			shard.RecordOwner("n1", 4, 30, m.loop.Now())
			shard.FailbackOffered = true
		}, false},
		{"owned by this process", 0, func(m *testManager, _ *state.Shard) { m.ownShard(0) }, false},
		{"acquisition in flight", 0, func(_ *testManager, shard *state.Shard) { shard.Acquiring = true }, false},
		{"claim record not read yet", 0, func(_ *testManager, shard *state.Shard) { shard.RecordRead = false }, false},
		{"dropped as corrupt recently", 0, func(m *testManager, shard *state.Shard) {
			shard.PostponeAcquisition(m.loop.Now())
		}, false},
		{"store unavailable", 0, func(m *testManager, _ *state.Shard) {
			m.failStoreSince(m.loop.Now() - 2*second)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestManager()
			shard := m.shards[test.id]
			test.prepare(m, shard)
			m.AcquireIfEligible(shard)
			if got := len(effectsOf[messages.StoreTxn](m)) > 0; got != test.want {
				t.Errorf("acquires the shard: %v, want %v", got, test.want)
			}
		})
	}
}

// TestAcquire checks the compare-and-swap of an acquisition and the ownership that
// follows from its reply.
func TestAcquire(t *testing.T) {
	m := newTestManager()
	shard := m.shards[1]
	m.ApplyClaim(claimKV(1, "n1", 4, "b1-7", 20))
	m.Acquire(shard)
	txn := onlyEffect[messages.StoreTxn](t, m)
	const want = `{"holder":"n0","term":5,"w":"b0-1","up":["n0","n2"]}`
	if len(txn.Then) != 1 || txn.Then[0].Key != "parts/1" || string(txn.Then[0].Value) != want {
		t.Errorf("wrote %s, want %s", txn.Then, want)
	}
	if wantIf := (messages.Compare{Key: "parts/1", ModRevision: 20}); len(txn.If) != 1 || txn.If[0] != wantIf {
		t.Errorf("conditions %v, want %v", txn.If, wantIf)
	}

	m.ApplyClaim(claimKV(1, "n0", 5, "b0-1", 31)) // the watch reports the write before its reply arrives
	if shard.Owned || shard.ModRevision != 20 {
		t.Errorf("before the reply: owned %v, mod revision %d", shard.Owned, shard.ModRevision)
	}
	m.reply(txn.Call, messages.TxnReply{Outcome: messages.OK, Revision: 31})
	if !shard.Owned || shard.Ready || shard.Term != 5 || shard.ModRevision != 31 || shard.ClaimRevision != 31 {
		t.Errorf("after the reply: %+v", shard.ShardOwnership)
	}
	if shard.ConfirmedAt != m.loop.Now() {
		t.Errorf("confirmed as of %v, want the time when the transaction was sent", shard.ConfirmedAt)
	}
	if !slices.Equal(m.loader.loaded, []cluster.ShardID{1}) {
		t.Errorf("loaded shards %v, want shard 1", m.loader.loaded)
	}
}

// TestAcquireReplyAfterLaterClaim checks that a shard is not owned if the reply to its
// acquisition arrives after a later claim of another controller.
func TestAcquireReplyAfterLaterClaim(t *testing.T) {
	m := newTestManager()
	shard := m.shards[0]
	m.Acquire(shard)
	txn := onlyEffect[messages.StoreTxn](t, m)
	m.ApplyClaim(claimKV(0, "n1", 2, "b1-7", 32))
	m.reply(txn.Call, messages.TxnReply{Outcome: messages.OK, Revision: 31})
	if shard.Owned || shard.Acquiring || shard.Owner != "n1" || len(m.loader.loaded) > 0 {
		t.Errorf("%+v, loaded shards %v; want the claim of n1 and no loaded shard", shard.ShardOwnership, m.loader.loaded)
	}
}

// TestAcquireConflict checks that an acquisition that fails on a conflict reads the
// claim record.
func TestAcquireConflict(t *testing.T) {
	m := newTestManager()
	shard := m.shards[0]
	m.Acquire(shard)
	txn := onlyEffect[messages.StoreTxn](t, m)
	m.reply(txn.Call, messages.TxnReply{Outcome: messages.Conflict, FailedKeys: []string{"parts/0"}})
	read := onlyEffect[messages.StoreGet](t, m)
	m.reply(read.Call, messages.GetReply{Outcome: messages.OK, KV: claimKV(0, "n2", 1, "b2-1", 31)})
	if shard.Owned || shard.Acquiring || shard.Owner != "n2" || shard.Term != 1 {
		t.Errorf("after the conflict: %+v, want owner n2 with term 1", shard.ShardOwnership)
	}
}
