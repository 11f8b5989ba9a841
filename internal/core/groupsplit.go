package core

import (
	"stairrelay/internal/grouprecord"
)

// groupSplit moves machines of a group into new ones by one transaction on all
// of them.
//
// From its queueing to its end the group counts as being written.
type groupSplit struct {
	core  *Core
	part  *part
	claim Epoch
	group *group
	ids   []string // of the new groups
	keys  []string // of the group and the new ones

	pieces [][]*machine // by the last records built, the first one stays
	snaps  []*snapshot  // of the pieces
}

// splitGroup splits a group into two, or as many as a transaction may write
// where the record is far too large, as one that was written under higher limits
// may be.
func (c *Core) splitGroup(p *part, g *group) {
	if g.sent || len(g.machines) < 2 {
		return
	}
	n := min(max(c.valueLimit().Pieces(g.length()), g.minPieces), c.cfg.TxnOps, len(g.machines))
	if g.queuedWrite != nil {
		c.writer.cancel(g.queuedWrite)
		g.queuedWrite = nil
	}
	g.writing, g.sent, g.again = true, true, prios
	s := &groupSplit{core: c, part: p, claim: p.claim, group: g, keys: []string{g.key()}}
	for range n - 1 {
		id := c.groupName(p)
		s.ids = append(s.ids, id)
		s.keys = append(s.keys, "groups/"+id)
	}
	c.writer.add(prioStart, &write{
		part:        p.id,
		keys:        s.keys,
		cpusWaiting: func() float64 { return c.cpusWaiting(g) },
		build:       s.build,
		ok:          s.stored,
		conflict:    s.refused,
		tooLarge:    s.tooLarge,
		lost:        g.endWrite,
	})
}

// current tells whether the group is still held under the claim of the split.
func (s *groupSplit) current() bool {
	return s.core.groups[s.group.id] == s.group && s.part.heldUnder(s.claim)
}

func (s *groupSplit) build(nonce string) ([]TxnOp, []Mark) {
	c, g := s.core, s.group
	if c.groups[g.id] != g {
		g.endWrite()
		return nil, nil
	}
	g.again, g.added = prios, 0
	s.pieces, s.snaps = grouprecord.Split(g.list(), len(s.keys), (*machine).tasks), nil
	var ops []TxnOp
	var marks []Mark
	for i, ms := range s.pieces {
		v, snap := c.snap(s.part.id, ms, nonce)
		mark := Mark(0)
		if i == 0 {
			mark = g.mark
		}
		ops = append(ops, TxnOp{s.keys[i], v})
		marks = append(marks, mark)
		s.snaps = append(s.snaps, snap)
	}
	return ops, marks
}

// stored moves the machines as the records now say.
func (s *groupSplit) stored(e Epoch) {
	c, g := s.core, s.group
	g.endWrite()
	if !s.current() {
		return
	}
	again := g.again
	for i, ms := range s.pieces {
		to := g
		if i > 0 {
			to = c.newGroup(s.part, s.ids[i-1], 0)
			for _, m := range ms {
				to.take(m)
			}
		}
		to.mark, to.size = Mark(e), s.snaps[i].size
		c.groupStored(to, s.snaps[i], e)
		if to.again = again; len(to.machines) > 0 { // what was asked of the whole may concern each
			c.writeAgain(to)
		}
	}
}

// refused follows a conflict with another writer.
func (s *groupSplit) refused() {
	s.group.endWrite()
	if s.core.groups[s.group.id] == s.group {
		s.core.checkGroup(s.group)
	}
}

// tooLarge follows the store's refusal of the records by their length. Tasks
// end, and the record gets shorter; what the store takes now is less than the
// settings say.
func (s *groupSplit) tooLarge() {
	g := s.group
	g.endWrite()
	g.minPieces = 2 * len(s.keys)
	s.core.after(second, func() {
		if s.current() {
			s.core.writeGroup(g, prioStart)
		}
	})
}
