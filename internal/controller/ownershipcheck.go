package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// ownershipCheckInterval is the least time between the beginnings of two reads of a
// shard's claim: those who ask in between share the next one.
const ownershipCheckInterval = 100 * millisecond

// ownershipChecks gathers those who wait until the store has shown that a part is
// still held.
//
// A reading serves only those who asked before it began. While any wait, one is
// scheduled or under way; those that come during one are asked about anew.
type ownershipChecks struct {
	waiting    []func(held bool)
	scheduled  bool         // a reading is under way, or is about to be
	lastReadAt cluster.Time // of the last reading
}

// take returns those who wait.
func (s *ownershipChecks) take() []func(held bool) {
	batch := s.waiting
	s.waiting = nil
	return batch
}

// confirmOwnership calls fn after the store has shown that the part is still held,
// with a read begun after this call. Without it a holder that lost its claim
// unawares could answer with an older state than its successor.
func (c *Controller) confirmOwnership(p *state.Shard, fn func(held bool)) {
	if c.writeQueue.IsUnavailableFor(second) {
		fn(false)
		return
	}
	s := &c.ownershipChecks[p.ID]
	s.waiting = append(s.waiting, fn)
	if s.scheduled {
		return
	}
	s.scheduled = true
	c.loop.After(max(0, s.lastReadAt+ownershipCheckInterval-c.loop.Now()), func() { c.readOwnership(p) })
}

// readOwnership reads a part's claim for those who wait now.
func (c *Controller) readOwnership(p *state.Shard) {
	s := &c.ownershipChecks[p.ID]
	batch, mark := s.take(), p.ModRevision
	s.lastReadAt = c.loop.Now()
	if len(batch) == 0 { // the part was lost meanwhile
		s.scheduled = false
		return
	}
	begun := c.loop.Now()
	c.writeQueue.ReadKey(p.Key(), func(r messages.GetReply) {
		s.scheduled = false
		if r.Outcome == messages.OK {
			c.applyShardRecord(r.KV)
			c.recordConfirmation(p, r.KV.ModRevision, begun)
		}
		held := r.Outcome == messages.OK && p.Owned && r.KV.ModRevision == mark && p.ModRevision == mark
		for _, fn := range batch {
			fn(held)
		}
		for _, fn := range s.take() {
			c.confirmOwnership(p, fn)
		}
	})
}
