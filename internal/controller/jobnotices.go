package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/messages"
)

// jobNoticeQueue gathers the stored jobs that another controller is to be told of, so
// that those of some milliseconds share a message. Its watch of the store is the
// safety net.
//
// A message is scheduled or under way while any wait. Those of a message that
// was lost go out again, a few times.
type jobNoticeQueue struct {
	waiting   []messages.KV
	scheduled bool
}

const (
	jobNoticeDelay   = 20 * millisecond
	jobNoticeTimeout = second
	jobNoticeRetries = 3
	// A message tells of so many jobs, and has about so many bytes of records: a
	// quarter of what a controller takes. One record, whatever its size, always goes.
	maxJobNotices     = 50
	maxJobNoticeBytes = 256 << 10
)

// nextBatch lists the jobs that the next message tells of.
func (s *jobNoticeQueue) nextBatch() []messages.KV {
	bytes := 0
	for i, kv := range s.waiting {
		bytes += len(kv.Key) + len(kv.Value)
		if i == maxJobNotices || i > 0 && bytes > maxJobNoticeBytes {
			return s.waiting[:i]
		}
	}
	return s.waiting
}

// jobNotices are the queues of all other controllers.
type jobNotices map[cluster.NodeID]*jobNoticeQueue

// queueFor returns the queue of a controller.
func (n jobNotices) queueFor(to cluster.NodeID) *jobNoticeQueue {
	if n[to] == nil {
		n[to] = &jobNoticeQueue{}
	}
	return n[to]
}

// notifyOwner passes a stored job to its owner.
func (c *Controller) notifyOwner(part cluster.ShardID, kv messages.KV) {
	owner := c.members.Peer(c.state.Shards[part].Owner)
	if owner == nil || owner.IsUnreachable() {
		return
	}
	queue := c.jobNotices.queueFor(owner.ID())
	queue.waiting = append(queue.waiting, kv)
	if !queue.scheduled {
		queue.scheduled = true
		c.loop.After(jobNoticeDelay, func() { c.sendJobNotices(owner, 0) })
	}
}

func (c *Controller) sendJobNotices(owner *membership.Peer, tries int) {
	s := c.jobNotices.queueFor(owner.ID())
	batch := s.nextBatch()
	c.members.Call(owner.ID(), jobNoticeTimeout, messages.PeerMessage{Notice: &messages.JobNotice{Keys: batch}}, func(r messages.PeerReply) {
		if r.Outcome != messages.OK && tries < jobNoticeRetries && !owner.IsUnreachable() {
			c.sendJobNotices(owner, tries+1)
			return
		}
		s.waiting = append([]messages.KV(nil), s.waiting[len(batch):]...)
		if len(s.waiting) > 0 {
			c.sendJobNotices(owner, 0)
			return
		}
		s.scheduled = false
	})
}
