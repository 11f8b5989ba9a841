package ownership

import (
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// TestOwnershipLost checks which events end the ownership of a shard, and that pending
// ownership checks and writes fail then.
func TestOwnershipLost(t *testing.T) {
	for _, test := range []struct {
		name  string
		event func(m *testManager)
		want  bool
	}{
		{"claim record of another node", func(m *testManager) { m.ApplyClaim(claimKV(0, "n1", 2, "b1-7", 31)) }, true},
		{"claim record of an earlier process", func(m *testManager) { m.ApplyClaim(claimKV(0, "n0", 2, "b9-7", 31)) }, true},
		{"claim record of this process", func(m *testManager) { m.ApplyClaim(claimKV(0, "n0", 2, "b0-7", 31)) }, false},
		{"earlier claim record of another node", func(m *testManager) { m.ApplyClaim(claimKV(0, "n1", 2, "b1-7", 29)) }, false},
		{"peer owns it with a later term", func(m *testManager) {
			m.ApplyPing("n1", &messages.Ping{Shards: []messages.ShardTerm{{Shard: 0, Term: 2}}})
		}, true},
		{"peer owns it with the same term", func(m *testManager) {
			m.ApplyPing("n1", &messages.Ping{Shards: []messages.ShardTerm{{Shard: 0, Term: 1}}})
		}, false},
		{"peer knows a later term", func(m *testManager) {
			m.ApplyPing("n1", &messages.Ping{KnownTerms: []cluster.Term{2, 0, 0}})
		}, true},
		{"peer knows the same term", func(m *testManager) {
			m.ApplyPing("n1", &messages.Ping{KnownTerms: []cluster.Term{1, 0, 0}})
		}, false},
		{"invalid shard IDs", func(m *testManager) {
			m.ApplyPing("n1", &messages.Ping{
				Shards:         []messages.ShardTerm{{Shard: -1, Term: 9}, {Shard: 3, Term: 9}},
				FailbackOffers: []cluster.ShardID{-1, 3},
				KnownTerms:     []cluster.Term{1, 0, 0, 9},
			})
			m.ApplyClaim(claimKV(3, "n1", 9, "b1-7", 31))
		}, false},
		{"corrupt record", func(m *testManager) { m.DropCorruptShard(m.shards[0], "groups/g", "test") }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestManager()
			shard := m.ownShard(0)
			loss := m.observeLoss(shard)
			test.event(m)
			if shard.Owned == test.want || shard.Ready == test.want {
				t.Fatalf("owned %v, ready %v", shard.Owned, shard.Ready)
			}
			loss.check(t, m, test.want)
		})
	}
}

// observedLoss records the effects of the loss of shard 0.
type observedLoss struct {
	checkResults  []bool // results of the pending ownership check
	lostWrites    int    // queued writes that failed because of the loss
	changesBefore int
}

// observeLoss starts an ownership check and a write that are pending when shard 0 is
// lost.
func (m *testManager) observeLoss(shard *state.Shard) *observedLoss {
	loss := &observedLoss{changesBefore: m.Changes()}
	m.ConfirmOwnership(shard, func(owned bool) { loss.checkResults = append(loss.checkResults, owned) })
	m.queue.Enqueue(writequeue.PriorityStart, &writequeue.Write{
		Keys:            []string{"groups/g"},
		Build:           func(string) ([]messages.TxnOp, []cluster.ModRevision) { return nil, nil },
		OnOwnershipLost: func() { loss.lostWrites++ },
	})
	return loss
}

// check compares the observed effects with those expected of a loss, or of none.
func (o *observedLoss) check(t *testing.T, m *testManager, lost bool) {
	t.Helper()
	var wantResults []bool
	var wantDropped []cluster.ShardID
	wantWrites, wantChanges := 0, 0
	if lost {
		wantResults, wantDropped, wantWrites, wantChanges = []bool{false}, []cluster.ShardID{0}, 1, 1
	}
	if !slices.Equal(o.checkResults, wantResults) {
		t.Errorf("results of the ownership check %v, want %v", o.checkResults, wantResults)
	}
	if !slices.Equal(m.loader.dropped, wantDropped) {
		t.Errorf("dropped shards %v, want %v", m.loader.dropped, wantDropped)
	}
	if o.lostWrites != wantWrites {
		t.Errorf("%d writes failed because of the loss, want %d", o.lostWrites, wantWrites)
	}
	if changes := m.Changes() - o.changesBefore; changes != wantChanges {
		t.Errorf("%d changes counted, want %d", changes, wantChanges)
	}
	readsClaim := slices.ContainsFunc(effectsOf[messages.StoreGet](m), func(read messages.StoreGet) bool {
		return read.Key == "parts/0"
	})
	if lost && !readsClaim {
		t.Error("the claim record is not read after the loss")
	}
}

// TestHandleForeignWrite checks that a record modified by another writer counts as
// corrupt only if this controller still owns the shard.
func TestHandleForeignWrite(t *testing.T) {
	for _, test := range []struct {
		name        string
		claim       messages.KV
		wantCorrupt int
	}{
		{"acquired by another node", claimKV(0, "n1", 2, "b1-7", 31), 0},
		{"still owned here", claimKV(0, "n0", 1, "b0-1", 30), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestManager()
			shard := m.ownShard(0)
			m.HandleForeignWrite(shard, "groups/g", "test")
			failed := onlyEffect[messages.StoreGet](t, m)
			m.reply(failed.Call, messages.GetReply{Outcome: messages.UnknownOutcome})
			if !shard.Owned {
				t.Fatal("shard dropped after a failed read")
			}
			m.advanceTo(m.loop.Now() + foreignWriteRetryDelay)
			read := onlyEffect[messages.StoreGet](t, m)
			m.reply(read.Call, messages.GetReply{Outcome: messages.OK, KV: test.claim})
			if shard.Owned || shard.CorruptRecordCount != test.wantCorrupt {
				t.Errorf("owned %v, corrupt record count %d, want %d", shard.Owned, shard.CorruptRecordCount, test.wantCorrupt)
			}
		})
	}
}
