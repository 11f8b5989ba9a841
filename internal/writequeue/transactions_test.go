package writequeue

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// testWrite is a write of one key that notes what became of it.
type testWrite struct {
	Write
	applied, conflicts, tooLarge, lost int
}

// newTestWrite makes a write of shard 0 that sets a key.
func newTestWrite(key string) *testWrite {
	w := &testWrite{}
	w.Write = Write{
		ShardID: 0,
		Keys:    []string{key},
		Build: func(writeID string) ([]messages.TxnOp, []cluster.ModRevision) {
			value := []byte(`{"w":"` + writeID + `"}`)
			return []messages.TxnOp{{Key: key, Value: value}}, []cluster.ModRevision{3}
		},
		OnApplied:       func(cluster.Revision) { w.applied++ },
		OnConflict:      func() { w.conflicts++ },
		OnTooLarge:      func() { w.tooLarge++ },
		OnOwnershipLost: func() { w.lost++ },
	}
	return w
}

// check checks how often each outcome was reported.
func (w *testWrite) check(t *testing.T, applied, conflicts, tooLarge, lost int) {
	t.Helper()
	if w.applied != applied || w.conflicts != conflicts || w.tooLarge != tooLarge || w.lost != lost {
		t.Errorf("%s: %d applied, %d conflicts, %d too large, %d lost; want %d, %d, %d, %d",
			w.Keys[0], w.applied, w.conflicts, w.tooLarge, w.lost, applied, conflicts, tooLarge, lost)
	}
}

// dispatched sends what may be sent and returns the transactions.
func dispatched(loop *eventloop.Loop, q *Queue) []messages.StoreTxn {
	loop.Begin(loop.Now(), 0)
	q.Dispatch()
	var transactions []messages.StoreTxn
	for _, effect := range loop.Effects() {
		if transaction, ok := effect.(messages.StoreTxn); ok {
			transactions = append(transactions, transaction)
		}
	}
	return transactions
}

// sendOne sends the only transaction that there is to send.
func sendOne(t *testing.T, loop *eventloop.Loop, q *Queue) messages.StoreTxn {
	t.Helper()
	transactions := dispatched(loop, q)
	if len(transactions) != 1 {
		t.Fatalf("%d transactions sent, want one", len(transactions))
	}
	return transactions[0]
}

// resend lets the pause before a repetition pass and returns what is sent then.
func resend(t *testing.T, loop *eventloop.Loop) messages.StoreTxn {
	t.Helper()
	loop.Begin(loop.Now()+second, 0)
	loop.RunTimers()
	for _, effect := range loop.Effects() {
		if transaction, ok := effect.(messages.StoreTxn); ok {
			return transaction
		}
	}
	t.Fatal("the transaction is not sent again")
	return messages.StoreTxn{}
}

// reply answers a transaction.
func reply(loop *eventloop.Loop, transaction messages.StoreTxn, body messages.TxnReply) {
	loop.Begin(loop.Now(), 0)
	loop.Deliver(messages.Reply{Call: transaction.Call, Body: body})
}

// TestMostUrgentWriteFirst shows that a transaction takes the most urgent writes
// first, those of one priority in their order.
func TestMostUrgentWriteFirst(t *testing.T) {
	loop, q, _ := newTestQueue()
	q.Enqueue(PriorityStart, &newTestWrite("groups/a").Write)
	q.Enqueue(PriorityAdmission, &newTestWrite("jobs/b").Write)
	q.Enqueue(PriorityAdmission, &newTestWrite("jobs/c").Write)
	var keys []string
	for _, operation := range sendOne(t, loop, q).Then {
		keys = append(keys, operation.Key)
	}
	if len(keys) != 3 || keys[0] != "jobs/b" || keys[1] != "jobs/c" || keys[2] != "groups/a" {
		t.Errorf("keys in the order %v", keys)
	}
}

