package jobs

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
)

const (
	// noticeDelay is how long the notices for a controller are collected.
	noticeDelay = 20 * millisecond
	// noticeTimeout is the timeout of a message with notices. A failed message is sent
	// again up to noticeRetries times.
	noticeTimeout = second
	noticeRetries = 3
	// maxNotices and maxNoticeBytes limit the number and the total size of the records in
	// a message. maxNoticeBytes is a quarter of the size limit of messages. A single
	// record may exceed it.
	maxNotices     = 50
	maxNoticeBytes = 256 << 10
)

// noticeSender sends stored job records to the owners of shards, so that the owners need
// not wait for their watches. If a notice is lost, the owner's watch delivers the change.
type noticeSender struct {
	*shared

	queues map[cluster.NodeID]*noticeQueue
}

// noticeQueue collects the records for a controller, so that several records share a
// message.
//
// While records are waiting, a message is scheduled or in flight. The records of a
// failed message are sent again, up to noticeRetries times.
type noticeQueue struct {
	waiting   []messages.KV
	scheduled bool
}

func newNoticeSender(common *shared) *noticeSender {
	return &noticeSender{shared: common, queues: map[cluster.NodeID]*noticeQueue{}}
}

// nextBatch returns the records of the next message without removing them from the queue.
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

// queueFor returns the queue for a controller, and creates it if necessary.
func (n *noticeSender) queueFor(to cluster.NodeID) *noticeQueue {
	if n.queues[to] == nil {
		n.queues[to] = &noticeQueue{}
	}
	return n.queues[to]
}

// send queues a job's stored record for the owner of a shard. It does nothing if the owner
// is unknown, unreachable or this controller.
func (n *noticeSender) send(shard cluster.ShardID, kv messages.KV) {
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

func (n *noticeSender) sendBatch(queue *noticeQueue, owner *membership.Peer, retry int) {
	batch := queue.nextBatch()
	message := messages.PeerMessage{Notice: &messages.JobNotice{Items: batch}}
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

// sendToDependencyOwners sends the record of a new job to the owners of the jobs that it
// depends on, so that these owners notify the new job's owner when the dependencies end.
func (n *noticeSender) sendToDependencyOwners(spec *cluster.JobSpec, kv messages.KV) {
	notified := map[cluster.ShardID]bool{n.state.Teams[spec.Team].ShardID: true}
	for _, id := range spec.Dependencies {
		if known := n.state.Jobs.Known[id]; known != nil && !notified[known.ShardID] {
			notified[known.ShardID] = true
			n.send(known.ShardID, kv)
		}
	}
}
