package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// MaintenanceInterval is the interval at which Maintenance.Run must be called.
const MaintenanceInterval = second / 2

const (
	// maxPushesPerScan limits the pushes of one scan, so that a failover of hundreds of
	// machines does not exhaust sockets or CPU. The other machines get their tokens in the
	// responses to their heartbeats.
	maxPushesPerScan = 40
	// minPushInterval is the minimum time between two maintenance pushes to a machine.
	minPushInterval = 1500 * millisecond
	// maxStoreOutageForRelease is how long the store may be unavailable before only
	// machines that fail to stop cancelled tasks are released. The release of any other
	// machine must be recorded first.
	maxStoreOutageForRelease = second
	// bootMarginSeconds is the part of the boot timeout that does not depend on the
	// machine type.
	bootMarginSeconds = 5
	// cordonedIdleTime is how long a cordoned machine must be idle before it is released
	// as surplus.
	cordonedIdleTime = 4 * second
)

// ReleaseReason is the logged reason for the release of a machine.
type ReleaseReason string

// The reasons for which Maintenance releases machines.
const (
	ReleaseBootTimedOut           ReleaseReason = "boot timed out"
	ReleaseSilent                 ReleaseReason = "silent"
	ReleaseSilentUnlisted         ReleaseReason = "silent and not listed"
	ReleaseHungWithCancelledTasks ReleaseReason = "silent with cancelled tasks"
	ReleaseIgnoresStop            ReleaseReason = "does not stop a cancelled task"
	ReleaseUnreachable            ReleaseReason = "unreachable for commands"
	ReleaseOversizedHeartbeats    ReleaseReason = "heartbeats too large"
	ReleaseDrained                ReleaseReason = "drained"
	ReleasePreempted              ReleaseReason = "preempted"
	ReleaseCordoned               ReleaseReason = "cordoned"
	ReleaseIdle                   ReleaseReason = "idle"

	releaseNone ReleaseReason = ""
)

// MachineReleaser releases machines, so that the cloud terminates them.
type MachineReleaser interface {
	// Release records that a machine is to be released. The cloud is called after the
	// record is stored.
	Release(machine *state.Machine, reason ReleaseReason)
	// ReleaseBeforeRecorded releases a machine without waiting for its record, for use
	// while the store is unavailable.
	ReleaseBeforeRecorded(machine *state.Machine)
	// ScheduleCall schedules the call to the cloud that terminates the machines whose
	// release is confirmed.
	ScheduleCall()
	// SurplusPredicate returns a function that reports whether a given idle machine is
	// needed by no shard.
	SurplusPredicate() func(*state.Machine) bool
}

// SpotHistory records how often spot machines are interrupted.
type SpotHistory interface {
	// RecordInterruption counts a spot machine that was preempted or lost.
	RecordInterruption()
	// AddServed adds to the total time that spot machines were in service.
	AddServed(duration cluster.Time)
}

// Maintenance periodically scans the owned machines. It pushes stops of cancelled tasks and
// fencing tokens to machines that may not have received them, and releases machines that
// are unresponsive, fail to boot, are drained or are not needed.
type Maintenance struct {
	*shared
	commands *Commands
}

// Run scans the machines of all owned and loaded shards once.
func (m *Maintenance) Run() {
	scan := maintenanceScan{
		Maintenance:        m,
		receivesHeartbeats: m.deps.Reachability.HasOwnedHeartbeatWithin(m.config.HeartbeatInterval),
		isSurplus:          m.deps.Releaser.SurplusPredicate(),
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

// pushCommands pushes the stops of cancelled tasks to machines that may not have received
// them, and then tokens to machines that have not acknowledged them. It sends at most
// maxPushesPerScan pushes. Stops come first because after a failover these pushes may be
// the only way to reach a machine before the cancellation deadline.
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

// isPushAllowed reports whether a maintenance push may be sent to a machine now. Pushes to
// the same machine are at least minPushInterval apart.
func (m *Maintenance) isPushAllowed(machine *state.Machine) bool {
	return !machine.ReleaseConfirmed &&
		!machine.PushInFlight &&
		machine.Address != "" &&
		!machine.Booting &&
		m.loop.Now()-machine.LastPushAt > minPushInterval
}

// needsStops reports whether a machine has cancelled tasks and may not have received
// their stops.
func (m *Maintenance) needsStops(machine *state.Machine) bool {
	return hasCancelledTask(machine) && (!machine.TokenAcknowledged || m.heartbeatAge(machine) > 2*m.config.HeartbeatInterval)
}

// needsToken reports whether a machine's token should be pushed because the worker has not
// acknowledged it. The token need not be pushed while a higher one is being stored or the
// machine is being released.
func needsToken(machine *state.Machine) bool {
	return !machine.TokenAcknowledged && !machine.RaisingToken && !machine.Releasing
}

// maintenanceScan is one scan of the owned machines.
type maintenanceScan struct {
	*Maintenance
	receivesHeartbeats bool                      // an owned machine has sent a heartbeat recently
	isSurplus          func(*state.Machine) bool // reports whether no shard needs an idle machine
}

// maintain checks one machine and releases it if there is a reason to. If the release is
// already confirmed, it schedules the call to the cloud. While the store is unavailable,
// only machines that fail to stop cancelled tasks are released.
func (s *maintenanceScan) maintain(machine *state.Machine) {
	if machine.Spot && !machine.Booting {
		s.deps.Spot.AddServed(MaintenanceInterval)
	}
	storeUnavailable := s.queue.IsUnavailableFor(maxStoreOutageForRelease)
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
	s.deps.Runtimes.DrainIfSlow(machine)
	if reason := s.releaseReason(machine); reason != releaseNone {
		s.deps.Releaser.Release(machine, reason)
	}
}

// releaseReason returns the reason to release a machine, or releaseNone. It counts an
// interruption if a spot machine was lost without a preemption notice.
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
	if reason := s.missingHeartbeatReason(machine); reason != releaseNone {
		if machine.Spot && !machine.Draining { // lost without a preemption notice
			s.deps.Spot.RecordInterruption()
		}
		return reason
	}
	return s.scaleInReason(machine)
}

// isBootTimedOut reports whether a machine has exceeded its boot timeout. A machine type
// with an unknown boot time has no boot timeout.
func (s *maintenanceScan) isBootTimedOut(machine *state.Machine) bool {
	bootSeconds := s.state.MachineTypes[machine.MachineType].BootSeconds
	timeout := cluster.Time((bootSeconds*s.config.BootTimeoutFactor + bootMarginSeconds) * float64(second))
	return bootSeconds > 0 && s.loop.Now()-machine.OwnedSince > timeout
}

// scaleInReason returns the reason to release a machine without live tasks, or
// releaseNone.
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