// TestShardWriteIsConditionalOnItsClaim shows that a write of a shard is compared
// with the shard's claim and with its own key, and that it is dropped when the claim
// was lost before its turn.
func TestShardWriteIsConditionalOnItsClaim(t *testing.T) {
	loop, q, ownership := newTestQueue()
	q.Enqueue(PriorityStart, &newTestWrite("groups/a").Write)
	compares := sendOne(t, loop, q).If
	want := []messages.Compare{{Key: "groups/a", ModRevision: 3}, {Key: "parts/0", ModRevision: 7}}
	if len(compares) != len(want) || compares[0] != want[0] || compares[1] != want[1] {
		t.Errorf("compares %v, want %v", compares, want)
	}

	ownership.claim.Owned = false
	late := newTestWrite("groups/b")
	q.Enqueue(PriorityStart, &late.Write)
	if sent := dispatched(loop, q); len(sent) > 0 {
		t.Errorf("sent without a claim: %v", sent)
	}
	late.check(t, 0, 0, 0, 1)
}

// TestKeyInOneTransactionAtATime shows that a write waits while another of its key
// is in flight.
func TestKeyInOneTransactionAtATime(t *testing.T) {
	loop, q, _ := newTestQueue()
	first, second := newTestWrite("groups/a"), newTestWrite("groups/a")
	q.Enqueue(PriorityStart, &first.Write)
	q.Enqueue(PriorityStart, &second.Write)
	transaction := sendOne(t, loop, q)
	if len(transaction.Then) != 1 {
		t.Fatalf("%d changes of one key in a transaction", len(transaction.Then))
	}
	reply(loop, transaction, messages.TxnReply{Outcome: messages.OK, Revision: 9})
	first.check(t, 1, 0, 0, 0)
	sendOne(t, loop, q)
}

// TestConflictSortsWrites shows what a refused transaction means to its writes: a
// conflict to the one whose key has changed, another try to the others.
func TestConflictSortsWrites(t *testing.T) {
	loop, q, ownership := newTestQueue()
	changed, innocent := newTestWrite("groups/a"), newTestWrite("groups/b")
	q.Enqueue(PriorityStart, &changed.Write)
	q.Enqueue(PriorityStart, &innocent.Write)
	transaction := sendOne(t, loop, q)
	reply(loop, transaction, messages.TxnReply{Outcome: messages.Conflict, FailedKeys: []string{"groups/a"}})
	changed.check(t, 0, 1, 0, 0)
	innocent.check(t, 0, 0, 0, 0)
	if len(ownership.deposed) > 0 {
		t.Error("a conflict on another key deposes the owner")
	}
	again := sendOne(t, loop, q)
	reply(loop, again, messages.TxnReply{Outcome: messages.OK, Revision: 9})
	innocent.check(t, 1, 0, 0, 0)
}

// TestChangedClaimDeposesOwner shows that a transaction refused for its shard's
// claim says that another controller has acquired the shard.
func TestChangedClaimDeposesOwner(t *testing.T) {
	loop, q, ownership := newTestQueue()
	write := newTestWrite("groups/a")
	q.Enqueue(PriorityStart, &write.Write)
	transaction := sendOne(t, loop, q)
	reply(loop, transaction, messages.TxnReply{Outcome: messages.Conflict, FailedKeys: []string{"parts/0"}})
	write.check(t, 0, 0, 0, 1)
	if len(ownership.deposed) != 1 || ownership.deposed[0] != 0 {
		t.Errorf("deposed: %v", ownership.deposed)
	}
}

// sendInDoubt sends a write whose first sending gets no answer and whose second is
// refused. It returns the first sending, and the read that is to show whether that
// one was carried out.
func sendInDoubt(t *testing.T, loop *eventloop.Loop, q *Queue, write *testWrite) (messages.StoreTxn, messages.StoreGet) {
	t.Helper()
	q.Enqueue(PriorityStart, &write.Write)
	first := sendOne(t, loop, q)
	reply(loop, first, messages.TxnReply{Outcome: messages.UnknownOutcome})
	again := resend(t, loop)
	if len(again.Then) != 1 || string(again.Then[0].Value) != string(first.Then[0].Value) {
		t.Fatalf("sent again with changes: %v, first %v", again.Then, first.Then)
	}
	reply(loop, again, messages.TxnReply{Outcome: messages.Conflict, FailedKeys: write.Keys})
	read, ok := loop.Effects()[0].(messages.StoreGet)
	if !ok || read.Key != write.Keys[0] {
		t.Fatalf("effects %v, want a read of the key", loop.Effects())
	}
	return first, read
}

