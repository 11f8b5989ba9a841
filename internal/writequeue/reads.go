package writequeue

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

const (
	// watchTimeout is how long a watch may wait for a change.
	watchTimeout = 20 * second
	// watchRetryPause is the pause after a watch that failed.
	watchRetryPause = second
)

// recordOutcome takes in the outcome of a request.
func (q *Queue) recordOutcome(outcome messages.Outcome) {
	q.Health.recordOutcome(q.loop.Now(), outcome)
	if outcome == messages.Throttled {
		q.requestBudget.Lower(-1)
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

// PrefixWatch follows the keys with a prefix.
type PrefixWatch struct {
	Prefix string
	// Position is the revision up to which the changes are known. The watch moves
	// it on; its owner may do so as well, after reading further by other means.
	Position *cluster.Revision
	// Pause is the time between two requests, in which changes gather.
	Pause cluster.Time
	// OnChange is called with each key that was changed or deleted.
	OnChange func(messages.KV)
	// OnCompacted is called, and the watch ends, when the state service does not
	// know the changes after the position any more: all keys have to be read again.
	OnCompacted func()
}

// Watch follows the keys with a prefix until it is told that its position is too
// old. It is not charged to the request budget, and its outcomes say nothing of the
// state service's health.
func (q *Queue) Watch(watch PrefixWatch) {
	call := eventloop.Call(q.loop, func(reply messages.WatchReply) {
		switch reply.Outcome { //nolint:exhaustive // any other outcome is a failure, after which the watch goes on
		case messages.OK:
			for _, kv := range reply.Items {
				watch.OnChange(kv)
			}
			*watch.Position = max(*watch.Position, reply.Revision)
			q.loop.After(watch.Pause, func() { q.Watch(watch) })
		case messages.Compacted:
			q.loop.Log(messages.LogInfo, "changes missed, reading all keys again",
				"prefix", watch.Prefix,
				"since", uint64(*watch.Position))
			q.loop.After(watch.Pause, watch.OnCompacted)
		default:
			q.loop.After(watchRetryPause, func() { q.Watch(watch) })
		}
	})
	q.loop.Emit(messages.StoreWatch{Call: call, Prefix: watch.Prefix, SinceRevision: *watch.Position, Timeout: watchTimeout})
}
