package core

import (
	"slices"
	"sort"
)

// regrouping moves machines of a part into one group by one transaction on all
// the groups concerned.
//
// From its queueing to its end all these groups count as being written, so
// nothing else changes their records.
type regrouping struct {
	core     *Core
	part     *part
	claim    Epoch
	machines []*machine // that are to be moved
	from     []*group
	to       *group   // nil: a new one
	all      []*group // from, and to if it exists already
	id       string   // of to
	done     func(*group)

	moving []*machine  // by the last records built
	snaps  []*snapshot // of from and to, in these records
}

// regroup moves machines of a part into one group, a new one if to is nil. done
// gets the group, or nil.
func (c *Core) regroup(p *part, ms []*machine, to *group, prio int, done func(*group)) {
	from, ok := groupsToLeave(ms, to)
	if !ok || len(from) == 0 || len(from)+1 > c.cfg.TxnOps || to != nil && to.sent {
		done(nil)
		return
	}
	r := &regrouping{core: c, part: p, claim: p.claim, machines: ms, from: from, to: to, done: done}
	r.id = c.groupName(p)
	r.all = slices.Clone(from)
	if to != nil {
		r.id = to.id
		r.all = append(r.all, to)
	}
	c.writer.add(prio, &write{
		part:        p.id,
		keys:        r.lock(),
		cpusWaiting: func() float64 { return c.cpusWaiting(r.all...) },
		build:       r.build,
		ok:          r.stored,
		conflict:    r.refused,
		lost:        r.lost,
	})
}

// groupsToLeave lists the groups that machines are in; false: one of them is in
// the target already, or its record is on its way to the store.
func groupsToLeave(ms []*machine, to *group) ([]*group, bool) {
	var from []*group
	for _, m := range ms {
		if m.group.sent || m.group == to {
			return nil, false
		}
		if !slices.Contains(from, m.group) {
			from = append(from, m.group)
		}
	}
	return from, true
}

// lock marks the groups as being written, and returns the keys of all records.
func (r *regrouping) lock() []string {
	var keys []string
	for _, g := range r.all {
		// A write that still waits its turn says nothing that this one won't.
		if g.queuedWrite != nil {
			r.core.writer.cancel(g.queuedWrite)
			g.queuedWrite = nil
		}
		g.writing, g.sent, g.again = true, true, prios
		keys = append(keys, g.key())
	}
	if r.to == nil {
		keys = append(keys, "groups/"+r.id)
	}
	return keys
}

func (r *regrouping) unlock() {
	for _, g := range r.all {
		g.endWrite()
	}
}

// build makes the records of the groups that are left and of the one they go to.
func (r *regrouping) build(nonce string) ([]TxnOp, []Mark) {
	c := r.core
	r.snaps = nil
	r.moving = r.stillToMove()
	var ops []TxnOp
	var marks []Mark
	for _, g := range r.from {
		rest := slices.DeleteFunc(g.list(), func(m *machine) bool { return slices.Contains(r.moving, m) })
		g.again, g.added = prios, 0
		v, s := c.snap(r.part.id, rest, nonce)
		ops = append(ops, TxnOp{g.key(), v})
		marks = append(marks, g.mark)
		r.snaps = append(r.snaps, s)
	}
	mark, into := Mark(0), slices.Clone(r.moving)
	if r.to != nil {
		mark = r.to.mark
		r.to.again, r.to.added = prios, 0
		into = append(into, r.to.list()...)
	}
	sort.Slice(into, func(i, k int) bool { return into[i].id < into[k].id })
	v, s := c.snap(r.part.id, into, nonce)
	r.snaps = append(r.snaps, s)
	if !c.valueLimit().Within(len(v)) || len(r.moving) == 0 {
		r.giveUp()
		return nil, nil
	}
	return append(ops, TxnOp{"groups/" + r.id, v}), append(marks, mark)
}

// stillToMove lists the machines that are where they were.
func (r *regrouping) stillToMove() []*machine {
	var moving []*machine
	for _, m := range r.machines {
		if r.core.machines[m.id] == m && m.group != r.to && slices.Contains(r.from, m.group) {
			moving = append(moving, m)
		}
	}
	return moving
}

// giveUp leaves the groups as they are. Their own writes may have been taken
// back for this one.
func (r *regrouping) giveUp() {
	r.unlock()
	for _, g := range r.all {
		r.core.writeGroup(g, prioStart)
	}
	r.done(nil)
}

// stored moves the machines as the records now say.
func (r *regrouping) stored(e Epoch) {
	c := r.core
	r.unlock()
	if !r.part.heldUnder(r.claim) {
		r.done(nil)
		return
	}
	if r.to == nil {
		r.to = c.newGroup(r.part, r.id, 0)
		r.all = append(r.all, r.to)
	}
	for _, m := range r.moving {
		r.to.take(m)
	}
	again := prios
	for _, g := range r.all {
		again = min(again, g.again)
	}
	for i, g := range append(slices.Clone(r.from), r.to) {
		g.mark, g.size = Mark(e), r.snaps[i].size
		c.groupStored(g, r.snaps[i], e)
		if g.again = again; len(g.machines) > 0 { // what was asked of one may now concern the other
			c.writeAgain(g)
		}
	}
	r.done(r.to)
}

// refused follows a conflict with another writer.
func (r *regrouping) refused() {
	r.unlock()
	for _, g := range r.all {
		if r.core.groups[g.id] == g {
			r.core.checkGroup(g)
		}
	}
	r.done(nil)
}

// lost follows the loss of the part.
func (r *regrouping) lost() {
	r.unlock()
	r.done(nil)
}

// take moves a machine here from the group that it is in.
func (g *group) take(m *machine) {
	delete(m.group.machines, m.id)
	m.group = g
	g.machines[m.id] = m
}