// TestTransactionInDoubtWasApplied shows that a conflict of a repeated transaction
// is none where a key shows its write id: it was carried out the first time.
func TestTransactionInDoubtWasApplied(t *testing.T) {
	loop, q, ownership := newTestQueue()
	write := newTestWrite("groups/a")
	first, read := sendInDoubt(t, loop, q, write)
	stored := messages.KV{Key: read.Key, Value: first.Then[0].Value, ModRevision: 11}
	loop.Deliver(messages.Reply{Call: read.Call, Body: messages.GetReply{Outcome: messages.OK, KV: stored}})
	write.check(t, 1, 0, 0, 0)
	if !write.InDoubt {
		t.Error("not marked as in doubt, though a late copy may come")
	}
	want := StoredTransaction{ShardID: 0, Claim: 7, Revision: 11}
	if len(ownership.stored) != 1 || ownership.stored[0] != want {
		t.Errorf("stored %+v, want %+v", ownership.stored, want)
	}
}

// TestTransactionInDoubtWasNotApplied shows that it is a conflict where the key has
// another writer's id.
func TestTransactionInDoubtWasNotApplied(t *testing.T) {
	loop, q, _ := newTestQueue()
	write := newTestWrite("groups/a")
	_, read := sendInDoubt(t, loop, q, write)
	stored := messages.KV{Key: read.Key, Value: []byte(`{"w":"another"}`), ModRevision: 11}
	loop.Deliver(messages.Reply{Call: read.Call, Body: messages.GetReply{Outcome: messages.OK, KV: stored}})
	write.check(t, 0, 1, 0, 0)
}

// TestMalformedTransactionSentApart shows that the writes of a transaction that is
// refused as malformed are sent one by one, and that the one that is refused by
// itself is told so.
func TestMalformedTransactionSentApart(t *testing.T) {
	loop, q, _ := newTestQueue()
	writes := []*testWrite{newTestWrite("groups/a"), newTestWrite("groups/b")}
	for _, write := range writes {
		q.Enqueue(PriorityStart, &write.Write)
	}
	reply(loop, sendOne(t, loop, q), messages.TxnReply{Outcome: messages.Invalid})
	apart := dispatched(loop, q)
	if len(apart) != 2 || len(apart[0].Then) != 1 || len(apart[1].Then) != 1 {
		t.Fatalf("sent apart: %v", apart)
	}
	reply(loop, apart[0], messages.TxnReply{Outcome: messages.Invalid})
	reply(loop, apart[1], messages.TxnReply{Outcome: messages.OK, Revision: 9})
	writes[0].check(t, 0, 0, 1, 0)
	writes[1].check(t, 1, 0, 0, 0)
}

// TestHealth shows what outcomes say of the state service.
func TestHealth(t *testing.T) {
	var health Health
	health.recordRequest(second)
	if health.IsUnresponsive(second + SlowThreshold) {
		t.Error("unresponsive before an answer is slow")
	}
	if !health.IsUnresponsive(second + SlowThreshold + 1) {
		t.Error("responsive though an answer is overdue")
	}
	health.recordOutcome(2*second, messages.OK)
	if health.IsUnresponsive(10*second) || health.IsFailing() {
		t.Error("an answered request leaves it unresponsive or failing")
	}
	for now := 3 * second; now <= 8*second; now += second {
		health.recordRequest(now)
		health.recordOutcome(now, messages.OK)
	}
	if !health.IsStable(8 * second) {
		t.Error("not stable after six seconds of answers")
	}
	health.recordRequest(9 * second)
	health.recordOutcome(9*second, messages.NotApplied)
	if health.IsStable(9*second) || !health.IsUnavailableFor(11*second, second) || health.IsUnavailableFor(10*second, second) {
		t.Error("a failure is not counted from its time on")
	}
	if !health.ShouldProbe(10 * second) {
		t.Error("a failing state service is not probed")
	}
}
