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

// fakePeers are other controllers of which a test says what is known.
type fakePeers struct {
	failed           []cluster.NodeID
	acknowledgements []membership.Acknowledgement
	upgraded         []cluster.NodeID
	writers          []string // the processes whose writes were recorded
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

// fakeShardStore lists the shards that were to be loaded and dropped.
type fakeShardStore struct{ loaded, dropped []cluster.ShardID }

func (s *fakeShardStore) LoadShard(shard *state.Shard) { s.loaded = append(s.loaded, shard.ID) }

func (s *fakeShardStore) DropShard(shard *state.Shard) { s.dropped = append(s.dropped, shard.ID) }

// queueOwnership shows the write queue the shards of a manager, as the controller
// does.
type queueOwnership struct{ manager *Manager }

func (o *queueOwnership) ClaimOf(id cluster.ShardID) writequeue.Claim {
	shard := o.manager.shards[id]
	return writequeue.Claim{Key: shard.Key(), ModRevision: shard.ModRevision, Owned: shard.Owned}
}

func (o *queueOwnership) HandleDeposed(id cluster.ShardID) { o.manager.HandleDeposed(id) }

func (o *queueOwnership) HandleStored(stored writequeue.StoredTransaction) {
	o.manager.RecordConfirmation(o.manager.shards[stored.ShardID], stored.Claim, stored.SentAt)
}

// testManager is the manager of n0, the preferred owner of shard 0, one of three
// controllers, at 100 s. No owner is known.
type testManager struct {
	*Manager
	loop  *eventloop.Loop
	peers *fakePeers
	store *fakeShardStore
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
	peers, store := &fakePeers{upgraded: []cluster.NodeID{"n0", "n2"}}, &fakeShardStore{}
	shards := state.New(nodes, nil).Shards
	for _, shard := range shards {
		shard.RecordRead = true
	}
	m := &testManager{Manager: New(loop, config, shards, queue, peers, store), loop: loop, peers: peers, store: store}
	queueOwnership.manager = m.Manager
	m.advanceTo(100 * second)
	return m
}

// advanceTo begins a step at a time and runs the timers that are due.
func (m *testManager) advanceTo(now cluster.Time) {
	m.loop.Begin(now, 0)
	m.loop.RunTimers()
}

// own makes a shard owned and ready, under claim revision 30 and term 1.
func (m *testManager) own(id cluster.ShardID) *state.Shard {
	shard := m.shards[id]
	shard.BeginOwnership("n0", 1, 30, m.loop.Now())
	m.MarkReady(shard)
	return shard
}

// requests lists the effects of a type of the present step.
func requests[E messages.Effect](m *testManager) []E {
	m.queue.Dispatch()
	var found []E
	for _, effect := range m.loop.Effects() {
		if request, ok := effect.(E); ok {
			found = append(found, request)
		}
	}
	return found
}

// onlyRequest returns the one effect of a type of the present step.
func onlyRequest[E messages.Effect](t *testing.T, m *testManager) E {
	t.Helper()
	found := requests[E](m)
	if len(found) != 1 {
		t.Fatalf("%d requests %T, want 1", len(found), *new(E))
	}
	return found[0]
}

// reply answers a request.
func (m *testManager) reply(call messages.CallID, body messages.ReplyBody) {
	m.loop.Deliver(messages.Reply{Call: call, Body: body})
}

// claimOf is a claim record as the state service shows it.
func claimOf(id cluster.ShardID, owner cluster.NodeID, term cluster.Term, writeID string, revision cluster.ModRevision) messages.KV {
	value := fmt.Appendf(nil, `{"holder":%q,"term":%d,"w":%q}`, owner, term, writeID)
	return messages.KV{Key: fmt.Sprintf("parts/%d", id), Value: value, ModRevision: revision}
}

// outageSince lets the state service fail from a time on.
func (m *testManager) outageSince(at cluster.Time) { m.queue.Health.MarkFailing(at) }

// TestConsiderAcquire shows which shards a controller acquires, and which it leaves
// to others.
func TestConsiderAcquire(t *testing.T) {
	for _, test := range []struct {
		name    string
		id      cluster.ShardID
		prepare func(m *testManager, shard *state.Shard)
		want    bool
	}{
		{"nobody's, preferred owner", 0, func(*testManager, *state.Shard) {}, true},
		{"nobody's, another preferred", 1, func(*testManager, *state.Shard) {}, false},
		{"nobody's, the preferred owner failed, next in the ring", 2, func(m *testManager, _ *state.Shard) {
			m.peers.failed = []cluster.NodeID{"n2"}
		}, true},
		{"nobody's, the preferred owner failed, another is next", 1, func(m *testManager, _ *state.Shard) {
			m.peers.failed = []cluster.NodeID{"n1"}
		}, false},
		{"an earlier process's", 1, func(_ *testManager, shard *state.Shard) { shard.Owner = "n0" }, true},
		{"another's", 0, func(_ *testManager, shard *state.Shard) { shard.Owner = "n1" }, false},
		{"another's that failed, next in the ring", 0, func(m *testManager, shard *state.Shard) {
			shard.Owner, m.peers.failed = "n2", []cluster.NodeID{"n2"}
		}, true},
		{"another's that failed, another is next", 0, func(m *testManager, shard *state.Shard) {
			shard.Owner, m.peers.failed = "n1", []cluster.NodeID{"n1"}
		}, false},
		{"another's that failed as did the next", 0, func(m *testManager, shard *state.Shard) {
			shard.Owner, m.peers.failed = "n1", []cluster.NodeID{"n1", "n2"}
		}, true},
		{"another's that failed, acquired by it just now", 0, func(m *testManager, shard *state.Shard) {
			shard.RecordOwner("n2", 4, 30, m.loop.Now())
			m.peers.failed = []cluster.NodeID{"n2"}
		}, false},
		{"offered back", 0, func(_ *testManager, shard *state.Shard) {
			shard.Owner, shard.FailbackOffered = "n1", true
		}, true},
		{"offered back, acquired by the other just now", 0, func(m *testManager, shard *state.Shard) {
			shard.RecordOwner("n1", 4, 30, m.loop.Now())
			shard.FailbackOffered = true
		}, false},
		{"owned here", 0, func(m *testManager, _ *state.Shard) { m.own(0) }, false},
		{"acquire under way", 0, func(_ *testManager, shard *state.Shard) { shard.Acquiring = true }, false},
		{"claim record not read yet", 0, func(_ *testManager, shard *state.Shard) { shard.RecordRead = false }, false},
		{"given up as corrupt just now", 0, func(m *testManager, shard *state.Shard) {
			shard.PostponeAcquire(m.loop.Now())
		}, false},
		{"during an outage of the state service", 0, func(m *testManager, _ *state.Shard) {
			m.outageSince(m.loop.Now() - 2*second)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestManager()
			shard := m.shards[test.id]
			test.prepare(m, shard)
			m.ConsiderAcquire(shard)
			if got := len(requests[messages.StoreTxn](m)) > 0; got != test.want {
				t.Errorf("acquires: %v, want %v", got, test.want)
			}
		})
	}
}

// TestAcquire shows what an acquire writes, on which condition, and what follows from
// its outcome.
func TestAcquire(t *testing.T) {
	m := newTestManager()
	shard := m.shards[1]
	m.ApplyClaim(claimOf(1, "n1", 4, "b1-7", 20))
	m.Acquire(shard)
	txn := onlyRequest[messages.StoreTxn](t, m)
	const want = `{"holder":"n0","term":5,"w":"b0-1","up":["n0","n2"]}`
	if len(txn.Then) != 1 || txn.Then[0].Key != "parts/1" || string(txn.Then[0].Value) != want {
		t.Errorf("writes %s, want %s", txn.Then, want)
	}
	if wantIf := (messages.Compare{Key: "parts/1", ModRevision: 20}); len(txn.If) != 1 || txn.If[0] != wantIf {
		t.Errorf("on condition of %v, want %v", txn.If, wantIf)
	}

	m.ApplyClaim(claimOf(1, "n0", 5, "b0-1", 31)) // the watch is faster than the answer
	if shard.Owned || shard.ModRevision != 20 {
		t.Errorf("before the answer: owned %v, mod revision %d", shard.Owned, shard.ModRevision)
	}
	m.reply(txn.Call, messages.TxnReply{Outcome: messages.OK, Revision: 31})
	if !shard.Owned || shard.Ready || shard.Term != 5 || shard.ModRevision != 31 || shard.ClaimRevision != 31 {
		t.Errorf("after the answer: %+v", shard.ShardOwnership)
	}
	if shard.ConfirmedAt != m.loop.Now() {
		t.Errorf("confirmed as of %v, want the sending of the transaction", shard.ConfirmedAt)
	}
	if !slices.Equal(m.store.loaded, []cluster.ShardID{1}) {
		t.Errorf("loads shards %v", m.store.loaded)
	}
}

// TestAcquireOvertaken shows that an acquire whose answer comes after a later claim of
// another controller does not make this one the owner.
func TestAcquireOvertaken(t *testing.T) {
	m := newTestManager()
	shard := m.shards[0]
	m.Acquire(shard)
	txn := onlyRequest[messages.StoreTxn](t, m)
	m.ApplyClaim(claimOf(0, "n1", 2, "b1-7", 32))
	m.reply(txn.Call, messages.TxnReply{Outcome: messages.OK, Revision: 31})
	if shard.Owned || shard.Acquiring || shard.Owner != "n1" || len(m.store.loaded) > 0 {
		t.Errorf("%+v, loads shards %v", shard.ShardOwnership, m.store.loaded)
	}
}

// TestAcquireConflict shows that a controller whose acquire comes too late reads who
// was first.
func TestAcquireConflict(t *testing.T) {
	m := newTestManager()
	shard := m.shards[0]
	m.Acquire(shard)
	txn := onlyRequest[messages.StoreTxn](t, m)
	m.reply(txn.Call, messages.TxnReply{Outcome: messages.Conflict, FailedKeys: []string{"parts/0"}})
	read := onlyRequest[messages.StoreGet](t, m)
	m.reply(read.Call, messages.GetReply{Outcome: messages.OK, KV: claimOf(0, "n2", 1, "b2-1", 31)})
	if shard.Owned || shard.Acquiring || shard.Owner != "n2" || shard.Term != 1 {
		t.Errorf("%+v", shard.ShardOwnership)
	}
}

// TestDeposed shows from what an owner learns that it has lost a shard, and that it
// gives up all that depends on it.
func TestDeposed(t *testing.T) {
	for _, test := range []struct {
		name  string
		learn func(m *testManager)
		want  bool
	}{
		{"another's claim record", func(m *testManager) { m.ApplyClaim(claimOf(0, "n1", 2, "b1-7", 31)) }, true},
		{"an earlier process's claim record", func(m *testManager) { m.ApplyClaim(claimOf(0, "n0", 2, "b9-7", 31)) }, true},
		{"this process's claim record", func(m *testManager) { m.ApplyClaim(claimOf(0, "n0", 2, "b0-7", 31)) }, false},
		{"a claim record before ours", func(m *testManager) { m.ApplyClaim(claimOf(0, "n1", 2, "b1-7", 29)) }, false},
		{"a peer owns it under a later term", func(m *testManager) {
			m.ApplyPing("n1", &messages.Ping{Shards: []messages.ShardTerm{{Shard: 0, Term: 2}}})
		}, true},
		{"a peer owns it under our term", func(m *testManager) {
			m.ApplyPing("n1", &messages.Ping{Shards: []messages.ShardTerm{{Shard: 0, Term: 1}}})
		}, false},
		{"a peer knows a later term", func(m *testManager) {
			m.ApplyPing("n1", &messages.Ping{KnownTerms: []cluster.Term{2, 0, 0}})
		}, true},
		{"a peer knows our term", func(m *testManager) {
			m.ApplyPing("n1", &messages.Ping{KnownTerms: []cluster.Term{1, 0, 0}})
		}, false},
		{"numbers of no shard", func(m *testManager) {
			m.ApplyPing("n1", &messages.Ping{
				Shards:         []messages.ShardTerm{{Shard: -1, Term: 9}, {Shard: 3, Term: 9}},
				FailbackOffers: []cluster.ShardID{-1, 3},
				KnownTerms:     []cluster.Term{1, 0, 0, 9},
			})
			m.ApplyClaim(claimOf(3, "n1", 9, "b1-7", 31))
		}, false},
		{"a corrupt record", func(m *testManager) { m.GiveUpCorrupt(m.shards[0], "groups/g", "test") }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestManager()
			shard := m.own(0)
			loss := m.watchLoss(shard)
			test.learn(m)
			if shard.Owned == test.want || shard.Ready == test.want {
				t.Fatalf("owned %v, ready %v", shard.Owned, shard.Ready)
			}
			loss.check(t, m, test.want)
		})
	}
}

