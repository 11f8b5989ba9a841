package controller

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
)

// cloudListing is the state of reading the cloud's machine list, which shows
// machines that died and orphans that no record lists.
//
// One reading runs at a time.
type cloudListing struct {
	inProgress    bool
	nextReadAt    cluster.Time // no reading begins before
	lastPageCount int          // of the last whole list
}

// cloudListRead reads the machine list page by page. Each page is a call of the
// cloud, taken out of this controller's share like any other: the list of a large
// fleet is spread over time rather than read at the cost of rentals.
type cloudListRead struct {
	controller *Controller
	items      []cluster.ListedMachine
	pageCount  int
	done       func(items []cluster.ListedMachine, ok bool)
}

const (
	// listRetryDelay is the wait for a call of the cloud that the share does not allow yet.
	listRetryDelay = second / 4
	// listThrottledDelay is the wait after the cloud has refused a page for its rate.
	listThrottledDelay = second
	// listRateShare is the part of the cloud's rate that the controllers' regular
	// readings may take together.
	listRateShare = 0.5
)

// readCloudList reads the whole machine list; the first page was paid for.
func (c *Controller) readCloudList(done func(items []cluster.ListedMachine, ok bool)) {
	l := &cloudListRead{controller: c, done: done}
	l.readPage("")
}

// readPage asks for the page that follows a machine.
func (l *cloudListRead) readPage(since cluster.MachineID) {
	c := l.controller
	c.loop.Emit(messages.CloudList{After: since, Call: eventloop.Call(c.loop, func(reply messages.CloudListReply) { l.handlePage(since, reply) })})
}

// readPageWhenAllowed asks for a page as soon as the share of calls allows it.
func (l *cloudListRead) readPageWhenAllowed(since cluster.MachineID) {
	if !l.controller.tryCloudCall() {
		l.controller.loop.After(listRetryDelay, func() { l.readPageWhenAllowed(since) })
		return
	}
	l.readPage(since)
}

// handlePage takes in a page and goes on with the next.
func (l *cloudListRead) handlePage(since cluster.MachineID, page messages.CloudListReply) {
	c := l.controller
	switch {
	case page.Outcome == messages.Throttled:
		c.handleCloudThrottled()
		c.loop.After(listThrottledDelay, func() { l.readPageWhenAllowed(since) })
		return
	case page.Outcome != messages.OK:
		l.done(nil, false)
		return
	}
	l.items = append(l.items, page.Items...)
	l.pageCount++
	if page.More && len(page.Items) > 0 {
		l.readPageWhenAllowed(page.Items[len(page.Items)-1].ID)
		return
	}
	c.cloudListing.lastPageCount = l.pageCount
	l.done(l.items, true)
}

// cloudListInterval is the time between two readings of the cloud's list: the more pages
// it has and the more controllers read it, the longer. A controller without
// machines has only orphans to look for, which takes a minute anyway.
func (c *Controller) cloudListInterval() cluster.Time {
	calls := float64(c.cloudListing.lastPageCount * c.writeQueue.LiveControllers())
	spread := cluster.Time(calls / (c.config.CloudRPS * listRateShare) * float64(second))
	d := max(c.config.CloudListLag, 8*second, spread)
	if len(c.state.Machines) == 0 {
		d *= 4
	}
	return d
}

// firstCloudListAt spreads the controllers' first readings: they start together, at
// the moment at which a fleet may have to be rented.
func (c *Controller) firstCloudListAt() cluster.Time {
	at := slices.Index(c.config.Nodes, c.config.Self)
	return 2*second + c.cloudListInterval()*cluster.Time(max(at, 0))/cluster.Time(len(c.config.Nodes))
}

// pollCloudList reads the machine list now and then: it shows machines that died
// and orphans that no record lists.
func (c *Controller) pollCloudList() {
	if c.cloudListing.inProgress || c.loop.Now() < c.cloudListing.nextReadAt || !c.tryCloudCall() {
		return
	}
	c.cloudListing.nextReadAt = c.loop.Now() + c.cloudListInterval()
	c.cloudListing.inProgress = true
	c.readCloudList(func(items []cluster.ListedMachine, ok bool) {
		c.cloudListing.inProgress = false
		if ok {
			c.applyCloudList(items)
		}
	})
}

// applyCloudList takes in the whole machine list.
func (c *Controller) applyCloudList(items []cluster.ListedMachine) {
	listed := make(map[cluster.MachineID]bool, len(items))
	for _, l := range items {
		listed[l.ID] = true
		c.applyCloudListItem(l)
	}
	// Once listed, a machine stays listed until it is gone. A list may be old
	// or the machine new, so this is no proof; but one that is silent too is
	// not worth waiting for, and its return will be the proof.
	for id, m := range c.state.Machines {
		m.MissingFromCloudList = !listed[id] && !m.Booting
	}
	c.reconciler.Orphans.ForgetUnlisted(listed)
}

// applyCloudListItem takes in one machine of the cloud's list.
func (c *Controller) applyCloudListItem(l cluster.ListedMachine) {
	m := c.state.Machines[l.ID]
	if m == nil {
		c.reconciler.Orphans.HandleListed(l)
		return
	}
	if m.Address == "" {
		m.Address = l.Addr
	}
	if l.Status == "failed" && !m.Releasing && c.state.Shards[m.ShardID].Ready && c.loop.Now()-m.LastHeartbeat > 2*c.config.HeartbeatInterval {
		c.scaleInMachine(m, "failed")
	}
}
