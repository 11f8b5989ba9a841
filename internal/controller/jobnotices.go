package controller

import (
	"stairrelay/internal/cluster"
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

// notifyOwner passes a stored job to its owner.
func (c *Controller) notifyOwner(part cluster.ShardID, kv messages.KV) {
	p := c.peers[c.state.Shards[part].Owner]
	if p == nil || p.failed {
		return
	}
	p.jobNotices.waiting = append(p.jobNotices.waiting, kv)
	if !p.jobNotices.scheduled {
		p.jobNotices.scheduled = true
		c.loop.After(jobNoticeDelay, func() { c.sendJobNotices(p, 0) })
	}
}

func (c *Controller) sendJobNotices(p *peer, tries int) {
	s := &p.jobNotices
	batch := s.nextBatch()
	c.callPeer(p.id, jobNoticeTimeout, messages.PeerMessage{Notice: &messages.JobNotice{Keys: batch}}, func(r messages.PeerReply) {
		if r.Outcome != messages.OK && tries < jobNoticeRetries && !p.failed {
			c.sendJobNotices(p, tries+1)
			return
		}
		s.waiting = append([]messages.KV(nil), s.waiting[len(batch):]...)
		if len(s.waiting) > 0 {
			c.sendJobNotices(p, 0)
			return
		}
		s.scheduled = false
	})
}
