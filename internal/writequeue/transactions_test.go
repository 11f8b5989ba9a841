package writequeue

import (
	"strconv"
	"strings"
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/wire"
)

// testWrite is a write of one key that counts the calls of its callbacks.
type testWrite struct {
	Write
	applied, conflicts, tooLarge, lost int
}

// newTestWrite returns a write of shard 0 that sets a key.
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

// check fails the test if a callback was not called the expected number of times.
func (w *testWrite) check(t *testing.T, applied, conflicts, tooLarge, lost int) {
	t.Helper()
	if w.applied != applied || w.conflicts != conflicts || w.tooLarge != tooLarge || w.lost != lost {
		t.Errorf("%s: %d applied, %d conflicts, %d too large, %d lost; want %d, %d, %d, %d",
			w.Keys[0], w.applied, w.conflicts, w.tooLarge, w.lost, applied, conflicts, tooLarge, lost)
	}
}

// dispatch calls Dispatch and returns the transactions that it sent.
func dispatch(loop *eventloop.Loop, q *Queue) []messages.StoreTxn {
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

// dispatchOne calls Dispatch and returns the one transaction that it must send.
func dispatchOne(t *testing.T, loop *eventloop.Loop, q *Queue) messages.StoreTxn {
	t.Helper()
	transactions := dispatch(loop, q)
	if len(transactions) != 1 {
		t.Fatalf("%d transactions sent, want 1", len(transactions))
	}
	return transactions[0]
}

// awaitRetry advances the clock past the retry delay and returns the transaction that
// is sent again.
func awaitRetry(t *testing.T, loop *eventloop.Loop) messages.StoreTxn {
	t.Helper()
	loop.Begin(loop.Now()+second, 0)
	loop.RunTimers()
	for _, effect := range loop.Effects() {
		if transaction, ok := effect.(messages.StoreTxn); ok {
			return transaction
		}
	}
	t.Fatal("transaction was not sent again")
	return messages.StoreTxn{}
}

// reply delivers the reply to a transaction.
func reply(loop *eventloop.Loop, transaction messages.StoreTxn, body messages.TxnReply) {
	loop.Begin(loop.Now(), 0)
	loop.Deliver(messages.Reply{Call: transaction.Call, Body: body})
}

// TestMostUrgentWriteFirst checks that writes are sent in the order of their priority, and
// within a priority in the order in which they were enqueued.
func TestMostUrgentWriteFirst(t *testing.T) {
	loop, q, _ := newTestQueue()
	q.Enqueue(PriorityStart, &newTestWrite("groups/a").Write)
	q.Enqueue(PriorityAdmission, &newTestWrite("jobs/b").Write)
	q.Enqueue(PriorityAdmission, &newTestWrite("jobs/c").Write)
	var keys []string
	for _, operation := range dispatchOne(t, loop, q).Then {
		keys = append(keys, operation.Key)
	}
	if len(keys) != 3 || keys[0] != "jobs/b" || keys[1] != "jobs/c" || keys[2] != "groups/a" {
		t.Errorf("order of keys is %v, want jobs/b, jobs/c, groups/a", keys)
	}
}

// TestShardWriteConditionalOnClaim checks that a write of a shard is conditional on the
// shard's claim, and that it is dropped if the claim was lost.
func TestShardWriteConditionalOnClaim(t *testing.T) {
	loop, q, ownership := newTestQueue()
	q.Enqueue(PriorityStart, &newTestWrite("groups/a").Write)
	compares := dispatchOne(t, loop, q).If
	want := []messages.Compare{{Key: "groups/a", ModRevision: 3}, {Key: "parts/0", ModRevision: 7}}
	if len(compares) != len(want) || compares[0] != want[0] || compares[1] != want[1] {
		t.Errorf("compares %v, want %v", compares, want)
	}

	ownership.claim.Owned = false
	late := newTestWrite("groups/b")
	q.Enqueue(PriorityStart, &late.Write)
	if sent := dispatch(loop, q); len(sent) > 0 {
		t.Errorf("transactions sent without a claim: %v", sent)
	}
	late.check(t, 0, 0, 0, 1)
}

// TestKeyInOneTransactionAtATime checks that a write stays queued until another write of
// the same key has ended.
func TestKeyInOneTransactionAtATime(t *testing.T) {
	loop, q, _ := newTestQueue()
	first, second := newTestWrite("groups/a"), newTestWrite("groups/a")
	q.Enqueue(PriorityStart, &first.Write)
	q.Enqueue(PriorityStart, &second.Write)
	transaction := dispatchOne(t, loop, q)
	if len(transaction.Then) != 1 {
		t.Fatalf("%d operations on one key in a transaction, want 1", len(transaction.Then))
	}
	reply(loop, transaction, messages.TxnReply{Outcome: messages.OK, Revision: 9})
	first.check(t, 1, 0, 0, 0)
	dispatchOne(t, loop, q)
}

// TestConflictRequeuesUnaffectedWrites checks that a conflict is reported only to the
// write whose key has changed, and that the other writes are sent again.
func TestConflictRequeuesUnaffectedWrites(t *testing.T) {
	loop, q, ownership := newTestQueue()
	changed, unaffected := newTestWrite("groups/a"), newTestWrite("groups/b")
	q.Enqueue(PriorityStart, &changed.Write)
	q.Enqueue(PriorityStart, &unaffected.Write)
	transaction := dispatchOne(t, loop, q)
	reply(loop, transaction, messages.TxnReply{Outcome: messages.Conflict, FailedKeys: []string{"groups/a"}})
	changed.check(t, 0, 1, 0, 0)
	unaffected.check(t, 0, 0, 0, 0)
	if len(ownership.deposed) > 0 {
		t.Error("conflict on a key other than the claim deposed the owner")
	}
	again := dispatchOne(t, loop, q)
	reply(loop, again, messages.TxnReply{Outcome: messages.OK, Revision: 9})
	unaffected.check(t, 1, 0, 0, 0)
}

// TestChangedClaimDeposesOwner checks that a conflict on the shard's claim is reported
// as the loss of the shard.
func TestChangedClaimDeposesOwner(t *testing.T) {
	loop, q, ownership := newTestQueue()
	write := newTestWrite("groups/a")
	q.Enqueue(PriorityStart, &write.Write)
	transaction := dispatchOne(t, loop, q)
	reply(loop, transaction, messages.TxnReply{Outcome: messages.Conflict, FailedKeys: []string{"parts/0"}})
	write.check(t, 0, 0, 0, 1)
	if len(ownership.deposed) != 1 || ownership.deposed[0] != 0 {
		t.Errorf("deposed as owner of shards %v, want shard 0", ownership.deposed)
	}
}

// sendInDoubt sends a write whose first attempt has an unknown outcome and whose second
// attempt conflicts. It returns the first attempt and the read that resolves its outcome.
func sendInDoubt(t *testing.T, loop *eventloop.Loop, q *Queue, write *testWrite) (messages.StoreTxn, messages.StoreGet) {
	t.Helper()
	q.Enqueue(PriorityStart, &write.Write)
	first := dispatchOne(t, loop, q)
	reply(loop, first, messages.TxnReply{Outcome: messages.UnknownOutcome})
	again := awaitRetry(t, loop)
	if len(again.Then) != 1 || string(again.Then[0].Value) != string(first.Then[0].Value) {
		t.Fatalf("transaction changed when sent again: %v, first %v", again.Then, first.Then)
	}
	reply(loop, again, messages.TxnReply{Outcome: messages.Conflict, FailedKeys: write.Keys})
	read, ok := loop.Effects()[0].(messages.StoreGet)
	if !ok || read.Key != write.Keys[0] {
		t.Fatalf("effects %v, want a read of the key", loop.Effects())
	}
	return first, read
}

// TestInDoubtTransactionApplied checks that a transaction whose retry conflicts is reported
// as applied if the stored record has the transaction's write ID.
func TestInDoubtTransactionApplied(t *testing.T) {
	loop, q, ownership := newTestQueue()
	write := newTestWrite("groups/a")
	first, read := sendInDoubt(t, loop, q, write)
	stored := messages.KV{Key: read.Key, Value: first.Then[0].Value, ModRevision: 11}
	loop.Deliver(messages.Reply{Call: read.Call, Body: messages.GetReply{Outcome: messages.OK, KV: stored}})
	write.check(t, 1, 0, 0, 0)
	if !write.InDoubt {
		t.Error("write is not marked as in doubt")
	}
	want := StoredTransaction{ShardID: 0, Claim: 7, Revision: 11}
	if len(ownership.stored) != 1 || ownership.stored[0] != want {
		t.Errorf("stored %+v, want %+v", ownership.stored, want)
	}
}

// TestInDoubtTransactionNotApplied checks that a transaction whose retry conflicts is
// reported as a conflict if the stored record has another write ID.
func TestInDoubtTransactionNotApplied(t *testing.T) {
	loop, q, _ := newTestQueue()
	write := newTestWrite("groups/a")
	_, read := sendInDoubt(t, loop, q, write)
	stored := messages.KV{Key: read.Key, Value: []byte(`{"w":"another"}`), ModRevision: 11}
	loop.Deliver(messages.Reply{Call: read.Call, Body: messages.GetReply{Outcome: messages.OK, KV: stored}})
	write.check(t, 0, 1, 0, 0)
}

// TestInvalidTransactionRetriedSeparately checks that the writes of a rejected transaction
// are retried separately, so that an invalid write doesn't block the others.
func TestInvalidTransactionRetriedSeparately(t *testing.T) {
	loop, q, _ := newTestQueue()
	writes := []*testWrite{newTestWrite("groups/a"), newTestWrite("groups/b")}
	for _, write := range writes {
		q.Enqueue(PriorityStart, &write.Write)
	}
	reply(loop, dispatchOne(t, loop, q), messages.TxnReply{Outcome: messages.Invalid})
	separate := dispatch(loop, q)
	if len(separate) != 2 || len(separate[0].Then) != 1 || len(separate[1].Then) != 1 {
		t.Fatalf("transactions sent: %v, want one for each write", separate)
	}
	reply(loop, separate[0], messages.TxnReply{Outcome: messages.Invalid})
	reply(loop, separate[1], messages.TxnReply{Outcome: messages.OK, Revision: 9})
	writes[0].check(t, 0, 0, 1, 0)
	writes[1].check(t, 1, 0, 0, 0)
}

// TestHealth checks the health of the store after requests that succeed, fail or have
// no reply.
func TestHealth(t *testing.T) {
	var health Health
	health.recordRequest(second)
	if health.IsUnresponsive(second + SlowThreshold) {
		t.Error("unresponsive before the slow threshold has passed")
	}
	if !health.IsUnresponsive(second + SlowThreshold + 1) {
		t.Error("not unresponsive after the slow threshold has passed")
	}
	health.recordOutcome(2*second, messages.OK)
	if health.IsUnresponsive(10*second) || health.IsFailing() {
		t.Error("unresponsive or failing after a request succeeded")
	}
	for now := 3 * second; now <= 8*second; now += second {
		health.recordRequest(now)
		health.recordOutcome(now, messages.OK)
	}
	if !health.IsStable(8 * second) {
		t.Error("not stable after six seconds of successful requests")
	}
	health.recordRequest(9 * second)
	health.recordOutcome(9*second, messages.NotApplied)
	if health.IsStable(9*second) || !health.IsUnavailableFor(11*second, second) || health.IsUnavailableFor(10*second, second) {
		t.Error("failure is not counted from the time at which it occurred")
	}
	if !health.ShouldProbe(10 * second) {
		t.Error("failing store is not probed")
	}
}

// TestTransactionsFitIntoBody guards against transactions above 64 KiB, which the store rejects:
// with values of up to 60 KB, two of them may be too much.
func TestTransactionsFitIntoBody(t *testing.T) {
	loop, q, _ := newTestQueue()
	q.config.MaxValueBytes = 60 << 10
	for i, size := range []int{30_000, 1000, 60_000, 20_000, 100} {
		write := newTestWrite("key-" + strconv.Itoa(i))
		value := []byte(`"` + strings.Repeat("x", size) + `"`)
		write.Build = func(string) ([]messages.TxnOp, []cluster.ModRevision) {
			return []messages.TxnOp{{Key: write.Keys[0], Value: value}}, []cluster.ModRevision{3}
		}
		q.Enqueue(PriorityStart, &write.Write)
	}
	keys := 0
	for range 10 {
		for _, transaction := range dispatch(loop, q) {
			if size := len(wire.EncodeTxn(transaction)); size > wire.MaxBodySize {
				t.Errorf("a transaction has %d bytes", size)
			}
			keys += len(transaction.Then)
			loop.Deliver(messages.Reply{Call: transaction.Call, Body: messages.TxnReply{Outcome: messages.OK, Revision: 40}})
		}
		loop.Begin(loop.Now()+second, 0)
		loop.RunTimers()
	}
	if keys != 5 {
		t.Errorf("%d keys written, want 5", keys)
	}
}
