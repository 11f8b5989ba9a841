package writequeue

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// recordOutcome updates the health after a request. If the request was throttled, it
// also lowers the request budget below zero, so that writes are delayed.
func (q *Queue) recordOutcome(outcome messages.Outcome) {
	q.Health.recordOutcome(q.loop.Now(), outcome)
	if outcome == messages.Throttled {
		q.requestBudget.LowerTo(-1)
	}
}

// IsUnavailableFor reports whether requests have been failing for longer than the
// given duration.
func (q *Queue) IsUnavailableFor(duration cluster.Time) bool {
	return q.Health.IsUnavailableFor(q.loop.Now(), duration)
}

// IsRequestBudgetOverdrawn reports whether the request budget is overdrawn by more
// than its capacity. Reads may overdraw it.
func (q *Queue) IsRequestBudgetOverdrawn() bool {
	return q.requestBudget.Level() < -q.requestBudget.Capacity()
}

// ReadKey reads a key and calls handle with the reply. Reads are charged to the request
// budget but never delayed.
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

// ListPrefix reads all keys with a prefix and calls handle with the reply. It is charged
// like ReadKey.
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

// ReadChanges reads the changes of the keys with a prefix after a revision, without
// waiting for further changes, and calls handle with the reply. It is charged like
// ReadKey. The outcome doesn't count for the health of the store.
func (q *Queue) ReadChanges(prefix string, since cluster.Revision, handle func(messages.WatchReply)) {
	q.requestBudget.Spend(1)
	q.counters.Reads++
	call := eventloop.Call(q.loop, handle)
	q.loop.Emit(messages.StoreWatch{Call: call, Prefix: prefix, SinceRevision: since})
}
