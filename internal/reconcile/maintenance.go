package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// MaintenanceInterval is how often Maintenance.Run is to be called.
const MaintenanceInterval = second / 2

const (
	// maxTokenCalls bounds how many workers are called at once to raise their tokens,
	// so that a failover of hundreds does not use up sockets and processor: the
	// others get theirs in the answers to their heartbeats.
	maxPushesPerScan = 40
	// pushRepeatInterval is the least time between two maintenance calls to a machine.
	minPushInterval = 1500 * millisecond
	// maintenanceStoreSilence is how long the state service may be silent before no
	// machine is released: the record that says so could not be written.
	releaseStoreTimeout = second
	// bootMarginSeconds is added to the time that a machine has for booting.
	bootMarginSeconds = 5
	// cordonedIdleTime is how long a cordoned machine is idle before it is released.
	cordonedIdleTime = 4 * second
)

// ReleaseReason says in the logs why a machine is given back to the cloud.
type ReleaseReason string

// The reasons for which machines are released here.
const (
	ReleaseBootTimedOut           ReleaseReason = "boot timed out"
	ReleaseSilent                 ReleaseReason = "silent"
	ReleaseSilentUnlisted         ReleaseReason = "silent and not listed"
	ReleaseHungWithCancelledTasks ReleaseReason = "silent with cancelled tasks"
	ReleaseIgnoresStop            ReleaseReason = "does not stop a cancelled task"
	ReleaseUnreachable            ReleaseReason = "unreachable for commands"
	ReleaseDrained                ReleaseReason = "drained"
	ReleasePreempted              ReleaseReason = "preempted"
	ReleaseCordoned               ReleaseReason = "cordoned"
	ReleaseIdle                   ReleaseReason = "idle"

	releaseNone ReleaseReason = ""
)

// MachineReleaser gives machines back to the cloud.
type MachineReleaser interface {
	// Release has the record say that a machine is released, and the cloud called
	// once that is stored.
	Release(machine *state.Machine, reason ReleaseReason)
	// ReleaseBeforeRecorded has the cloud called while the record can't be written.
	ReleaseBeforeRecorded(machine *state.Machine)
	// ScheduleCall has the cloud called for the machines whose release is recorded.
	ScheduleCall()
	// SurplusPredicate returns a function that tells whether an idle machine is of no
	// use to any shard.
	SurplusPredicate() func(*state.Machine) bool
}

// SpotHistory counts how spot machines have fared.
type SpotHistory interface {
	// RecordInterruption counts a spot machine that was taken back or lost.
	RecordInterruption()
	// AddServed counts for how long a spot machine has served.
	AddServed(duration cluster.Time)
}

// Maintenance looks after the owned machines: it has tokens acknowledged, releases the
// silent and the idle, and replaces those that don't boot.
type Maintenance struct {
	*shared
	commands *Commands
}

// Run looks after all owned machines.
func (m *Maintenance) Run() {
	scan := maintenanceScan{
		Maintenance:      m,
		workersReporting: m.deps.Reachability.HasOwnedHeartbeatWithin(m.config.HeartbeatInterval),
		isSurplus:        m.deps.Releaser.SurplusPredicate(),
	}
	var machines []*state.Machine
	for _, shard := range m.state.Shards {
		if shard.Owned && shard.Ready {
			machines = append(machines, shard.Machines...)
		}
	}
	m.deps.Metrics.AddMachineScans(machines)
	m.pushCommands(machines)
	for _, machine := range machines {
		scan.maintain(machine)
	}
}

// pushCommands calls the machines that have not acknowledged their token, and those
// that run cancelled tasks and are silent: they may be unable to send heartbeats and
// still be reached. Machines with cancelled tasks come first: after a failover in an
// outage nothing but these calls may reach them.
func (m *Maintenance) pushCommands(machines []*state.Machine) {
	pushes := 0
	for _, machine := range machines {
		if pushes < maxPushesPerScan && m.isPushAllowed(machine) && m.needsStops(machine) {
			pushes++
			m.commands.push(machine, onlyStops(m.commands.For(machine, true)))
		}
	}
	for _, machine := range machines {
		if pushes < maxPushesPerScan && m.isPushAllowed(machine) && needsToken(machine) {
			pushes++
			m.commands.push(machine, nil)
		}
	}
}