// observedLoss is what was seen of the loss of shard 0.
type observedLoss struct {
	checkAnswers  []bool // of an ownership check that waited
	lostWrites    int    // queued writes that were told of it
	changesBefore int
}

// watchLoss lets an ownership check and a write wait while shard 0 is lost.
func (m *testManager) watchLoss(shard *state.Shard) *observedLoss {
	loss := &observedLoss{changesBefore: m.Changes()}
	m.Confirm(shard, func(owned bool) { loss.checkAnswers = append(loss.checkAnswers, owned) })
	m.queue.Enqueue(writequeue.PriorityStart, &writequeue.Write{
		Keys:            []string{"groups/g"},
		Build:           func(string) ([]messages.TxnOp, []cluster.ModRevision) { return nil, nil },
		OnOwnershipLost: func() { loss.lostWrites++ },
	})
	return loss
}

// check compares what was seen with what should follow from a loss, or from none.
func (o *observedLoss) check(t *testing.T, m *testManager, lost bool) {
	t.Helper()
	var wantAnswers []bool
	var wantDropped []cluster.ShardID
	wantWrites, wantChanges := 0, 0
	if lost {
		wantAnswers, wantDropped, wantWrites, wantChanges = []bool{false}, []cluster.ShardID{0}, 1, 1
	}
	if !slices.Equal(o.checkAnswers, wantAnswers) {
		t.Errorf("the ownership check was answered %v, want %v", o.checkAnswers, wantAnswers)
	}
	if !slices.Equal(m.store.dropped, wantDropped) {
		t.Errorf("dropped shards %v, want %v", m.store.dropped, wantDropped)
	}
	if o.lostWrites != wantWrites {
		t.Errorf("%d writes were told of the loss, want %d", o.lostWrites, wantWrites)
	}
	if changes := m.Changes() - o.changesBefore; changes != wantChanges {
		t.Errorf("%d changes were counted, want %d", changes, wantChanges)
	}
	readsClaim := slices.ContainsFunc(requests[messages.StoreGet](m), func(read messages.StoreGet) bool {
		return read.Key == "parts/0"
	})
	if lost && !readsClaim {
		t.Error("does not read who owns the shard now")
	}
}

