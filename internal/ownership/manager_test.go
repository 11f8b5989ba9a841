package ownership

import (
	"fmt"
	"slices"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
	"stairrelay/internal/writequeue"
)

// fakePeers provides the state of the other controllers as set by a test.
type fakePeers struct {
	failed           []cluster.NodeID
	acknowledgements []membership.Acknowledgement
	upgraded         []cluster.NodeID
	writers          []string // instance IDs passed to RecordWrite
}

func (p *fakePeers) IsFailed(node cluster.NodeID) bool { return slices.Contains(p.failed, node) }

func (p *fakePeers) AppendAcknowledgements(to []membership.Acknowledgement) []membership.Acknowledgement {
	return append(to, p.acknowledgements...)
}

func (p *fakePeers) RecordWrite(instanceID string) { p.writers = append(p.writers, instanceID) }

func (p *fakePeers) RecordUpgraded(nodes ...cluster.NodeID) {
	p.upgraded = append(p.upgraded, nodes...)
}

func (p *fakePeers) UpgradedNodes() []cluster.NodeID { return p.upgraded }

// fakeShardLoader records the shards loaded and dropped.
type fakeShardLoader struct{ loaded, dropped []cluster.ShardID }

func (s *fakeShardLoader) LoadShard(shard *state.Shard) { s.loaded = append(s.loaded, shard.ID) }

func (s *fakeShardLoader) DropShard(shard *state.Shard) { s.dropped = append(s.dropped, shard.ID) }

// queueOwnership connects a manager to its write queue as the controller does.
type queueOwnership struct{ manager *Manager }

func (o *queueOwnership) ClaimOf(id cluster.ShardID) writequeue.Claim {
	shard := o.manager.shards[id]
	return writequeue.Claim{Key: shard.Key(), ModRevision: shard.ModRevision, Owned: shard.Owned}
}

func (o *queueOwnership) HandleDeposed(id cluster.ShardID) { o.manager.HandleDeposed(id) }

func (o *queueOwnership) HandleStored(stored writequeue.StoredTransaction) {
	o.manager.RecordConfirmation(o.manager.shards[stored.ShardID], stored.Claim, stored.SentAt)
}

// testManager is the manager of n0, which is one of three controllers and the preferred
// owner of shard 0. Its time starts at 100 s, and no owners are known.
type testManager struct {
	*Manager
	loop   *eventloop.Loop
	peers  *fakePeers
	loader *fakeShardLoader
}

func newTestManager() *testManager {
	nodes := []cluster.NodeID{"n0", "n1", "n2"}
	config := Config{
		Self:           "n0",
		Nodes:          nodes,
		InstanceID:     "b0",
		CancelDeadline: 37 * second,
		WorkerLease:    22 * second,
		FailbackDelay:  4 * second,
	}
	loop, queueOwnership := eventloop.New(), &queueOwnership{}
	queue := writequeue.New(loop, writequeue.Config{
		InstanceID:    "b0",
		RequestRPS:    100,
		WriteRPS:      25,
		BudgetShare:   0.9,
		MaxTxnOps:     20,
		Controllers:   len(nodes),
		ShareByDemand: func(limit, _ float64, live int) float64 { return limit / float64(live) },
	}, queueOwnership)
	peers, loader := &fakePeers{upgraded: []cluster.NodeID{"n0", "n2"}}, &fakeShardLoader{}
	shards := state.New(nodes, nil).Shards
	for _, shard := range shards {
		shard.RecordRead = true
	}
	m := &testManager{Manager: New(loop, config, shards, queue, peers, loader), loop: loop, peers: peers, loader: loader}
	queueOwnership.manager = m.Manager
	m.advanceTo(100 * second)
	return m
}

// advanceTo starts a step of the event loop at now and runs the timers that are due.
func (m *testManager) advanceTo(now cluster.Time) {
	m.loop.Begin(now, 0)
	m.loop.RunTimers()
}

// ownShard makes a shard owned and ready, with claim revision 30 and term 1.
func (m *testManager) ownShard(id cluster.ShardID) *state.Shard {
	shard := m.shards[id]
	shard.BeginOwnership("n0", 1, 30, m.loop.Now())
	m.MarkReady(shard)
	return shard
}

// effectsOf dispatches the write queue and returns the effects of type E of the current
// step.
func effectsOf[E messages.Effect](m *testManager) []E {
	m.queue.Dispatch()
	var found []E
	for _, effect := range m.loop.Effects() {
		if match, ok := effect.(E); ok {
			found = append(found, match)
		}
	}
	return found
}

