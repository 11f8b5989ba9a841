package writequeue

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

const (
	// watchTimeout is the maximum time that the store waits for changes before it
	// replies to a watch request.
	watchTimeout = 20 * second
	// watchRetryDelay is the delay before a failed watch request is repeated.
	watchRetryDelay = second
)

// PrefixWatch describes a watch on the keys with a prefix.
type PrefixWatch struct {
	Prefix string
	// Position is the revision up to which the changes are known. The watch advances
	// it. The caller may also advance it after reading later changes by other means.
	Position *cluster.Revision
	// Delay is the time between a reply and the next request. Changes made in the
	// meantime arrive in one reply.
	Delay cluster.Time
	// OnChange is called with each key that was changed or deleted.
	OnChange func(messages.KV)
	// OnCompacted is called, after Delay, when the store no longer keeps the changes
	// after Position, so that all keys must be read again. The watch has then ended.
	OnCompacted func()
}

// Watch watches the keys with a prefix until the watch's position has been compacted.
// Watch requests are not charged to the request budget. They are long polls, so their
// outcomes don't count for the health of the store.
func (q *Queue) Watch(watch PrefixWatch) {
	call := eventloop.Call(q.loop, func(reply messages.WatchReply) {
		switch reply.Outcome { //nolint:exhaustive // any other outcome is a failure, after which the watch goes on
		case messages.OK:
			for _, kv := range reply.Items {
				watch.OnChange(kv)
			}
			*watch.Position = max(*watch.Position, reply.Revision)
			q.loop.After(watch.Delay, func() { q.Watch(watch) })
		case messages.Compacted:
			q.loop.Log(messages.LogInfo, "watch position was compacted; reading all keys again",
				"prefix", watch.Prefix,
				"since_revision", uint64(*watch.Position))
			q.loop.After(watch.Delay, watch.OnCompacted)
		default:
			q.loop.After(watchRetryDelay, func() { q.Watch(watch) })
		}
	})
	q.loop.Emit(messages.StoreWatch{Call: call, Prefix: watch.Prefix, SinceRevision: *watch.Position, Timeout: watchTimeout})
}