// isCallable tells whether a machine may be called, and was not called lately.
func (m *Maintenance) isPushAllowed(machine *state.Machine) bool {
	return !machine.ReleaseConfirmed &&
		!machine.PushInFlight &&
		machine.Address != "" &&
		!machine.Booting &&
		m.loop.Now()-machine.LastPushAt > minPushInterval
}

// needsStops tells whether a machine with cancelled tasks may not have got its stops.
func (m *Maintenance) needsStops(machine *state.Machine) bool {
	return hasCancelledTask(machine) && (!machine.TokenAcknowledged || m.heartbeatAge(machine) > 2*m.config.HeartbeatInterval)
}

// needsToken tells whether a machine has yet to acknowledge its token.
func needsToken(machine *state.Machine) bool {
	return !machine.TokenAcknowledged && !machine.RaisingToken && !machine.Releasing
}

// maintenanceScan is one look at the owned machines.
type maintenanceScan struct {
	*Maintenance
	workersReporting bool                      // heartbeats of some machines come in
	isSurplus        func(*state.Machine) bool // an idle machine is of no use to any shard
}

// maintain looks after one machine.
func (s *maintenanceScan) maintain(machine *state.Machine) {
	if machine.Spot && !machine.Booting {
		s.deps.Spot.AddServed(MaintenanceInterval)
	}
	storeUnavailable := s.queue.IsUnavailableFor(releaseStoreTimeout)
	if storeUnavailable && !machine.ReleaseConfirmed && (s.hangsWithCancelledTasks(machine) || s.ignoresStop(machine)) {
		s.deps.Releaser.ReleaseBeforeRecorded(machine)
	}
	if machine.Releasing {
		if machine.ReleaseConfirmed && !machine.ScaleInCallInFlight {
			s.deps.Releaser.ScheduleCall()
		}
		return
	}
	if storeUnavailable {
		return
	}
	s.deps.Runtimes.HandleSlowMachine(machine)
	if reason := s.releaseReason(machine); reason != releaseNone {
		s.deps.Releaser.Release(machine, reason)
	}
}

// releaseReason says why a machine is to be released, if it is.
func (s *maintenanceScan) releaseReason(machine *state.Machine) ReleaseReason {
	if machine.Booting {
		if s.isBootTimedOut(machine) {
			return ReleaseBootTimedOut
		}
		return releaseNone
	}
	if reason := s.stopFailureReason(machine); reason != releaseNone {
		return reason
	}
	if reason := s.silenceReason(machine); reason != releaseNone {
		if machine.Spot && !machine.Draining { // it went without notice
			s.deps.Spot.RecordInterruption()
		}
		return reason
	}
	return s.scaleInReason(machine)
}

// isBootTimedOut tells whether a machine has taken too long to boot.
func (s *maintenanceScan) isBootTimedOut(machine *state.Machine) bool {
	bootSeconds := s.state.MachineTypes[machine.MachineType].BootSeconds
	timeout := cluster.Time((bootSeconds*s.config.BootTimeoutFactor + bootMarginSeconds) * float64(second))
	return bootSeconds > 0 && s.loop.Now()-machine.OwnedSince > timeout
}

// scaleInReason says why a machine without tasks is to be released, if it is.
func (s *maintenanceScan) scaleInReason(machine *state.Machine) ReleaseReason {
	idleFor := s.loop.Now() - machine.IdleSince
	switch {
	case machine.Draining && len(machine.Assignments) == 0 && s.loop.Now() > machine.PreemptionDeadline:
		return ReleaseDrained
	case machine.LiveTaskCount() > 0:
		return releaseNone
	case machine.Draining && machine.PreemptionDeadline > 0:
		return ReleasePreempted
	case machine.Cordoned && idleFor > cordonedIdleTime && s.isSurplus(machine):
		return ReleaseCordoned
	case idleFor > s.config.ScaleInIdleTime && s.isSurplus(machine) && s.heartbeatAge(machine) < 3*s.config.HeartbeatInterval:
		return ReleaseIdle
	}
	return releaseNone
}
