package core

// confirmations gathers those who wait until the store has shown that a part is
// still held.
//
// A reading serves only those who asked before it began. While any wait, one is
// scheduled or under way; those that come during one are asked about anew.
type confirmations struct {
	waiting   []func(held bool)
	scheduled bool // a reading is under way, or is about to be
	begunAt   Time // of the last reading
}

// take returns those who wait.
func (s *confirmations) take() []func(held bool) {
	batch := s.waiting
	s.waiting = nil
	return batch
}

// confirm calls fn after the store has shown that the part is still held,
// with a read begun after this call. Without it a holder that lost its claim
// unawares could answer with an older state than its successor.
func (c *Core) confirm(p *part, fn func(held bool)) {
	if c.storeLost(second) {
		fn(false)
		return
	}
	s := &p.confirmations
	s.waiting = append(s.waiting, fn)
	if s.scheduled {
		return
	}
	s.scheduled = true
	c.after(max(0, s.begunAt+readPause-c.now), func() { c.readConfirmation(p) })
}

// readConfirmation reads a part's claim for those who wait now.
func (c *Core) readConfirmation(p *part) {
	s := &p.confirmations
	batch, mark := s.take(), p.mark
	s.begunAt = c.now
	if len(batch) == 0 { // the part was lost meanwhile
		s.scheduled = false
		return
	}
	begun := c.now
	c.get(p.key(), func(r GetReply) {
		s.scheduled = false
		if r.Out == OK {
			c.learnPart(r.KV)
			c.proven(p, r.KV.Mark, begun)
		}
		held := r.Out == OK && p.held && r.KV.Mark == mark && p.mark == mark
		for _, fn := range batch {
			fn(held)
		}
		for _, fn := range s.take() {
			c.confirm(p, fn)
		}
	})
}
