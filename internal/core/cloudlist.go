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
	pages   int  // of the last whole list
}

// listReading reads the machine list page by page. Each page is a call of the
// cloud, taken out of this controller's share like any other: the list of a large
// fleet is spread over time rather than read at the cost of rentals.
type listReading struct {
	core  *Core
	items []Listed
	pages int
	done  func(items []Listed, ok bool)
}

const (
	// listRetry is the wait for a call of the cloud that the share does not allow yet.
	listRetry = second / 4
	// listThrottled is the wait after the cloud has refused a page for its rate.
	listThrottled = second
	// listShare is the part of the cloud's rate that the controllers' regular
	// readings may take together.
	listShare = 0.5
)

// readList reads the whole machine list; the first page was paid for.
func (c *Core) readList(done func(items []Listed, ok bool)) {
	l := &listReading{core: c, done: done}
	l.read("")
}

// read asks for the page that follows a machine.
func (l *listReading) read(since MachineID) {
	c := l.core
	c.emit(CloudList{Since: since, Call: c.call(func(b any) { l.learn(since, b.(CloudListReply)) })})
}

// readWhenAllowed asks for a page as soon as the share of calls allows it.
func (l *listReading) readWhenAllowed(since MachineID) {
	if !l.core.mayCallCloud() {
		l.core.after(listRetry, func() { l.readWhenAllowed(since) })
		return
	}
	l.read(since)
}

// learn takes in a page and goes on with the next.
func (l *listReading) learn(since MachineID, page CloudListReply) {
	c := l.core
	switch {
	case page.Out == Throttled:
		c.cloudThrottled()
		c.after(listThrottled, func() { l.readWhenAllowed(since) })
		return
	case page.Out != OK:
		l.done(nil, false)
		return
	}
	l.items = append(l.items, page.Items...)
	l.pages++
	if page.More && len(page.Items) > 0 {
		l.readWhenAllowed(page.Items[len(page.Items)-1].ID)
		return
	}
	c.cloudListing.pages = l.pages
	l.done(l.items, true)
}

// listPause is the time between two readings of the cloud's list: the more pages
// it has and the more controllers read it, the longer. A controller without
// machines has only orphans to look for, which takes a minute anyway.
func (c *Core) listPause() Time {
	calls := float64(c.cloudListing.pages * c.writer.live)
	spread := Time(calls / (c.cfg.CloudRPS * listShare) * float64(second))
	d := max(c.cfg.ListLag, 8*second, spread)
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
	c.readList(func(items []Listed, ok bool) {
		c.cloudListing.reading = false
		if ok {
			c.learnCloudList(items)
		}
	})
}

// learnCloudList takes in the whole machine list.
func (c *Core) learnCloudList(items []Listed) {
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
