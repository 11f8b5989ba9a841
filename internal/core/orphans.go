package core

import (
	"slices"
	"strconv"

	"stairrelay/internal/grouprecord"
)

// orphans holds the machines that no record known here lists: somebody else's,
// a late rental's, or one whose record a crash prevented.
//
// At most one search for owners runs at a time, and serves all reports that
// came in before it began. A machine in enlisting is being inspected or
// written into a record here, and is not taken up a second time meanwhile.
type orphans struct {
	listedSince map[MachineID]Time // shown by the cloud's list and by no record, since when
	found       []Listed           // shown by the list, to be looked for in the records
	reports     []Checkin          // from machines whose owner is to be looked for
	searching   bool
	searchedAt  Time
	enlisting   map[MachineID]bool
}

const (
	// ownerNoteFresh is how long a note of a machine's owner answers its reports.
	ownerNoteFresh = 15 * second
	// ownerNoteKept is how long such a note shows that it is somebody's.
	ownerNoteKept = 60 * second
	// searchDelay is how long reports are gathered for one search.
	searchDelay = 50 * milli
	// searchPause is the least time between two searches.
	searchPause = 500 * milli
)

func newOrphans() orphans {
	return orphans{listedSince: map[MachineID]Time{}, enlisting: map[MachineID]bool{}}
}

// startSearch tells whether a search has to begin now, and notes that it does.
func (o *orphans) startSearch() bool {
	if o.searching || len(o.reports) == 0 {
		return false
	}
	o.searching = true
	return true
}

// delay is how long the next search has to wait.
func (o *orphans) delay(now Time) Time { return max(searchDelay, o.searchedAt+searchPause-now) }

// takeReports takes the reports that the search which begins now serves.
func (o *orphans) takeReports(now Time) []Checkin {
	batch := o.reports
	o.reports, o.searchedAt = nil, now
	return batch
}

// endSearch notes that no search runs any more.
func (o *orphans) endSearch(now Time) { o.searching, o.searchedAt = false, now }

// addFound notes a machine that the cloud's list shows; true: it is the first.
func (o *orphans) addFound(l Listed) bool {
	o.enlisting[l.ID] = true
	o.found = append(o.found, l)
	return len(o.found) == 1
}

// takeFound takes the machines found so far.
func (o *orphans) takeFound() []Listed {
	found := o.found
	o.found = nil
	return found
}

// tooNew tells whether a machine was first listed without a record less than a
// time ago.
func (o *orphans) tooNew(id MachineID, now, patience Time) bool {
	first, ok := o.listedSince[id]
	return ok && now-first < patience
}

// onUnknownReport answers a worker that this node doesn't own. Who does is known
// from the records; one reading of them serves all that ask meanwhile.
func (c *Core) onUnknownReport(e Checkin) {
	if part, ok := c.owners.recent(e.Report.Machine, c.now, ownerNoteFresh); ok {
		c.redirectToPart(e.Req, part)
		return
	}
	if c.storeLost(500 * milli) {
		c.refuse(e.Req, ReplyUnavailable, 0, "")
		return
	}
	c.orphans.reports = append(c.orphans.reports, e)
	c.findOwners()
}

// redirectToPart sends a worker to the holder of a part. While that is this
// node, its machine is about to be learned here.
func (c *Core) redirectToPart(req ReqID, part Part) {
	if p := c.parts[part]; !p.held {
		c.redirect(req, p.holder)
		return
	}
	c.refuse(req, ReplyUnavailable, 0, "")
}

// findOwners reads which machines the records list. Only the holder of the part
// that an orphan's number points to may enlist it, and so nobody else does at
// the same time.
func (c *Core) findOwners() {
	o := &c.orphans
	if !o.startSearch() {
		return
	}
	c.after(o.delay(c.now), func() {
		reports := o.takeReports(c.now)
		c.readRecorded(func(rec *recordedMachines) {
			o.endSearch(c.now)
			for _, e := range reports {
				c.answerUnknown(e, rec)
			}
			c.findOwners()
		})
	})
}

// answerUnknown answers a worker whose machine was looked for in the records.
func (c *Core) answerUnknown(e Checkin, rec *recordedMachines) {
	id := e.Report.Machine
	switch {
	case c.machines[id] != nil: // learned meanwhile
		c.onCheckin(e)
	case rec == nil:
		c.refuse(e.Req, ReplyUnavailable, 0, "")
	case rec.listed[id]:
		c.redirectToPart(e.Req, c.owners[id].part)
	default:
		p := c.partFor(id)
		c.redirectToPart(e.Req, p.id)
		if p.held {
			c.inspectOrphan(p, &e.Report, rec)
		}
	}
}

