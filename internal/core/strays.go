package core

import (
	"encoding/json"
	"slices"
	"strconv"
)

// Machines that no record of ours lists: somebody else's, or nobody's yet.

// strangeReport answers a worker that this node doesn't own. Who does is known
// from the records; one reading of them serves all that ask meanwhile.
func (c *Core) strangeReport(e Checkin) {
	id := e.Report.Machine
	if n, ok := c.owners[id]; ok && c.now-n.at < 15*second {
		p := c.parts[n.part]
		if !p.held {
			c.redirect(e.Req, p.holder)
			return
		}
		c.refuse(e.Req, 503, 0, "")
		return
	}
	if c.storeLost(500 * milli) {
		c.refuse(e.Req, 503, 0, "")
		return
	}
	c.strange = append(c.strange, e)
	c.findOwners()
}

// findOwners reads which machines the records list. The rentals are read
// first: a machine whose rental is not settled yet is in no group, but will be.
// So a machine that is in none, and of whose kind none of the rentals read
// before was open, is nobody's; only the holder of the part that its number
// points to may enlist it, and so nobody else does at the same time.
func (c *Core) findOwners() {
	if c.finding || len(c.strange) == 0 {
		return
	}
	c.finding = true
	c.after(max(50*milli, c.foundAt+500*milli-c.now), func() {
		ask := c.strange
		c.strange, c.foundAt = nil, c.now
		end := func(open map[groupKind]bool, listed map[MachineID]bool) {
			c.finding = false
			c.foundAt = c.now
			c.settleStrange(ask, open, listed)
			c.findOwners()
		}
		c.readOwners(end)
	})
}

// readOwners calls fn with the kinds of the open rentals and all machines that
// groups list; with nil when the store doesn't answer.
func (c *Core) readOwners(fn func(open map[groupKind]bool, listed map[MachineID]bool)) {
	c.list("rentals/", func(r ListReply) {
		if r.Out != OK {
			fn(nil, nil)
			return
		}
		open := map[groupKind]bool{}
		for _, kv := range r.Items {
			var rec rentalRecord
			if json.Unmarshal(kv.Value, &rec) != nil {
				fn(nil, nil) // unreadable: nothing can be concluded
				return
			}
			open[groupKind{rec.Type, rec.Zone, rec.Spot}] = true
		}
		c.list("groups/", func(r ListReply) {
			if r.Out != OK {
				fn(nil, nil)
				return
			}
			listed := map[MachineID]bool{}
			if !c.noteListed(r.Items, listed) {
				fn(nil, nil)
				return
			}
			if !r.Paged {
				fn(open, listed)
				return
			}
			// A machine that changed groups between two pages may be on neither. The
			// record that lists it now was written after the first page was read.
			c.w.reqs.Spend(1)
			c.counters.Gets++
			c.emit(StoreWatch{Prefix: "groups/", Since: r.Epoch, Call: c.call(func(b any) {
				if r := b.(WatchReply); r.Out != OK || !c.noteListed(r.Items, listed) {
					fn(nil, nil)
					return
				}
				fn(open, listed)
			})})
		})
	})
}

// noteListed adds the machines that groups' records list, and notes whose they
// are. It returns false when a record can't be read.
func (c *Core) noteListed(items []KV, listed map[MachineID]bool) bool {
	for _, kv := range items {
		if kv.Value == nil {
			continue
		}
		part, ms, err := decodeGroup(kv.Value)
		if err != nil || part < 0 || int(part) >= len(c.parts) {
			return false
		}
		for i := range ms {
			listed[ms[i].id] = true
			if c.machines[ms[i].id] == nil {
				c.owners[ms[i].id] = ownerNote{part, c.now}
			}
		}
	}
	return true
}

