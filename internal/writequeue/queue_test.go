package writequeue

import (
	"testing"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// fakeOwnership returns the same claim for every shard and records the notifications.
type fakeOwnership struct {
	claim   Claim
	deposed []cluster.ShardID
	stored  []StoredTransaction
}

func (f *fakeOwnership) ClaimOf(cluster.ShardID) Claim { return f.claim }

func (f *fakeOwnership) HandleDeposed(shard cluster.ShardID) {
	f.deposed = append(f.deposed, shard)
	f.claim.Owned = false
}

func (f *fakeOwnership) HandleStored(stored StoredTransaction) { f.stored = append(f.stored, stored) }

// newTestQueue returns the queue of one of seven controllers.
func newTestQueue() (*eventloop.Loop, *Queue, *fakeOwnership) {
	loop := eventloop.New()
	ownership := &fakeOwnership{claim: Claim{Key: "parts/0", ModRevision: 7, Owned: true}}
	config := Config{
		InstanceID:  "b1",
		RequestRPS:  100,
		WriteRPS:    25,
		BudgetShare: 0.9,
		MaxTxnOps:   20,
		Controllers: 7,
		ShareByDemand: func(limit, _ float64, liveControllers int) float64 {
			return limit / float64(liveControllers)
		},
	}
	return loop, New(loop, config, ownership), ownership
}

// TestRetriesDoNotOverdrawPutBudget checks that retries during a network partition don't
// use up the put budget. Otherwise the controller couldn't write for some time afterwards.
func TestRetriesDoNotOverdrawPutBudget(t *testing.T) {
	_, q, _ := newTestQueue()
	pending := &transaction{operations: make([]messages.TxnOp, 20), shardID: cluster.NoShard}
	before := q.putBudget.Level()
	q.send(pending)
	for i, outcome := range []messages.Outcome{messages.UnknownOutcome, messages.NotApplied, messages.UnknownOutcome, messages.Throttled, messages.UnknownOutcome} {
		q.handleReply(pending, messages.TxnReply{Outcome: outcome})
		q.inFlight--
		q.send(pending)
		if q.putBudget.Level() < before-21 {
			t.Fatalf("after %d attempts the put budget is overdrawn by %.0f", i+2, -q.putBudget.Level())
		}
	}
}

// TestReadsDoNotStopWrites guards against an owner that stores nothing while the reads for
// queries use up the request budget: no task of its shard would start.
func TestReadsDoNotStopWrites(t *testing.T) {
	const step = 10 * millisecond
	loop, q, _ := newTestQueue()
	share := q.requestBudget.Rate()
	reads, sent := 0.0, 0
	for loop.Begin(step, 0); loop.Now() < 60*second; loop.Begin(loop.Now()+step, 0) {
		for ; reads < 2*share*loop.Now().Seconds(); reads++ { // twice the budget
			q.ReadKey("parts/0", func(messages.GetReply) {})
		}
		loop.RunTimers()
		loop.Effects()
		if q.Depth() == 0 && q.InFlight() == 0 {
			q.Enqueue(PriorityStart, &newTestWrite("groups/1").Write)
		}
		for _, transaction := range dispatch(loop, q) {
			reply(loop, transaction, messages.TxnReply{Outcome: messages.OK, Revision: 8})
			sent++
		}
	}
	if want := int(share * 60 * writeReserveShare * 9 / 10); sent < want {
		t.Errorf("%d transactions sent in 60 s beside too many reads, want at least %d", sent, want)
	}
}
