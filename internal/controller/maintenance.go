package controller

import (
	"maps"
	"slices"

	"stairrelay/internal/scheduling"
	"stairrelay/internal/state"

	"stairrelay/internal/cluster"
	"stairrelay/internal/fairshare"
	"stairrelay/internal/messages"
	"stairrelay/internal/writequeue"
)

// Maintenance of the machines held here: tokens are raised, silent and idle ones
// returned.

func (c *Controller) handleMachineBooted(m *state.Machine) {
	c.loop.Log(messages.LogDebug, "machine up", "machine", string(m.ID), "type", m.MachineType, "after_s", int((c.loop.Now()-m.OwnedSince)/second))
	m.IdleSince = c.loop.Now() // it has not been idle while it booted
	c.scheduler.Trigger.Request()
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
	var ms []*state.Machine
	for _, p := range c.state.Shards {
		if p.Owned && p.Ready {
			ms = append(ms, p.Machines...)
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
	workersReporting bool                      // reports of some machines come in
	isSurplus        func(*state.Machine) bool // an idle machine is of no use to any part
}

// maintain looks after one machine.
func (s *machineMaintenance) maintain(m *state.Machine) {
	c := s.controller
	if m.Spot && !m.Booting {
		c.spotInterruptions.addServed(maintenanceInterval)
	}
	if c.writeQueue.IsUnavailableFor(second) && !m.ReleaseConfirmed && (c.hangsWithCancelledTasks(m) || c.ignoresStop(m)) {
		c.scaleInBeforeRecorded(m)
	}
	if m.Releasing {
		if m.ReleaseConfirmed && !m.ScaleInCallInFlight {
			c.scheduleScaleIn()
		}
		return
	}
	if c.writeQueue.IsUnavailableFor(second) {
		return
	}
	c.scheduler.Stragglers.CheckMachine(m)
	if m.Booting {
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

func (s *machineMaintenance) isBootTimedOut(m *state.Machine) bool {
	c := s.controller
	t := c.state.MachineTypes[m.MachineType]
	patience := cluster.Time((t.BootSeconds*c.config.Tuning.BootTimeoutFactor + 5) * float64(second))
	return t.BootSeconds > 0 && c.loop.Now()-m.OwnedSince > patience
}

// stopFailureReason says why a machine can't be relied on to stop tasks, or "".
// One that hangs with a cancelled job's tasks must be gone before its
// cancellation's time is up.
func (s *machineMaintenance) stopFailureReason(m *state.Machine) string {
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
func (s *machineMaintenance) isUnreachableForCommands(m *state.Machine) bool {
	c := s.controller
	if m.TokenAcknowledged || m.RaisingToken || m.Incarnation == 0 {
		return false
	}
	unacked := c.loop.Now() - max(m.UnacknowledgedSince, c.processHealth.ResumedAt())
	return unacked > c.config.WorkerLease+5*second && c.heartbeatAge(m) < 3*c.config.WorkerLease && c.loop.Now()-m.OwnedSince > c.config.WorkerLease
}

// silenceReason says how a machine counts as lost that is not heard any more, or "".
func (s *machineMaintenance) silenceReason(m *state.Machine) string {
	c := s.controller
	silent, lease := c.heartbeatAge(m), c.config.WorkerLease
	switch {
	case m.MissingFromCloudList && silent > 5*c.config.HeartbeatInterval/2 && s.workersReporting:
		return "silent and not listed"
	case silent > lease+5*second && (s.workersReporting || silent > 3*lease) && c.loop.Now()-m.OwnedSince > lease:
		return "silent"
	}
	return ""
}

// scaleInReason says why a machine without tasks is to be given back, or "".
func (s *machineMaintenance) scaleInReason(m *state.Machine) string {
	c := s.controller
	idleFor := c.loop.Now() - m.IdleSince
	switch {
	case m.Draining && len(m.Assignments) == 0 && c.loop.Now() > m.PreemptionDeadline:
		return "drained"
	case m.LiveTaskCount() > 0:
		return ""
	case m.Draining && m.PreemptionDeadline > 0:
		return "notice"
	case m.Cordoned && idleFor > 4*second && s.isSurplus(m):
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
func (c *Controller) pushMaintenanceCommands(ms []*state.Machine) {
	asked := 0
	for _, cancelled := range []bool{true, false} {
		for _, m := range ms {
			if m.ReleaseConfirmed || m.PushInFlight || m.Address == "" || m.Booting || c.loop.Now()-m.LastPushAt <= 1500*millisecond || asked >= maxTokenCalls {
				continue
			}
			if cancelled && c.hasCancelledTask(m) && (!m.TokenAcknowledged || c.heartbeatAge(m) > 2*c.config.HeartbeatInterval) {
				asked++
				c.pushCommands(m, onlyStops(c.commandsFor(m, true)))
			} else if !cancelled && !m.TokenAcknowledged && !m.RaisingToken && !m.Releasing {
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
func (c *Controller) hangsWithCancelledTasks(m *state.Machine) bool {
	if !c.hasCancelledTask(m) {
		return false
	}
	if c.heartbeatAge(m) > c.config.WorkerLease+2*second {
		return true
	}
	if !m.AwaitingFirstAcknowledgement {
		return false
	}
	if c.loop.Now()-max(m.OwnedSince, c.processHealth.ResumedAt()) > c.firstAcknowledgementTimeout() {
		return true
	}
	return c.hasLongCancelledTask(m) && m.PushInFlight && c.loop.Now()-max(m.LastPushAt, c.processHealth.ResumedAt()) > slowPushThreshold
}

// slowPushThreshold is well above what a call takes to a machine that runs.
const slowPushThreshold = 1500 * millisecond

// hasLongCancelledTask tells whether half of the time for a cancellation has passed
// since this process learnt of one whose tasks may be on a machine. Where each
// holder of the part ended sooner than takenPatience, the rest may not be enough
// for that either.
func (c *Controller) hasLongCancelledTask(m *state.Machine) bool {
	for _, a := range m.Assignments {
		known := c.state.Jobs.FinalJob(a.Task.Job)
		if a.IsLive() && known != nil && known.FinalStatus == cluster.JobCancelled && c.loop.Now()-known.FinalSince > c.config.CancelDeadline/2 {
			return true
		}
	}
	return false
}

// countSpotLoss notes a spot machine that went without notice.
func (c *Controller) countSpotLoss(m *state.Machine) {
	if m.Spot && !m.Draining {
		c.spotInterruptions.interruptionCount++
	}
}

func (c *Controller) hasCancelledTask(m *state.Machine) bool {
	for _, a := range m.Assignments {
		if a.IsLive() && a.Job.Cancelling {
			return true
		}
	}
	return false
}

// ignoresStop tells whether a cancelled task goes on in spite of stop commands:
// perhaps they don't reach the machine.
func (c *Controller) ignoresStop(m *state.Machine) bool {
	for _, a := range m.Assignments {
		if a.IsLive() && a.StopRequestedAt > 0 && a.Job.Cancelling && c.loop.Now()-a.StopRequestedAt > min(c.config.WorkerLease+2*second, c.config.CancelDeadline/2) {
			return true
		}
	}
	return false
}

// surplusPredicate returns a function that tells whether an idle machine is of no use
// to any part. Another part with too few machines is better offered it than
// left to rent one. What all machines share is worked out at most once.
func (c *Controller) surplusPredicate() func(*state.Machine) bool {
	var loads fairshare.Snapshot
	work := map[cluster.ShardID]scheduling.PendingWork{}
	return func(m *state.Machine) bool {
		if loads == nil {
			loads = c.allShardLoads()
		}
		if loads.OthersHaveShortfall(m.ShardID) {
			return false
		}
		w, ok := work[m.ShardID]
		if !ok {
			w = c.scheduler.Queue.PendingWork(c.state.Shards[m.ShardID])
			work[m.ShardID] = w
		}
		for _, x := range w {
			if c.scheduler.Eligibility.IsAllowedOn(x.Job, m) {
				return false
			}
		}
		return true
	}
}

// cleanUpGroups clears what records list though it is over, and keeps the
// records' sizes in hand.
func (c *Controller) cleanUpGroups() {
	for _, id := range slices.Sorted(maps.Keys(c.state.Groups)) {
		g := c.state.Groups[id]
		if g.WritePending {
			continue
		}
	machines:
		for _, m := range g.SortedMachines() {
			for _, a := range m.Assignments {
				if a.ConfirmedAbsent {
					c.inventory.WriteGroup(g, writequeue.Background)
					break machines
				}
			}
		}
	}
	for _, p := range c.state.Shards {
		if p.Owned && p.Ready {
			c.inventory.SplitAndMerge(p)
		}
	}
}
