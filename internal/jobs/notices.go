package jobs

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
)

const (
	// noticeDelay is how long the notices for a controller are gathered.
	noticeDelay = 20 * millisecond
	// noticeTimeout is how long its answer may take, and noticeRetries how often a
	// message that was lost is sent again.
	noticeTimeout = second
	noticeRetries = 3
	// A message tells of at most maxNotices jobs, and has about maxNoticeBytes of
	// records: a quarter of what a controller takes. One record of any size always
	// goes.
	maxNotices     = 50
	maxNoticeBytes = 256 << 10
)

// notices tells the owners of shards of stored jobs, so that they need not wait for
// their watches; those are the safety net.
type notices struct {
	*shared

	queues map[cluster.NodeID]*noticeQueue
}

// noticeQueue gathers the stored jobs that a controller is to be told of, so that
// those of some milliseconds share a message.
//
// A message is scheduled or under way while any wait. Those of a message that was
// lost go out again, a few times.
type noticeQueue struct {
	waiting   []messages.KV
	scheduled bool
}

func newNotices(common *shared) *notices {
	return &notices{shared: common, queues: map[cluster.NodeID]*noticeQueue{}}
}

// nextBatch lists the records of the next message.
func (q *noticeQueue) nextBatch() []messages.KV {
	size := 0
	for i, kv := range q.waiting {
		size += len(kv.Key) + len(kv.Value)
		if i == maxNotices || i > 0 && size > maxNoticeBytes {
			return q.waiting[:i]
		}
	}
	return q.waiting
}

// queueFor returns the queue of a controller.
func (n *notices) queueFor(to cluster.NodeID) *noticeQueue {
	if n.queues[to] == nil {
		n.queues[to] = &noticeQueue{}
	}
	return n.queues[to]
}

// send passes a job's stored record to the owner of a shard.
func (n *notices) send(shard cluster.ShardID, kv messages.KV) {
	owner := n.Members.Peer(n.state.Shards[shard].Owner)
	if owner == nil || owner.IsUnreachable() {
		return
	}
	queue := n.queueFor(owner.ID())
	queue.waiting = append(queue.waiting, kv)
	if !queue.scheduled {
		queue.scheduled = true
		n.loop.After(noticeDelay, func() { n.sendBatch(queue, owner, 0) })
	}
}

func (n *notices) sendBatch(queue *noticeQueue, owner *membership.Peer, retry int) {
	batch := queue.nextBatch()
	message := messages.PeerMessage{Notice: &messages.JobNotice{Keys: batch}}
	n.Members.Call(owner.ID(), noticeTimeout, message, func(reply messages.PeerReply) {
		if reply.Outcome != messages.OK && retry < noticeRetries && !owner.IsUnreachable() {
			n.sendBatch(queue, owner, retry+1)
			return
		}
		queue.waiting = slices.Clone(queue.waiting[len(batch):])
		if len(queue.waiting) > 0 {
			n.sendBatch(queue, owner, 0)
			return
		}
		queue.scheduled = false
	})
}

// sendToDependencyOwners lets the owners of the jobs that a new job depends on know
// of it, so that they tell its owner of their ends.
func (n *notices) sendToDependencyOwners(spec *cluster.JobSpec, kv messages.KV) {
	notified := map[cluster.ShardID]bool{n.state.Teams[spec.Team].ShardID: true}
	for _, id := range spec.Dependencies {
		if known := n.state.Jobs.Known[id]; known != nil && !notified[known.ShardID] {
			notified[known.ShardID] = true
			n.send(known.ShardID, kv)
		}
	}
}
