package provisioning

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

const (
	// firstListDelay is the wait before the first controller reads the list.
	firstListDelay = 2 * second
	// minListInterval is the least time between two readings of the list.
	minListInterval = 8 * second
	// noMachinesListFactor lengthens that time for a controller without machines: it
	// has only orphans to look for, which takes a minute anyway.
	noMachinesListFactor = 4
	// listRetryDelay is the wait for a request that the share does not allow yet.
	listRetryDelay = second / 4
	// listThrottledDelay is the wait after the cloud has refused a page for its rate.
	listThrottledDelay = second
	// listRateShare is the part of the cloud's rate that the regular readings of all
	// controllers may take together.
	listRateShare = 0.5
	// statusFailed is the cloud's status of a machine that has failed.
	statusFailed = "failed"
	// failedHeartbeats is for how many heartbeat intervals a machine that the cloud
	// says has failed must have been silent.
	failedHeartbeats = 2
)

// Orphans follows machines in the cloud's list that no record known here lists.
type Orphans interface {
	// HandleListed is called for each such machine of a list.
	HandleListed(cluster.ListedMachine)
	// ForgetUnlisted is called after that with all machines that the list shows.
	ForgetUnlisted(listed map[cluster.MachineID]bool)
}

// MachineList reads the cloud's list of machines now and then. It shows machines that
// have failed, and orphans that no record lists. One regular reading runs at a time.
type MachineList struct {
	*shared
	rate    *RequestRate
	scaleIn *ScaleIn

	reading       bool
	nextReadAt    cluster.Time // no reading begins before
	lastPageCount int          // of the last whole list
}

func newMachineList(base *shared, rate *RequestRate, scaleIn *ScaleIn) *MachineList {
	l := &MachineList{shared: base, rate: rate, scaleIn: scaleIn}
	l.nextReadAt = l.firstReadAt()
	return l
}

// firstReadAt spreads the controllers' first readings: they start together, at the
// moment at which a fleet may have to be requested.
func (l *MachineList) firstReadAt() cluster.Time {
	index := max(slices.Index(l.config.Nodes, l.config.Self), 0)
	return firstListDelay + l.interval()*cluster.Time(index)/cluster.Time(len(l.config.Nodes))
}

// interval is the time between two readings: the more pages the list has and the more
// controllers read it, the longer.
func (l *MachineList) interval() cluster.Time {
	calls := float64(l.lastPageCount * l.queue.LiveControllers())
	spread := cluster.Time(calls / (l.config.CloudRPS * listRateShare) * float64(second))
	interval := max(l.config.CloudListLag, minListInterval, spread)
	if len(l.state.Machines) == 0 {
		interval *= noMachinesListFactor
	}
	return interval
}

// Poll reads the list if that is due and the share of requests allows it.
func (l *MachineList) Poll() {
	if l.reading || l.loop.Now() < l.nextReadAt || !l.rate.TryCall() {
		return
	}
	l.nextReadAt = l.loop.Now() + l.interval()
	l.reading = true
	l.Read(func(items []cluster.ListedMachine, ok bool) {
		l.reading = false
		if ok {
			l.Apply(items)
		}
	})
}

// RequestRead makes the next reading due at once: the list shows what the records may
// lack.
func (l *MachineList) RequestRead() { l.nextReadAt = 0 }

// Read reads the whole list, and calls done with it, or with false when the cloud has
// not given it. The request for the first page is charged by the caller.
func (l *MachineList) Read(done func(items []cluster.ListedMachine, ok bool)) {
	reading := &machineListReading{list: l, done: done}
	reading.requestPage("")
}

// Apply takes in a whole list.
func (l *MachineList) Apply(items []cluster.ListedMachine) {
	listed := make(map[cluster.MachineID]bool, len(items))
	for _, item := range items {
		listed[item.ID] = true
		l.applyItem(item)
	}
	// Once listed, a machine stays listed until it is gone. A list may be old or the
	// machine new, so this proves nothing; but there is no use in waiting for a
	// machine that is silent too, and its release will be the proof.
	for id, machine := range l.state.Machines {
		machine.MissingFromCloudList = !listed[id] && !machine.Booting
	}
	l.deps.Orphans.ForgetUnlisted(listed)
}

// applyItem takes in one machine of the list.
func (l *MachineList) applyItem(item cluster.ListedMachine) {
	machine := l.state.Machines[item.ID]
	if machine == nil {
		l.deps.Orphans.HandleListed(item)
		return
	}
	if machine.Address == "" {
		machine.Address = item.Addr
	}
	if item.Status == statusFailed && l.isFailureCredible(machine) {
		l.scaleIn.Release(machine, releaseFailed)
	}
}

// isFailureCredible tells whether a machine that the cloud says has failed is silent,
// and can be released.
func (l *MachineList) isFailureCredible(machine *state.Machine) bool {
	silence := l.loop.Now() - machine.LastHeartbeat
	return !machine.Releasing && l.state.Shards[machine.ShardID].Ready && silence > failedHeartbeats*l.config.HeartbeatInterval
}

// machineListReading reads the list page by page. Each page is a request that is taken
// out of this controller's share: the list of a large fleet is spread over time rather
// than read at the cost of provisioning requests.
type machineListReading struct {
	list      *MachineList
	items     []cluster.ListedMachine
	pageCount int
	done      func(items []cluster.ListedMachine, ok bool)
}

// requestPage asks for the page that follows a machine.
func (r *machineListReading) requestPage(after cluster.MachineID) {
	loop := r.list.loop
	call := eventloop.Call(loop, func(reply messages.ListMachinesReply) { r.handlePage(after, reply) })
	loop.Emit(messages.CloudListMachines{After: after, Call: call})
}

// requestPageWhenAllowed asks for a page as soon as the share of requests allows it.
func (r *machineListReading) requestPageWhenAllowed(after cluster.MachineID) {
	if !r.list.rate.TryCall() {
		r.list.loop.After(listRetryDelay, func() { r.requestPageWhenAllowed(after) })
		return
	}
	r.requestPage(after)
}

// handlePage takes in the page that follows a machine, and goes on with the next.
func (r *machineListReading) handlePage(after cluster.MachineID, page messages.ListMachinesReply) {
	switch {
	case page.Outcome == messages.Throttled:
		r.list.rate.HandleThrottled()
		r.list.loop.After(listThrottledDelay, func() { r.requestPageWhenAllowed(after) })
		return
	case page.Outcome != messages.OK:
		r.done(nil, false)
		return
	}
	r.items = append(r.items, page.Items...)
	r.pageCount++
	if page.More && len(page.Items) > 0 {
		r.requestPageWhenAllowed(page.Items[len(page.Items)-1].ID)
		return
	}
	r.list.lastPageCount = r.pageCount
	r.done(r.items, true)
}