// TestPeerClaim shows what follows from a peer's ping that names a later term of a
// shard which is not owned here.
func TestPeerClaim(t *testing.T) {
	for _, acquiring := range []bool{false, true} {
		m := newTestManager()
		shard := m.shards[0]
		shard.RecordOwner("n1", 4, 20, m.loop.Now())
		shard.Acquiring = acquiring
		m.ApplyPing("n2", &messages.Ping{Shards: []messages.ShardTerm{{Shard: 0, Term: 5}}})
		owner, term, reads := cluster.NodeID("n2"), cluster.Term(5), 1
		if acquiring { // the acquire's outcome will tell
			owner, term, reads = "n1", 4, 0
		}
		if shard.Owner != owner || shard.Term != term || shard.ModRevision != 20 {
			t.Errorf("acquiring %v: %+v", acquiring, shard.ShardOwnership)
		}
		if got := len(requests[messages.StoreGet](m)); got != reads {
			t.Errorf("acquiring %v: %d reads of the claim record, want %d", acquiring, got, reads)
		}
	}
}

// TestRecordConfirmation shows that a confirmation counts only for the claim in force,
// and never moves back.
func TestRecordConfirmation(t *testing.T) {
	for _, test := range []struct {
		name    string
		owned   bool
		claim   cluster.ModRevision
		begunAt cluster.Time
		want    cluster.Time
	}{
		{"later", true, 30, 91 * second, 91 * second},
		{"earlier", true, 30, 89 * second, 90 * second},
		{"another claim", true, 29, 91 * second, 90 * second},
		{"not owned", false, 30, 91 * second, 90 * second},
	} {
		m := newTestManager()
		shard := m.own(0)
		shard.Owned, shard.ConfirmedAt = test.owned, 90*second
		m.RecordConfirmation(shard, test.claim, test.begunAt)
		if shard.ConfirmedAt != test.want {
			t.Errorf("%s: confirmed as of %v, want %v", test.name, shard.ConfirmedAt, test.want)
		}
	}
}