// onlyEffect returns the effect of type E of the current step, which must be the only
// one.
func onlyEffect[E messages.Effect](t *testing.T, m *testManager) E {
	t.Helper()
	found := effectsOf[E](m)
	if len(found) != 1 {
		t.Fatalf("%d effects of type %T, want 1", len(found), *new(E))
	}
	return found[0]
}

// reply delivers the reply to a request.
func (m *testManager) reply(call messages.CallID, body messages.ReplyBody) {
	m.loop.Deliver(messages.Reply{Call: call, Body: body})
}

// claimKV returns a stored claim record.
func claimKV(id cluster.ShardID, owner cluster.NodeID, term cluster.Term, writeID string, revision cluster.ModRevision) messages.KV {
	value := fmt.Appendf(nil, `{"holder":%q,"term":%d,"w":%q}`, owner, term, writeID)
	return messages.KV{Key: fmt.Sprintf("parts/%d", id), Value: value, ModRevision: revision}
}

// failStoreSince marks the store as failing since the given time.
func (m *testManager) failStoreSince(at cluster.Time) { m.queue.Health.MarkFailing(at) }

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

// TestRecordConfirmation checks that a confirmation counts only for the current claim
// and never moves ConfirmedAt back.
func TestRecordConfirmation(t *testing.T) {
	for _, test := range []struct {
		name   string
		owned  bool
		claim  cluster.ModRevision
		sentAt cluster.Time
		want   cluster.Time
	}{
		{"later", true, 30, 91 * second, 91 * second},
		{"earlier", true, 30, 89 * second, 90 * second},
		{"other claim", true, 29, 91 * second, 90 * second},
		{"not owned", false, 30, 91 * second, 90 * second},
	} {
		m := newTestManager()
		shard := m.ownShard(0)
		shard.Owned, shard.ConfirmedAt = test.owned, 90*second
		m.RecordConfirmation(shard, test.claim, test.sentAt)
		if shard.ConfirmedAt != test.want {
			t.Errorf("%s: confirmed as of %v, want %v", test.name, shard.ConfirmedAt, test.want)
		}
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

// TestFailbackOffered checks when a shard is offered back to its preferred owner.
func TestFailbackOffered(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(m *testManager, shard *state.Shard, to *fakePeer)
		want    bool
	}{
		{"idle shard, healthy peer", func(*testManager, *state.Shard, *fakePeer) {}, true},
		{"peer is not the preferred owner", func(_ *testManager, _ *state.Shard, to *fakePeer) { to.id = "n2" }, false},
		{"shard not ready", func(_ *testManager, shard *state.Shard, _ *fakePeer) { shard.Ready = false }, false},
		{"shard not owned", func(_ *testManager, shard *state.Shard, _ *fakePeer) { shard.Owned = false }, false},
		{"peer unreachable", func(_ *testManager, _ *state.Shard, to *fakePeer) { to.unreachable = true }, false},
		{"peer healthy only recently", func(_ *testManager, _ *state.Shard, to *fakePeer) { to.healthyFor = 4 * second }, false},
		{"owner changed recently", func(m *testManager, shard *state.Shard, _ *fakePeer) {
			shard.OwnershipChangedAt = m.loop.Now() - 4*second
		}, false},
		{"the only busy shard", func(_ *testManager, shard *state.Shard, _ *fakePeer) {
			shard.Jobs = []*state.Job{{}}
		}, false},
		{"one of two busy shards", func(m *testManager, shard *state.Shard, _ *fakePeer) {
			shard.Jobs = []*state.Job{{}}
			m.ownShard(0).Machines = []*state.Machine{{}}
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestManager()
			shard, to := m.ownShard(1), &fakePeer{id: "n1", healthyFor: 5 * second}
			m.advanceTo(m.loop.Now() + 10*second)
			test.prepare(m, shard, to)
			ping := &messages.Ping{}
			m.DescribeOwnership(to, ping)
			if got := slices.Contains(ping.FailbackOffers, shard.ID); got != test.want {
				t.Errorf("offered: %v, want %v", got, test.want)
			}
		})
	}
}

// fakePeer is the recipient of a ping.
type fakePeer struct {
	id          cluster.NodeID
	unreachable bool
	healthyFor  cluster.Time
}

func (p *fakePeer) ID() cluster.NodeID { return p.id }

func (p *fakePeer) IsUnreachable() bool { return p.unreachable }

func (p *fakePeer) IsHealthyFor(duration cluster.Time) bool { return p.healthyFor > duration }

// TestFailbackOfferApplied checks that an offer counts only from the shard's owner to
// its preferred owner, and only until the owner's next ping without it.
func TestFailbackOfferApplied(t *testing.T) {
	m := newTestManager()
	for id, owner := range []cluster.NodeID{"n1", "n2", "n1"} {
		m.shards[id].RecordOwner(owner, 4, 20, m.loop.Now())
	}
	m.ApplyPing("n1", &messages.Ping{FailbackOffers: []cluster.ShardID{0, 1, 2}})
	for id, want := range []bool{true, false, false} {
		if m.shards[id].FailbackOffered != want {
			t.Errorf("shard %d offered back: %v, want %v", id, !want, want)
		}
	}
	m.ApplyPing("n1", &messages.Ping{Shards: []messages.ShardTerm{{Shard: 0, Term: 4}}})
	if m.shards[0].FailbackOffered {
		t.Error("shard 0 still offered back after a ping without the offer")
	}
	m.shards[0].RecordOwner("n2", 5, 30, m.loop.Now())
	m.ApplyPing("n1", &messages.Ping{FailbackOffers: []cluster.ShardID{0}})
	if m.shards[0].FailbackOffered {
		t.Error("shard 0 offered back by a late ping of a former owner")
	}
}

// TestOwnershipChecksShareReads checks that pending ownership checks share a read, and
// that a read does not answer a check requested after its start.
func TestOwnershipChecksShareReads(t *testing.T) {
	m := newTestManager()
	shard := m.ownShard(0)
	var answered []string
	ask := func(name string) {
		m.ConfirmOwnership(shard, func(owned bool) { answered = append(answered, fmt.Sprint(name, " ", owned)) })
	}
	ask("first")
	ask("second")
	m.advanceTo(m.loop.Now())
	read := onlyEffect[messages.StoreGet](t, m)
	ask("third")
	kv := claimKV(0, "n0", 1, "b0-1", 30)
	m.reply(read.Call, messages.GetReply{Outcome: messages.OK, KV: kv})
	if want := []string{"first true", "second true"}; !slices.Equal(answered, want) {
		t.Errorf("answered %v, want %v", answered, want)
	}
	if shard.ConfirmedAt != m.loop.Now() {
		t.Errorf("confirmed as of %v, want now", shard.ConfirmedAt)
	}

	m.advanceTo(m.loop.Now() + minCheckInterval - 1)
	if early := effectsOf[messages.StoreGet](m); len(early) > 0 {
		t.Error("read again before the minimum interval has passed")
	}
	m.advanceTo(m.loop.Now() + 1)
	read = onlyEffect[messages.StoreGet](t, m)
	m.reply(read.Call, messages.GetReply{Outcome: messages.UnknownOutcome})
	if want := []string{"first true", "second true", "third false"}; !slices.Equal(answered, want) {
		t.Errorf("answered %v, want %v", answered, want)
	}
}

// TestOwnershipCheckDuringOutage checks that an ownership check reports false
// immediately, without a read, while the store is unavailable.
func TestOwnershipCheckDuringOutage(t *testing.T) {
	m := newTestManager()
	shard := m.ownShard(0)
	m.failStoreSince(m.loop.Now() - 2*second)
	results := 0
	m.ConfirmOwnership(shard, func(owned bool) {
		results++
		if owned {
			t.Error("ownership confirmed")
		}
	})
	if results != 1 || len(effectsOf[messages.StoreGet](m)) > 0 {
		t.Errorf("%d results and %d reads, want one result and no read", results, len(effectsOf[messages.StoreGet](m)))
	}
}

// TestRenewLeases checks that only claim records whose last confirmation is too old are
// read.
func TestRenewLeases(t *testing.T) {
	m := newTestManager()
	m.ownShard(0).ConfirmedAt = m.loop.Now() - 2*second - 1
	m.ownShard(1).ConfirmedAt = m.loop.Now() - 2*second
	m.peers.acknowledgements = []membership.Acknowledgement{{}}
	m.RenewLeases()
	if read := onlyEffect[messages.StoreGet](t, m); read.Key != "parts/0" {
		t.Errorf("read %s, want parts/0", read.Key)
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
