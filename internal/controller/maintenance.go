package controller

import (
	"maps"
	"slices"

	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// Maintenance of the machines held here: tokens are raised, silent and idle ones
// returned.

func (c *Controller) handleMachineBooted(m *machine) {
	c.loop.Log(messages.LogDebug, "machine up", "machine", string(m.id), "type", m.machineType, "after_s", int((c.loop.Now()-m.ownedSince)/second))
	m.idleSince = c.loop.Now() // it has not been idle while it booted
	c.schedulingTrigger.request()
}

const maintenanceInterval = second / 2

// maxTokenCalls bounds how many workers are called at once to raise their
// tokens, so that a take-over of hundreds does not use up sockets and
// processor: the others get theirs in the answers to their reports.
const maxTokenCalls = 40

// maintainMachines looks after the machines: raises tokens, gives up the silent,
// returns the idle and replaces slow boots.
func (c *Controller) maintainMachines() {
	reporting := c.workerReachability.HasOwnedHeartbeatWithin(c.config.HeartbeatInterval)
	var ms []*machine
	for _, p := range c.shards {
		if p.owned && p.ready {
			ms = append(ms, p.machines...)
		}
	}
	c.counters.addMachineScans(ms)
	c.pushMaintenanceCommands(ms)
	s := &machineMaintenance{controller: c, workersReporting: reporting, isSurplus: c.surplusPredicate()}
	for _, m := range ms {
		s.maintain(m)
	}
}

// machineMaintenance is one look at the machines held here.
type machineMaintenance struct {
	controller       *Controller
	workersReporting bool                // reports of some machines come in
	isSurplus        func(*machine) bool // an idle machine is of no use to any part
}

// maintain looks after one machine.
func (s *machineMaintenance) maintain(m *machine) {
	c := s.controller
	if m.spot && !m.booting {
		c.spotInterruptions.addServed(maintenanceInterval)
	}
	if c.writeQueue.IsUnavailableFor(second) && !m.releaseConfirmed && (c.hangsWithCancelledTasks(m) || c.ignoresStop(m)) {
		c.scaleInBeforeRecorded(m)
	}
	if m.releasing {
		if m.releaseConfirmed && !m.scaleInCallInFlight {
			c.scheduleScaleIn()
		}
		return
	}
	if c.writeQueue.IsUnavailableFor(second) {
		return
	}
	c.handleSlowMachine(m)
	if m.booting {
		if s.isBootTimedOut(m) {
			c.scaleInMachine(m, "never came up")
		}
		return
	}
	if why := s.stopFailureReason(m); why != "" {
		c.scaleInMachine(m, why)
		return
	}
	if why := s.silenceReason(m); why != "" {
		c.countSpotLoss(m)
		c.scaleInMachine(m, why)
		return
	}
	if why := s.scaleInReason(m); why != "" {
		c.scaleInMachine(m, why)
	}
}

func (s *machineMaintenance) isBootTimedOut(m *machine) bool {
	c := s.controller
	t := c.machineTypes[m.machineType]
	patience := cluster.Time((t.BootSeconds*c.config.Tuning.BootTimeoutFactor + 5) * float64(second))
	return t.BootSeconds > 0 && c.loop.Now()-m.ownedSince > patience
}

// stopFailureReason says why a machine can't be relied on to stop tasks, or "".
// One that hangs with a cancelled job's tasks must be gone before its
// cancellation's time is up.
func (s *machineMaintenance) stopFailureReason(m *machine) string {
	switch {
	case s.controller.hangsWithCancelledTasks(m):
		return "silent with cancelled tasks"
	case s.controller.ignoresStop(m):
		return "does not stop a cancelled task"
	case s.isUnreachableForCommands(m):
		return "deaf"
	}
	return ""
}

// isUnreachableForCommands tells whether a machine's reports come, but nothing that is sent
// to it has an effect.
func (s *machineMaintenance) isUnreachableForCommands(m *machine) bool {
	c := s.controller
	if m.tokenAcknowledged || m.raisingToken || m.incarnation == 0 {
		return false
	}
	unacked := c.loop.Now() - max(m.unacknowledgedSince, c.processHealth.ResumedAt())
	return unacked > c.config.WorkerLease+5*second && c.heartbeatAge(m) < 3*c.config.WorkerLease && c.loop.Now()-m.ownedSince > c.config.WorkerLease
}

// silenceReason says how a machine counts as lost that is not heard any more, or "".
func (s *machineMaintenance) silenceReason(m *machine) string {
	c := s.controller
	silent, lease := c.heartbeatAge(m), c.config.WorkerLease
	switch {
	case m.missingFromCloudList && silent > 5*c.config.HeartbeatInterval/2 && s.workersReporting:
		return "silent and not listed"
	case silent > lease+5*second && (s.workersReporting || silent > 3*lease) && c.loop.Now()-m.ownedSince > lease:
		return "silent"
	}
	return ""
}

// scaleInReason says why a machine without tasks is to be given back, or "".
func (s *machineMaintenance) scaleInReason(m *machine) string {
	c := s.controller
	idleFor := c.loop.Now() - m.idleSince
	switch {
	case m.draining && len(m.assignments) == 0 && c.loop.Now() > m.preemptionDeadline:
		return "drained"
	case m.liveTaskCount() > 0:
		return ""
	case m.draining && m.preemptionDeadline > 0:
		return "notice"
	case m.cordoned && idleFor > 4*second && s.isSurplus(m):
		return "retired"
	case idleFor > c.config.Tuning.ScaleInIdleTime && s.isSurplus(m) && c.heartbeatAge(m) < 3*c.config.HeartbeatInterval:
		return "idle"
	}
	return ""
}

// pushMaintenanceCommands calls those that have not acknowledged their token, and those
// that run cancelled tasks and are silent: they may be unable to report and
// still be reached. Machines with cancelled tasks come first: after a take-over
// in an outage nothing but these calls may reach them.
func (c *Controller) pushMaintenanceCommands(ms []*machine) {
	asked := 0
	for _, cancelled := range []bool{true, false} {
		for _, m := range ms {
			if m.releaseConfirmed || m.pushInFlight || m.address == "" || m.booting || c.loop.Now()-m.lastPushAt <= 1500*millisecond || asked >= maxTokenCalls {
				continue
			}
			if cancelled && c.hasCancelledTask(m) && (!m.tokenAcknowledged || c.heartbeatAge(m) > 2*c.config.HeartbeatInterval) {
				asked++
				c.pushCommands(m, onlyStops(c.commandsFor(m, true)))
			} else if !cancelled && !m.tokenAcknowledged && !m.raisingToken && !m.releasing {
				asked++
				c.pushCommands(m, nil)
			}
		}
	}
}

// firstAcknowledgementTimeout is how long a machine taken over with cancelled tasks may take
// to acknowledge its token. That a report of it came says nothing by itself: it
// may be a copy that was held up until now, while the machine hangs.
func (c *Controller) firstAcknowledgementTimeout() cluster.Time {
	return max(5*second, 2*c.config.HeartbeatInterval)
}

// hangsWithCancelledTasks tells whether a machine that may run tasks of a cancelled
// job seems to hang, so that it has to be returned before the cancellation's time
// is up.
func (c *Controller) hangsWithCancelledTasks(m *machine) bool {
	if !c.hasCancelledTask(m) {
		return false
	}
	if c.heartbeatAge(m) > c.config.WorkerLease+2*second {
		return true
	}
	if !m.awaitingFirstAcknowledgement {
		return false
	}
	if c.loop.Now()-max(m.ownedSince, c.processHealth.ResumedAt()) > c.firstAcknowledgementTimeout() {
		return true
	}
	return c.hasLongCancelledTask(m) && m.pushInFlight && c.loop.Now()-max(m.lastPushAt, c.processHealth.ResumedAt()) > slowPushThreshold
}

// slowPushThreshold is well above what a call takes to a machine that runs.
const slowPushThreshold = 1500 * millisecond

// hasLongCancelledTask tells whether half of the time for a cancellation has passed
// since this process learnt of one whose tasks may be on a machine. Where each
// holder of the part ended sooner than takenPatience, the rest may not be enough
// for that either.
func (c *Controller) hasLongCancelledTask(m *machine) bool {
	for _, a := range m.assignments {
		known := c.jobs.finalJob(a.task.Job)
		if a.isLive() && known != nil && known.finalStatus == cluster.JobCancelled && c.loop.Now()-known.finalSince > c.config.CancelDeadline/2 {
			return true
		}
	}
	return false
}

// countSpotLoss notes a spot machine that went without notice.
func (c *Controller) countSpotLoss(m *machine) {
	if m.spot && !m.draining {
		c.spotInterruptions.interruptionCount++
	}
}

func (c *Controller) hasCancelledTask(m *machine) bool {
	for _, a := range m.assignments {
		if a.isLive() && a.job.cancelling {
			return true
		}
	}
	return false
}

// ignoresStop tells whether a cancelled task goes on in spite of stop commands:
// perhaps they don't reach the machine.
func (c *Controller) ignoresStop(m *machine) bool {
	for _, a := range m.assignments {
		if a.isLive() && a.stopRequestedAt > 0 && a.job.cancelling && c.loop.Now()-a.stopRequestedAt > min(c.config.WorkerLease+2*second, c.config.CancelDeadline/2) {
			return true
		}
	}
	return false
}

// surplusPredicate returns a function that tells whether an idle machine is of no use
// to any part. Another part with too few machines is better offered it than
// left to rent one. What all machines share is worked out at most once.
func (c *Controller) surplusPredicate() func(*machine) bool {
	var loads fairshare.Snapshot
	work := map[cluster.ShardID][]pendingWork{}
	return func(m *machine) bool {
		if loads == nil {
			loads = c.allShardLoads()
		}
		if loads.OthersHaveShortfall(m.shardID) {
			return false
		}
		w, ok := work[m.shardID]
		if !ok {
			w = c.listPendingWork(c.shards[m.shardID])
			work[m.shardID] = w
		}
		for _, x := range w {
			if c.isAllowedOn(x.job, m) {
				return false
			}
		}
		return true
	}
}

// cleanUpGroups clears what records list though it is over, and keeps the
// records' sizes in hand.
func (c *Controller) cleanUpGroups() {
	for _, id := range slices.Sorted(maps.Keys(c.machineGroups)) {
		g := c.machineGroups[id]
		if g.writePending {
			continue
		}
	machines:
		for _, m := range g.sortedMachines() {
			for _, a := range m.assignments {
				if a.confirmedAbsent {
					c.writeGroup(g, writequeue.Background)
					break machines
				}
			}
		}
	}
	for _, p := range c.shards {
		if p.owned && p.ready {
			c.splitAndMergeGroups(p)
		}
	}
}
