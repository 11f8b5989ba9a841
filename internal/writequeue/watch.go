package writequeue

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// watchTimeout is how long the state service may take to answer a watch.
const watchTimeout = 20 * second

// Watch follows the keys with a prefix from a revision on: apply gets each change,
// and since is moved on. The pause between two watches gathers changes. When the
// revision is too old for the state service, reload is called after the pause in
// place of the next watch.
//
// Watches are not charged to the request budget, and their outcomes say nothing of
// the state service's health, as they wait there most of the time.
func (q *Queue) Watch(prefix string, since *cluster.Revision, pause cluster.Time, apply func(messages.KV), reload func()) {
	watchAgain := func() { q.Watch(prefix, since, pause, apply, reload) }
	call := eventloop.Call(q.loop, func(reply messages.WatchReply) {
		switch reply.Outcome {
		case messages.OK:
			for _, kv := range reply.Items {
				apply(kv)
			}
			*since = max(*since, reply.Revision)
			q.loop.After(pause, watchAgain)
		case messages.Compacted:
			q.loop.Log(messages.LogInfo, "changes missed, reading all keys again", "prefix", prefix, "since", uint64(*since))
			q.loop.After(pause, reload)
		default:
			q.loop.After(second, watchAgain)
		}
	})
	q.loop.Emit(messages.StoreWatch{Call: call, Prefix: prefix, SinceRevision: *since, Timeout: watchTimeout})
}