// inspectOrphan asks a machine that is nobody's for its state, and enlists it
// when it answers: a report may be an old copy from one that is long gone.
func (c *Core) inspectOrphan(p *part, r *Report, rec *recordedMachines) {
	id, kind := r.Machine, grouprecord.Kind{Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	if !p.ready || rec.open[kind] || c.orphans.enlisting[id] || r.Addr == "" {
		return
	}
	c.orphans.enlisting[id] = true
	c.emit(Inspect{Addr: r.Addr, Call: c.call(func(b any) {
		reply := b.(OrdersReply)
		if reply.Out != OK || reply.Report.Machine != id || !p.held || !p.ready {
			delete(c.orphans.enlisting, id)
			return
		}
		c.enlistSoon(p, grouprecord.Machine{ID: id, Kind: kind, Address: r.Addr})
	})})
}

// orphanAfter is how long a machine must have been in the list and in no record:
// the list still shows for a while what has been returned or has died.
func (c *Core) orphanAfter() Time { return 3*c.cfg.ListLag + 45*second }

// seenUnrecorded follows a machine in the cloud's list that is not held here.
// The lag must be over, or a record that is being written would be missed.
func (c *Core) seenUnrecorded(l Listed) {
	if l.AgeS < 3*float64(c.cfg.ListLag)/float64(second)+20 {
		return
	}
	if _, ok := c.owners.recent(l.ID, c.now, ownerNoteKept); ok {
		return
	}
	p := c.partFor(l.ID)
	if !p.held || !p.ready || c.storeLost(second) {
		return
	}
	if c.orphans.tooNew(l.ID, c.now, c.orphanAfter()) || c.orphans.enlisting[l.ID] {
		return
	}
	if c.orphans.addFound(l) {
		c.after(0, c.enlistFound)
	}
}

// enlistFound looks whether records list the machines that the cloud shows, and
// takes those that have been nobody's for long enough. That they were listed
// long ago says nothing: they may have been somebody's until now, and then a
// machine just returned would be taken in though it is gone.
func (c *Core) enlistFound() {
	found := c.orphans.takeFound()
	c.readRecorded(func(rec *recordedMachines) {
		for _, l := range found {
			c.adopt(l, rec)
		}
	})
}

// adopt enlists a machine from the cloud's list if no record lists it still.
func (c *Core) adopt(l Listed, rec *recordedMachines) {
	o := &c.orphans
	delete(o.enlisting, l.ID)
	p := c.partFor(l.ID)
	kind := grouprecord.Kind{Type: l.Type, Zone: l.Zone, Spot: l.Spot}
	if rec == nil || rec.listed[l.ID] || rec.open[kind] || c.machines[l.ID] != nil || !p.held || !p.ready {
		delete(o.listedSince, l.ID)
		return
	}
	if _, ok := o.listedSince[l.ID]; !ok {
		o.listedSince[l.ID] = c.now
		return
	}
	if o.tooNew(l.ID, c.now, c.orphanAfter()) {
		return
	}
	c.logf(LogInfo, "adopted stray machine", "machine", string(l.ID))
	c.enlistSoon(p, grouprecord.Machine{ID: l.ID, Kind: kind, Address: l.Addr})
}

// enlistSoon gathers what is to be enlisted within a moment. Until that is
// stored or has failed, the machine is not enlisted a second time.
func (c *Core) enlistSoon(p *part, l grouprecord.Machine) {
	c.orphans.enlisting[l.ID] = true
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
					delete(c.orphans.enlisting, l.ID)
				}
				c.machineSweep()
			}
			if !p.heldUnder(claim) {
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
func (c *Core) enlist(p *part, ms []grouprecord.Machine, done func()) {
	claim := p.claim
	id := c.groupName(p)
	size := 0
	c.writer.add(prioRent, &write{
		part: p.id, keys: []string{"groups/" + id},
		build: func(nonce string) ([]TxnOp, []Mark) {
			ms = slices.DeleteFunc(ms, func(l grouprecord.Machine) bool { return c.machines[l.ID] != nil })
			if len(ms) == 0 {
				done()
				return nil, nil
			}
			v := grouprecord.Encode(grouprecord.Record{Part: p.id, Machines: ms, Nonce: nonce})
			size = len(v)
			return []TxnOp{{"groups/" + id, v}}, []Mark{0}
		},
		ok: func(e Epoch) {
			if p.heldUnder(claim) {
				c.addGroup(p, id, ms, size, e)
			}
			done()
		},
		conflict: done,
		lost:     done,
	})
}

// addGroup follows the first record of machines that only this claim has owned.
func (c *Core) addGroup(p *part, id string, ms []grouprecord.Machine, size int, e Epoch) {
	g := c.newGroup(p, id, Mark(e))
	g.size = size
	for _, l := range ms {
		if c.machines[l.ID] == nil {
			m := c.addMachine(g, l, Token(e))
			m.first = m.token
		}
	}
	c.placement.request()
}
