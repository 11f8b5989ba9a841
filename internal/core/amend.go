package core

import (
	"slices"

	"stairrelay/internal/grouprecord"
)

// What a record that makes no sense lists is unknown, and guessing could run a
// task twice. The part's other records are kept; its machines are returned to
// the cloud, after which nothing that they held can still run, and the record
// is dropped. Until then users are answered from the store.

// setAside notes a group's record that makes no sense.
func (c *Core) setAside(p *part, kv KV, why string) {
	c.logf(LogInfo, "impossible record", "key", kv.Key, "why", why)
	if p.aside == nil {
		p.aside = map[string]Mark{}
	}
	p.aside[kv.Key] = kv.Mark
	for _, g := range sortedKeys(c.groups) {
		if c.groups[g].key() == kv.Key {
			c.groupMoved(c.groups[g], NoPart)
		}
	}
}

// clearAside returns every machine that the cloud lists and no readable record
// does, then drops the records set aside and reads the part again. The list may
// be as old as twice its lag: only one that must show all that existed at the
// claim will do.
func (c *Core) clearAside(p *part) {
	claim := p.claim
	again := func(d Time) {
		c.after(d, func() {
			if p.held && p.claim == claim && !p.ready {
				c.clearAside(p)
			}
		})
	}
	if wait := p.since + 2*c.cfg.ListLag + 3*second - c.now; wait > 0 {
		again(wait)
		return
	}
	c.mustCallCloud()
	c.readList(func(listedByCloud []Listed, ok bool) {
		if !ok {
			again(2 * second)
			return
		}
		c.list("groups/", func(l ListReply) {
			if l.Out != OK {
				again(second)
				return
			}
			listed := map[MachineID]bool{}
			for _, kv := range l.Items {
				if _, bad := p.aside[kv.Key]; bad {
					continue
				}
				if rec, err := grouprecord.Decode(kv.Value); err == nil {
					for i := range rec.Machines {
						listed[rec.Machines[i].ID] = true
					}
				}
			}
			var lost []MachineID
			for _, x := range listedByCloud {
				if !listed[x.ID] {
					lost = append(lost, x.ID)
				}
			}
			c.returnLost(p, claim, lost, again)
		})
	})
}

func (c *Core) returnLost(p *part, claim Epoch, lost []MachineID, again func(Time)) {
	if !p.held || p.claim != claim {
		return
	}
	if len(lost) == 0 {
		c.dropAside(p, claim)
		return
	}
	n := min(len(lost), maxReturn)
	c.mustCallCloud()
	c.emit(CloudReturn{IDs: lost[:n], Call: c.call(func(b any) {
		if b.(ReturnReply).Out != OK {
			again(2 * second)
			return
		}
		c.returnLost(p, claim, lost[n:], again)
	})})
}

func (c *Core) dropAside(p *part, claim Epoch) {
	keys := sortedKeys(p.aside)
	keys = keys[:min(len(keys), c.cfg.TxnOps)]
	c.writer.add(prioRent, &write{
		part: p.id, keys: keys,
		build: func(string) ([]TxnOp, []Mark) {
			var ops []TxnOp
			var marks []Mark
			for _, k := range keys {
				ops, marks = append(ops, TxnOp{k, nil}), append(marks, p.aside[k])
			}
			return ops, marks
		},
		ok: func(Epoch) {
			if p.held && p.claim == claim {
				c.logf(LogInfo, "impossible records dropped", "part", int(p.id), "records", len(keys))
				c.reload(p)
			}
		},
		conflict: func() { // another part's holder was faster, or an earlier sending was carried out
			if p.held && p.claim == claim {
				c.reload(p)
			}
		},
	})
}

// reload reads a part's records anew.
func (c *Core) reload(p *part) {
	p.aside = nil
	for _, m := range slices.Clone(p.machines) {
		c.dropMachine(m)
	}
	for _, j := range slices.Clone(p.jobs) {
		c.dropJob(j)
	}
	for _, id := range sortedKeys(c.groups) {
		if c.groups[id].part == p.id {
			delete(c.groups, id)
		}
	}
	p.rentals = map[string]*rental{}
	c.loadPart(p)
}

// groupPart reads at least whose a record is that makes no sense otherwise.
func groupPart(v []byte, parts int) (Part, bool) {
	part, ok := grouprecord.PartOf(v)
	if !ok || part < 0 || int(part) >= parts {
		return 0, false
	}
	return part, true
}
