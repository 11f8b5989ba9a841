package core

import (
	"slices"

	"stairrelay/internal/grouprecord"
)

// The cloud's machine list: it shows machines that died and strays that no
// record lists.

// listPage is how many machines the protocol lets one answer list.
const listPage = 500

// listPause is the time between two readings of the cloud's list. A controller
// without machines has only strays to look for, which takes a minute anyway.
func (c *Core) listPause() Time {
	d := max(c.cfg.ListLag, 8*second)
	if len(c.machines) == 0 {
		d *= 4
	}
	return d
}

// firstList spreads the controllers' first readings: they start together, at
// the moment at which a fleet may have to be rented.
func (c *Core) firstList() Time {
	at := slices.Index(c.cfg.Nodes, c.cfg.Self)
	return 2*second + c.listPause()*Time(max(at, 0))/Time(len(c.cfg.Nodes))
}

// listCloud reads the machine list now and then: it shows machines that died
// and strays that no record lists.
func (c *Core) listCloud() {
	if c.listed.busy || c.now < c.nextList || !c.mayCallCloud() {
		return
	}
	c.nextList = c.now + c.listPause()
	c.listed.busy = true
	c.emit(CloudList{Call: c.call(func(b any) {
		c.listed.busy = false
		r := b.(CloudListReply)
		if r.Out != OK {
			return
		}
		for n := len(r.Items); n > listPage; n -= listPage {
			c.mustCallCloud() // each further page is a call too
		}
		listed := make(map[MachineID]bool, len(r.Items))
		for _, l := range r.Items {
			listed[l.ID] = true
			c.heardOf(l)
		}
		// Once listed, a machine stays listed until it is gone. A list may be old
		// or the machine new, so this is no proof; but one that is silent too is
		// not worth waiting for, and its return will be the proof.
		for id, m := range c.machines {
			m.unlisted = !listed[id] && !m.booting
		}
		for id := range c.strays {
			if !listed[id] || c.machines[id] != nil {
				delete(c.strays, id)
			}
		}
	})})
}

func (c *Core) heardOf(l Listed) {
	m := c.machines[l.ID]
	if m != nil {
		if m.addr == "" {
			m.addr = l.Addr
		}
		if l.Status == "failed" && !m.returning && c.parts[m.part].ready && c.now-m.heard > 2*c.cfg.ReportEvery {
			c.returnMachine(m, "failed")
		}
		return
	}
	// A stray: a late rental, or one whose record a crash prevented. The lag
	// must be over, or a record that is being written would be missed.
	if l.AgeS < 3*float64(c.cfg.ListLag)/float64(second)+20 {
		return
	}
	if n, ok := c.owners[l.ID]; ok && c.now-n.at < 60*second {
		return
	}
	p := c.partFor(l.ID)
	if !p.held || !p.ready || c.storeLost(second) {
		return
	}
	if first, ok := c.strays[l.ID]; ok && c.now-first < c.strayFor() || c.inspecting[l.ID] {
		return
	}
	c.inspecting[l.ID] = true
	c.found = append(c.found, l)
	if len(c.found) > 1 {
		return
	}
	c.after(0, c.enlistFound)
}

// strayFor is how long a machine must have been in the list and in no record:
// the list still shows for a while what has been returned or has died.
func (c *Core) strayFor() Time { return 3*c.cfg.ListLag + 45*second }

// enlistFound looks whether records list the machines that the cloud shows,
// and takes those that have been nobody's for long enough. That they were
// listed long ago says nothing: they may have been somebody's until now, and
// then a machine just returned would be taken in as a ghost.
func (c *Core) enlistFound() {
	found := c.found
	c.found = nil
	c.readOwners(func(open map[grouprecord.Kind]bool, listed map[MachineID]bool) {
		for _, l := range found {
			delete(c.inspecting, l.ID)
			p := c.partFor(l.ID)
			kind := grouprecord.Kind{Type: l.Type, Zone: l.Zone, Spot: l.Spot}
			if listed == nil || listed[l.ID] || open[kind] || c.machines[l.ID] != nil || !p.held || !p.ready {
				delete(c.strays, l.ID)
				continue
			}
			if first, ok := c.strays[l.ID]; !ok {
				c.strays[l.ID] = c.now
				continue
			} else if c.now-first < c.strayFor() {
				continue
			}
			c.logf("info", "adopted stray machine", "machine", string(l.ID))
			c.enlistSoon(p, grouprecord.Machine{ID: l.ID, Kind: kind, Address: l.Addr})
		}
	})
}