// TestHandleForeignWrite shows that a record which another writer changed is found
// corrupt only if this controller still owns the shard.
func TestHandleForeignWrite(t *testing.T) {
	for _, test := range []struct {
		name        string
		claim       messages.KV
		wantCorrupt int
	}{
		{"acquired by another", claimOf(0, "n1", 2, "b1-7", 31), 0},
		{"still ours", claimOf(0, "n0", 1, "b0-1", 30), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestManager()
			shard := m.own(0)
			m.HandleForeignWrite(shard, "groups/g", "test")
			failed := onlyRequest[messages.StoreGet](t, m)
			m.reply(failed.Call, messages.GetReply{Outcome: messages.UnknownOutcome})
			if !shard.Owned {
				t.Fatal("given up though nothing was read")
			}
			m.advanceTo(m.loop.Now() + foreignWriteRetryPause)
			read := onlyRequest[messages.StoreGet](t, m)
			m.reply(read.Call, messages.GetReply{Outcome: messages.OK, KV: test.claim})
			if shard.Owned || shard.CorruptRecordCount != test.wantCorrupt {
				t.Errorf("owned %v, %d times corrupt, want %d", shard.Owned, shard.CorruptRecordCount, test.wantCorrupt)
			}
		})
	}
}

// TestFailbackOffered shows when a shard is offered back to its preferred owner.
func TestFailbackOffered(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(m *testManager, shard *state.Shard, to *fakePeer)
		want    bool
	}{
		{"idle, both settled", func(*testManager, *state.Shard, *fakePeer) {}, true},
		{"not its preferred owner", func(_ *testManager, _ *state.Shard, to *fakePeer) { to.id = "n2" }, false},
		{"not ready", func(_ *testManager, shard *state.Shard, _ *fakePeer) { shard.Ready = false }, false},
		{"not owned", func(_ *testManager, shard *state.Shard, _ *fakePeer) { shard.Owned = false }, false},
		{"peer unreachable", func(_ *testManager, _ *state.Shard, to *fakePeer) { to.unreachable = true }, false},
		{"peer not healthy for long", func(_ *testManager, _ *state.Shard, to *fakePeer) { to.healthyFor = 4 * second }, false},
		{"owned not for long", func(m *testManager, shard *state.Shard, _ *fakePeer) {
			shard.OwnershipChangedAt = m.loop.Now() - 4*second
		}, false},
		{"all the work", func(_ *testManager, shard *state.Shard, _ *fakePeer) {
			shard.Jobs = []*state.Job{{}}
		}, false},
		{"some of the work", func(m *testManager, shard *state.Shard, _ *fakePeer) {
			shard.Jobs = []*state.Job{{}}
			m.own(0).Machines = []*state.Machine{{}}
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newTestManager()
			shard, to := m.own(1), &fakePeer{id: "n1", healthyFor: 5 * second}
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

// fakePeer is a peer that a ping goes to.
type fakePeer struct {
	id          cluster.NodeID
	unreachable bool
	healthyFor  cluster.Time
}

func (p *fakePeer) ID() cluster.NodeID { return p.id }

func (p *fakePeer) IsUnreachable() bool { return p.unreachable }

func (p *fakePeer) IsHealthyFor(duration cluster.Time) bool { return p.healthyFor > duration }

// TestFailbackOfferApplied shows that an offer counts only from the shard's owner to
// its preferred owner, and until that owner changes its mind.
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
		t.Error("still counts as offered back")
	}
}

// TestConfirmSharesReads shows that a read of the claim record serves all ownership
// checks that were asked for before it began, and none asked for later.
func TestConfirmSharesReads(t *testing.T) {
	m := newTestManager()
	shard := m.own(0)
	var answered []string
	ask := func(name string) {
		m.Confirm(shard, func(owned bool) { answered = append(answered, fmt.Sprint(name, " ", owned)) })
	}
	ask("first")
	ask("second")
	m.advanceTo(m.loop.Now())
	read := onlyRequest[messages.StoreGet](t, m)
	ask("third")
	kv := claimOf(0, "n0", 1, "b0-1", 30)
	m.reply(read.Call, messages.GetReply{Outcome: messages.OK, KV: kv})
	if want := []string{"first true", "second true"}; !slices.Equal(answered, want) {
		t.Errorf("answered %v, want %v", answered, want)
	}
	if shard.ConfirmedAt != m.loop.Now() {
		t.Errorf("confirmed as of %v", shard.ConfirmedAt)
	}

	m.advanceTo(m.loop.Now() + checkInterval - 1)
	if early := requests[messages.StoreGet](m); len(early) > 0 {
		t.Error("read again before the interval has passed")
	}
	m.advanceTo(m.loop.Now() + 1)
	read = onlyRequest[messages.StoreGet](t, m)
	m.reply(read.Call, messages.GetReply{Outcome: messages.UnknownOutcome})
	if want := []string{"first true", "second true", "third false"}; !slices.Equal(answered, want) {
		t.Errorf("answered %v, want %v", answered, want)
	}
}

// TestConfirmDuringOutage shows that an ownership check fails at once while the state
// service does not serve this controller.
func TestConfirmDuringOutage(t *testing.T) {
	m := newTestManager()
	shard := m.own(0)
	m.outageSince(m.loop.Now() - 2*second)
	answers := 0
	m.Confirm(shard, func(owned bool) {
		answers++
		if owned {
			t.Error("confirmed")
		}
	})
	if answers != 1 || len(requests[messages.StoreGet](m)) > 0 {
		t.Errorf("%d answers, %d reads", answers, len(requests[messages.StoreGet](m)))
	}
}

// TestRenewLeases shows that the claim records are read of just those owned shards
// whose last confirmation is old.
func TestRenewLeases(t *testing.T) {
	m := newTestManager()
	m.own(0).ConfirmedAt = m.loop.Now() - 2*second - 1
	m.own(1).ConfirmedAt = m.loop.Now() - 2*second
	m.peers.acknowledgements = []membership.Acknowledgement{{}}
	m.RenewLeases()
	if read := onlyRequest[messages.StoreGet](t, m); read.Key != "parts/0" {
		t.Errorf("reads %s", read.Key)
	}
}

// TestStartFollowsClaims shows that a new process reads all claim records, acquires
// what it may and follows the changes, and reads all again after it has missed some.
func TestStartFollowsClaims(t *testing.T) {
	m := newTestManager()
	m.Start()
	list := onlyRequest[messages.StoreList](t, m)
	m.reply(list.Call, messages.ListReply{Outcome: messages.UnknownOutcome})
	m.advanceTo(m.loop.Now() + claimListRetryPause)
	list = onlyRequest[messages.StoreList](t, m)
	m.reply(list.Call, messages.ListReply{
		Outcome:  messages.OK,
		Revision: 40,
		Items:    []messages.KV{claimOf(0, "n0", 3, "b9-7", 20), claimOf(1, "n1", 4, "b1-7", 21)},
	})
	if got := onlyRequest[messages.StoreTxn](t, m).Then[0].Key; got != "parts/0" {
		t.Errorf("acquires %s, want the shard of its earlier process", got)
	}
	if m.shards[1].Owner != "n1" || m.shards[1].Term != 4 {
		t.Errorf("shard 1: %+v", m.shards[1].ShardOwnership)
	}
	if want := []string{"b9", "b1"}; !slices.Equal(m.peers.writers, want) {
		t.Errorf("writes of %v recorded, want %v", m.peers.writers, want)
	}

	watch := onlyRequest[messages.StoreWatch](t, m)
	if watch.SinceRevision != 40 {
		t.Errorf("follows the changes after %d", watch.SinceRevision)
	}
	m.reply(watch.Call, messages.WatchReply{Outcome: messages.Compacted})
	m.advanceTo(m.loop.Now() + claimWatchPause)
	onlyRequest[messages.StoreList](t, m)
}

// TestUnreadableClaim shows that a claim record which makes no sense changes nothing.
func TestUnreadableClaim(t *testing.T) {
	for _, value := range []string{`{`, `{"term":7}`, `{"holder":7}`} {
		m := newTestManager()
		shard := m.own(0)
		m.ApplyClaim(messages.KV{Key: shard.Key(), Value: []byte(value), ModRevision: 31})
		if !shard.Owned || shard.Term != 1 || shard.ModRevision != 30 {
			t.Errorf("%s: %+v", value, shard.ShardOwnership)
		}
		if lines := requests[messages.Log](m); len(lines) != 1 || lines[0].Level != messages.LogError {
			t.Errorf("%s: logged %v", value, lines)
		}
	}
}
