package writequeue

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

const (
	// watchTimeout is how long the state service may take to answer a watch.
	watchTimeout = 20 * second
	// watchRetryPause is the pause after a watch that failed.
	watchRetryPause = second
)

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
// old. Watches are not charged to the request budget, and their outcomes say nothing
// of the state service's health, as they wait there most of the time.
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
				"since_revision", uint64(*watch.Position))
			q.loop.After(watch.Pause, watch.OnCompacted)
		default:
			q.loop.After(watchRetryPause, func() { q.Watch(watch) })
		}
	})
	q.loop.Emit(messages.StoreWatch{Call: call, Prefix: watch.Prefix, SinceRevision: *watch.Position, Timeout: watchTimeout})
}
