package provisioning

import (
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/eventloop"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

const (
	// firstListDelay is the delay before the first controller reads the list for the
	// first time.
	firstListDelay = 2 * second
	// minListInterval is the minimum interval between the regular reads of the list, unless
	// RequestRead makes one due earlier.
	minListInterval = 8 * second
	// emptyFleetIntervalFactor lengthens the interval for a controller without
	// machines, which reads the list only to find orphans.
	emptyFleetIntervalFactor = 4
	// listRetryDelay is the delay before the rate limiter is asked again for a page that
	// it has denied.
	listRetryDelay = second / 4
	// listThrottledDelay is the delay before a page that the cloud has throttled is
	// requested again.
	listThrottledDelay = second
	// listRateShare is the fraction of the cloud's rate limit that the regular reads of
	// all controllers may use together.
	listRateShare = 0.5
	// statusFailed is the cloud's status of a failed machine.
	statusFailed = "failed"
	// failedSilenceIntervals is the number of heartbeat intervals without a heartbeat
	// after which a machine with the status failed is released.
	failedSilenceIntervals = 2
)

// Orphans handles machines in the cloud's list that belong to no owned shard, and finds
// those that no record lists.
type Orphans interface {
	// HandleListed handles one such machine in the list.
	HandleListed(cluster.ListedMachine)
	// ForgetUnlisted discards what is known of machines that are not in listed, the set of
	// all machines in the list, or that belong to an owned shard by now. It is called once for
	// each list, after the calls of HandleListed.
	ForgetUnlisted(listed map[cluster.MachineID]bool)
}

// MachineList reads the cloud's list of machines at intervals. The list shows machines
// that have failed, and orphans that no record lists. At most one of these regular reads
// runs at a time.
type MachineList struct {
	*shared
	rateLimiter *CloudRateLimiter
	scaleIn     *ScaleIn

	reading       bool
	nextReadAt    cluster.Time // earliest start of the next regular read
	lastPageCount int          // number of pages of the last complete list
}

func newMachineList(common *shared, rateLimiter *CloudRateLimiter, scaleIn *ScaleIn) *MachineList {
	l := &MachineList{shared: common, rateLimiter: rateLimiter, scaleIn: scaleIn}
	l.nextReadAt = l.firstReadAt()
	return l
}

// firstReadAt returns the time of the first read. It staggers the reads of controllers
// that start together, as the initial provisioning requests need the cloud's rate limit
// at that time.
func (l *MachineList) firstReadAt() cluster.Time {
	index := max(slices.Index(l.config.Nodes, l.config.Self), 0)
	return firstListDelay + l.interval()*cluster.Time(index)/cluster.Time(len(l.config.Nodes))
}

// interval returns the time between two regular reads. It grows with the number of pages and of
// live controllers, so that the reads of all controllers stay within listRateShare.
func (l *MachineList) interval() cluster.Time {
	calls := float64(l.lastPageCount * l.queue.LiveControllers())
	rateLimitedInterval := cluster.Time(calls / (l.config.CloudRPS * listRateShare) * float64(second))
	interval := max(l.config.CloudListLag, minListInterval, rateLimitedInterval)
	if len(l.state.Machines) == 0 {
		interval *= emptyFleetIntervalFactor
	}
	return interval
}

// Poll starts a read of the list if one is due and the rate limiter allows it. The list is
// applied once it is complete.
func (l *MachineList) Poll() {
	if l.reading || l.loop.Now() < l.nextReadAt || !l.rateLimiter.TryAcquire() {
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

// RequestRead makes the next read due immediately. It is called when the list may show
// machines that are missing from the records.
func (l *MachineList) RequestRead() { l.nextReadAt = 0 }

// Read reads the whole list and then calls done with it, or with ok false if the request
// for a page has failed. Throttled requests are retried. The caller charges the request for
// the first page to the rate limiter.
func (l *MachineList) Read(done func(items []cluster.ListedMachine, ok bool)) {
	reading := &machineListReading{list: l, done: done}
	reading.requestPage("")
}

// Apply updates the machines from a complete list. It releases machines whose failure is
// confirmed, and passes machines that it doesn't know to Orphans.
func (l *MachineList) Apply(items []cluster.ListedMachine) {
	listed := make(map[cluster.MachineID]bool, len(items))
	for _, item := range items {
		listed[item.ID] = true
		l.applyItem(item)
	}
	// A machine that is missing from the list is probably gone, but the list may be
	// older than the machine. The flag therefore only shortens the time after which a
	// silent machine is released; the cloud's reply to the release confirms that the
	// machine is gone.
	for id, machine := range l.state.Machines {
		machine.MissingFromCloudList = !listed[id] && !machine.Booting
	}
	l.deps.Orphans.ForgetUnlisted(listed)
}

// applyItem updates or releases one machine according to its entry in the list, or passes
// an unknown machine to Orphans.
func (l *MachineList) applyItem(item cluster.ListedMachine) {
	machine := l.state.Machines[item.ID]
	if machine == nil {
		l.deps.Orphans.HandleListed(item)
		return
	}
	if machine.Address == "" {
		machine.Address = item.Addr
	}
	if item.Status == statusFailed && l.isFailureConfirmed(machine) {
		l.scaleIn.Release(machine, releaseFailed)
	}
}

// isFailureConfirmed reports whether a machine with the status failed can be released:
// its heartbeats have stopped, its shard is ready, and it is not being released
// already.
func (l *MachineList) isFailureConfirmed(machine *state.Machine) bool {
	silence := l.loop.Now() - machine.LastHeartbeat
	return !machine.Releasing && l.state.Shards[machine.ShardID].Ready && silence > failedSilenceIntervals*l.config.HeartbeatInterval
}

// machineListReading is one read of the list, page by page. Each page is charged to
// this controller's share of the rate limit, so that reading the list of a large fleet
// leaves room for provisioning requests.
type machineListReading struct {
	list      *MachineList
	items     []cluster.ListedMachine
	pageCount int
	done      func(items []cluster.ListedMachine, ok bool)
}

// requestPage requests the page that follows a machine.
func (r *machineListReading) requestPage(after cluster.MachineID) {
	loop := r.list.loop
	call := eventloop.Call(loop, func(reply messages.ListMachinesReply) { r.handlePage(after, reply) })
	loop.Emit(messages.CloudListMachines{After: after, Call: call})
}

// requestPageWhenAllowed requests a page as soon as the rate limiter allows it.
func (r *machineListReading) requestPageWhenAllowed(after cluster.MachineID) {
	if !r.list.rateLimiter.TryAcquire() {
		r.list.loop.After(listRetryDelay, func() { r.requestPageWhenAllowed(after) })
		return
	}
	r.requestPage(after)
}

// handlePage handles the reply to the request for the page that follows a machine. It
// requests the next page, or calls done if the list is complete or the request has failed.
func (r *machineListReading) handlePage(after cluster.MachineID, page messages.ListMachinesReply) {
	switch {
	case page.Outcome == messages.Throttled:
		r.list.rateLimiter.HandleThrottled()
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
