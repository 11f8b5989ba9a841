package core

import (
	"slices"

	"stairrelay/internal/placement"
)

// stallCheckpoints is how many checkpoints in a row a part may go without
// progress before operators are told, and again after as many more.
const stallCheckpoints = 15

// partProgress counts for how long a part has not been served, so that operators
// learn of a state that no failure detector sees: every controller is alive, yet
// nobody holds the part, or its holder gets nowhere with it.
type partProgress struct {
	stalled int    // checkpoints in a row
	planned uint64 // starts planned, as of the last checkpoint
	stored  uint64 // transactions stored, as of then
}

// stall says in what way a part is not served.
type stall string

const (
	served   stall = ""
	noHolder stall = "nobody serves it"
	noStarts stall = "waiting tasks fit on its machines and none is started"
	noWrites stall = "its writes are not stored"
)

// watchProgress notes at each checkpoint which parts are served.
func (c *Core) watchProgress() {
	for _, p := range c.parts {
		c.noteProgress(p, c.stallOf(p))
	}
}

// noteProgress counts the checkpoints without progress, and logs each time that
// there were too many.
func (c *Core) noteProgress(p *part, why stall) {
	state := &p.progress
	state.planned, state.stored = p.planned, p.storedTxns
	if why == served {
		state.stalled = 0
		return
	}
	if state.stalled++; state.stalled%stallCheckpoints != 0 {
		return
	}
	c.logf(LogInfo, "part makes no progress",
		"part", int(p.id),
		"why", string(why),
		"checkpoints", state.stalled,
		"holder", string(p.holder),
		"claiming", p.claiming)
}

// stallOf says whether a part is served, as far as this controller knows.
func (c *Core) stallOf(p *part) stall {
	switch {
	case c.storeLost(second): // nobody can get on with anything
		return served
	case !p.held:
		if c.servedElsewhere(p) {
			return served
		}
		return noHolder
	case !p.ready:
		return noHolder
	case c.writesStalled(p):
		return noWrites
	case c.startsStalled(p):
		return noStarts
	}
	return served
}

// servedElsewhere tells whether the part's holder says that it holds it, or is
// alive though its word does not come through.
func (c *Core) servedElsewhere(p *part) bool {
	holder := c.peers[p.holder]
	if holder == nil {
		return false
	}
	if c.now-holder.pingAt > 3*second {
		return !c.lost(p.holder)
	}
	return slices.ContainsFunc(holder.ping.Parts, func(held PartTerm) bool { return held.Part == p.id })
}

// writesStalled tells whether records of the part's machines wait to be stored,
// and nothing of the part was stored since the last checkpoint.
func (c *Core) writesStalled(p *part) bool {
	if p.storedTxns != p.progress.stored {
		return false
	}
	for _, g := range c.groups {
		if g.part == p.id && g.writing {
			return true
		}
	}
	return false
}

// startsStalled tells whether waiting tasks fit on the part's machines, and none
// was given one since the last checkpoint.
func (c *Core) startsStalled(p *part) bool {
	if p.planned != p.progress.planned || !slices.ContainsFunc(p.jobs, c.waits) {
		return false
	}
	work := c.unplaced(p)
	slots, _ := c.slots(p, 1)
	for i := range slots {
		s := &slots[i]
		fits := func(j *job) bool {
			return c.allowedOn(j, s.m) && c.mayUse(j, s.m) && c.room(s.m.group, j) && s.image(j) != placement.ImageBlocked &&
				zoneAllowed(&j.spec, c.zonesOf(j), s.m.zone)
		}
		if c.fill(work, s.free, fits) > 0 {
			return true
		}
	}
	return false
}

// stalledParts counts the parts that have not been served for so long that
// operators were told.
func (c *Core) stalledParts() int {
	stalled := 0
	for _, p := range c.parts {
		if p.progress.stalled >= stallCheckpoints {
			stalled++
		}
	}
	return stalled
}
