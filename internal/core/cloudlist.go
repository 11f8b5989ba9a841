package core

import (
	"slices"
)

// cloudListing is the state of reading the cloud's machine list, which shows
// machines that died and orphans that no record lists.
//
// One reading runs at a time.
type cloudListing struct {
	reading bool
	nextAt  Time // no reading begins before
}

// listPage is how many machines the protocol lets one answer list.
const listPage = 500

// listPause is the time between two readings of the cloud's list. A controller
// without machines has only orphans to look for, which takes a minute anyway.
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
// and orphans that no record lists.
func (c *Core) listCloud() {
	if c.cloudListing.reading || c.now < c.cloudListing.nextAt || !c.mayCallCloud() {
		return
	}
	c.cloudListing.nextAt = c.now + c.listPause()
	c.cloudListing.reading = true
	c.emit(CloudList{Call: c.call(func(b any) {
		c.cloudListing.reading = false
		if r := b.(CloudListReply); r.Out == OK {
			c.learnCloudList(r.Items)
		}
	})})
}

// learnCloudList takes in the whole machine list.
func (c *Core) learnCloudList(items []Listed) {
	for n := len(items); n > listPage; n -= listPage {
		c.mustCallCloud() // each further page is a call too
	}
	listed := make(map[MachineID]bool, len(items))
	for _, l := range items {
		listed[l.ID] = true
		c.seenInList(l)
	}
	// Once listed, a machine stays listed until it is gone. A list may be old
	// or the machine new, so this is no proof; but one that is silent too is
	// not worth waiting for, and its return will be the proof.
	for id, m := range c.machines {
		m.unlisted = !listed[id] && !m.booting
	}
	for id := range c.orphans.listedSince {
		if !listed[id] || c.machines[id] != nil {
			delete(c.orphans.listedSince, id)
		}
	}
}

// seenInList takes in one machine of the cloud's list.
func (c *Core) seenInList(l Listed) {
	m := c.machines[l.ID]
	if m == nil {
		c.seenUnrecorded(l)
		return
	}
	if m.addr == "" {
		m.addr = l.Addr
	}
	if l.Status == "failed" && !m.returning && c.parts[m.part].ready && c.now-m.heard > 2*c.cfg.ReportEvery {
		c.returnMachine(m, "failed")
	}
}