// settleStrange answers the workers whose machines were looked for.
func (c *Core) settleStrange(ask []Checkin, open map[groupKind]bool, listed map[MachineID]bool) {
	for _, e := range ask {
		id, r := e.Report.Machine, &e.Report
		switch {
		case c.machines[id] != nil: // learned meanwhile
			c.onCheckin(e)
		case listed == nil:
			c.refuse(e.Req, 503, 0, "")
		case listed[id]:
			n := c.owners[id]
			if p := c.parts[n.part]; !p.held {
				c.redirect(e.Req, p.holder)
			} else {
				c.refuse(e.Req, 503, 0, "")
			}
		default:
			p := c.partFor(id)
			if !p.held {
				c.redirect(e.Req, p.holder)
				continue
			}
			c.refuse(e.Req, 503, 0, "")
			kind := groupKind{r.Type, r.Zone, r.Spot}
			if !p.ready || open[kind] || c.inspecting[id] || r.Addr == "" {
				continue
			}
			// A report may be an old copy from a machine that is long gone.
			c.inspecting[id] = true
			c.emit(Inspect{Addr: r.Addr, Call: c.call(func(b any) {
				o := b.(OrdersReply)
				if o.Out != OK || o.Report.Machine != id || !p.held || !p.ready {
					delete(c.inspecting, id)
					return
				}
				c.enlistSoon(p, listedMachine{id: id, kind: kind, addr: r.Addr})
			})})
		}
	}
}

// enlistSoon gathers what is to be enlisted within a moment. Until that is
// stored or has failed, the machine is not enlisted a second time.
func (c *Core) enlistSoon(p *part, l listedMachine) {
	c.inspecting[l.id] = true
	p.toEnlist = append(p.toEnlist, l)
	if len(p.toEnlist) > 1 {
		return
	}
	claim := p.claim
	c.after(100*milli, func() {
		all := p.toEnlist
		p.toEnlist = nil
		for n := c.groupMachines(); len(all) > 0; {
			ms := all[:min(n, len(all))]
			all = all[len(ms):]
			done := func() {
				for _, l := range ms {
					delete(c.inspecting, l.id)
				}
				c.machineSweep()
			}
			if !p.held || p.claim != claim {
				done()
				continue
			}
			c.enlist(p, slices.Clone(ms), done)
		}
	})
}

// partFor spreads unknown machines over the parts by their number.
func (c *Core) partFor(id MachineID) *part {
	n := 0
	for i := len(id) - 1; i >= 0 && id[i] >= '0' && id[i] <= '9'; i-- {
		v, _ := strconv.Atoi(string(id[i:]))
		n = v
		if len(id)-i > 9 {
			break
		}
	}
	return c.parts[n%len(c.parts)]
}

// enlist writes machines that no record lists into a new group of a part. done
// is called when that is stored, or has failed.
func (c *Core) enlist(p *part, ms []listedMachine, done func()) {
	claim := p.claim
	id := c.groupName(p)
	size := 0
	c.w.add(prioRent, &write{
		part: p.id, keys: []string{"groups/" + id},
		build: func(nonce string) ([]TxnOp, []Mark) {
			ms = slices.DeleteFunc(ms, func(l listedMachine) bool { return c.machines[l.id] != nil })
			if len(ms) == 0 {
				done()
				return nil, nil
			}
			v := encodeGroup(p.id, ms, nonce)
			size = len(v)
			return []TxnOp{{"groups/" + id, v}}, []Mark{0}
		},
		ok: func(e Epoch) {
			if p.held && p.claim == claim {
				c.addGroup(p, id, ms, size, e)
			}
			done()
		},
		conflict: done,
		lost:     done,
	})
}

// addGroup follows the first record of machines that only this claim has owned.
func (c *Core) addGroup(p *part, id string, ms []listedMachine, size int, e Epoch) {
	g := c.newGroup(p, id, Mark(e))
	g.size = size
	for _, l := range ms {
		if c.machines[l.id] == nil {
			m := c.addMachine(g, l, Token(e))
			m.first = m.token
		}
	}
	c.placing = true
}
