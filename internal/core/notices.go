package core

// notices gathers the stored jobs that another controller is to be told of, so
// that those of some milliseconds share a message. Its watch of the store is the
// safety net.
//
// A message is scheduled or under way while any wait. Those of a message that
// was lost go out again, a few times.
type notices struct {
	waiting   []KV
	scheduled bool
}

const (
	noticePause   = 20 * milli
	noticeTimeout = second
	noticeRetries = 3
	// A message tells of so many jobs, and has about so many bytes of records: a
	// quarter of what a controller takes. One record, whatever its size, always goes.
	maxNotices     = 50
	maxNoticeBytes = 256 << 10
)

// batch lists the jobs that the next message tells of.
func (s *notices) batch() []KV {
	bytes := 0
	for i, kv := range s.waiting {
		bytes += len(kv.Key) + len(kv.Value)
		if i == maxNotices || i > 0 && bytes > maxNoticeBytes {
			return s.waiting[:i]
		}
	}
	return s.waiting
}

// tell passes a stored job to its owner.
func (c *Core) tell(part Part, kv KV) {
	p := c.peers[c.parts[part].holder]
	if p == nil || p.failed {
		return
	}
	p.notices.waiting = append(p.notices.waiting, kv)
	if !p.notices.scheduled {
		p.notices.scheduled = true
		c.after(noticePause, func() { c.sendNotices(p, 0) })
	}
}

func (c *Core) sendNotices(p *peer, tries int) {
	s := &p.notices
	batch := s.batch()
	c.ask(p.id, noticeTimeout, PeerMsg{Tell: &Tell{Keys: batch}}, func(r PeerReply) {
		if r.Out != OK && tries < noticeRetries && !p.failed {
			c.sendNotices(p, tries+1)
			return
		}
		s.waiting = append([]KV(nil), s.waiting[len(batch):]...)
		if len(s.waiting) > 0 {
			c.sendNotices(p, 0)
			return
		}
		s.scheduled = false
	})
}
