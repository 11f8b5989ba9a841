package writequeue

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// recordOutcome takes in the outcome of a request.
func (q *Queue) recordOutcome(outcome messages.Outcome) {
	q.Health.recordOutcome(q.loop.Now(), outcome)
	if outcome == messages.Throttled {
		q.requestBudget.LowerTo(-1)
	}
}

// IsUnavailableFor tells whether the state service has not served this controller
// for longer than a time.
func (q *Queue) IsUnavailableFor(duration cluster.Time) bool {
	return q.Health.IsUnavailableFor(q.loop.Now(), duration)
}

// IsOverdrawn tells whether reads have spent more than a whole budget of requests
// in advance.
func (q *Queue) IsOverdrawn() bool {
	return q.requestBudget.Level() < -q.requestBudget.Capacity()
}

// ReadKey reads a key. It is charged to the request budget, but never held back.
func (q *Queue) ReadKey(key string, handle func(messages.GetReply)) {
	q.requestBudget.Refill(q.loop.Now())
	q.requestBudget.Spend(1)
	q.counters.Reads++
	q.Health.recordRequest(q.loop.Now())
	call := eventloop.Call(q.loop, func(reply messages.GetReply) {
		q.recordOutcome(reply.Outcome)
		handle(reply)
	})
	q.loop.Emit(messages.StoreGet{Call: call, Key: key})
}

// ListPrefix reads all keys with a prefix; charged as ReadKey is.
func (q *Queue) ListPrefix(prefix string, handle func(messages.ListReply)) {
	q.requestBudget.Spend(1)
	q.counters.Reads++
	q.Health.recordRequest(q.loop.Now())
	call := eventloop.Call(q.loop, func(reply messages.ListReply) {
		q.recordOutcome(reply.Outcome)
		handle(reply)
	})
	q.loop.Emit(messages.StoreList{Call: call, Prefix: prefix})
}

// ReadChanges reads at once what changed under a prefix after a revision; charged
// as ReadKey is. Its outcome says nothing of the state service's health, as a
// position may be too old.
func (q *Queue) ReadChanges(prefix string, since cluster.Revision, handle func(messages.WatchReply)) {
	q.requestBudget.Spend(1)
	q.counters.Reads++
	call := eventloop.Call(q.loop, handle)
	q.loop.Emit(messages.StoreWatch{Call: call, Prefix: prefix, SinceRevision: since})
}
