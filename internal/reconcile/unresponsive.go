package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

const (
	// hangMargin is added to the worker lease. The sum is the time without a heartbeat after
	// which a machine with cancelled tasks is considered hung. It is also the maximum time
	// that a machine may take to stop the tasks.
	hangMargin = 2 * second
	// lossMargin is added to the worker lease. The sum is the time without a heartbeat, or
	// without an acknowledgement of the token, after which a machine may be considered lost.
	lossMargin = 5 * second
	// unansweredPushTimeout is the time without a reply to a push after which a machine
	// with cancelled tasks may be considered hung.
	unansweredPushTimeout = 1500 * millisecond
	// minFirstAcknowledgementTimeout is the lower bound of firstAcknowledgementTimeout,
	// which otherwise depends on the heartbeat interval.
	minFirstAcknowledgementTimeout = 5 * second
)

// elapsedSince returns the time since start, or since the end of the last process pause if
// that is later. No heartbeat can be received during a pause, so the pause must not count
// against the machines.
func (s *shared) elapsedSince(start cluster.Time) cluster.Time {
	return s.loop.Now() - max(start, s.deps.Process.ResumedAt())
}

// heartbeatAge returns the time since the last heartbeat of a machine, or since the end of
// the last process pause if that is later.
func (s *shared) heartbeatAge(machine *state.Machine) cluster.Time {
	return s.elapsedSince(machine.LastHeartbeat)
}

// stopFailureReason returns the reason to release a machine that may fail to stop its
// tasks, or releaseNone. A hung machine with tasks of a cancelled job has to be released
// before the cancellation deadline.
func (m *Maintenance) stopFailureReason(machine *state.Machine) ReleaseReason {
	switch {
	case m.hangsWithCancelledTasks(machine):
		return ReleaseHungWithCancelledTasks
	case m.ignoresStop(machine):
		return ReleaseIgnoresStop
	case m.isUnreachableForCommands(machine):
		return ReleaseUnreachable
	case m.hasOnlyOversizedHeartbeats(machine):
		return ReleaseOversizedHeartbeats
	}
	return releaseNone
}

// hasOnlyOversizedHeartbeats reports whether the heartbeats of a machine have been too large
// for so long that the worker has lost its lease, after which it has no tasks.
func (m *Maintenance) hasOnlyOversizedHeartbeats(machine *state.Machine) bool {
	return machine.OversizedSince > 0 && m.elapsedSince(machine.OversizedSince) > m.config.WorkerLease+lossMargin
}

// isUnreachableForCommands reports whether a machine sends heartbeats but has not
// acknowledged its token for so long that it seems to receive no commands.
func (m *Maintenance) isUnreachableForCommands(machine *state.Machine) bool {
	if machine.TokenAcknowledged || machine.RaisingToken || machine.Incarnation == 0 {
		return false
	}
	lease := m.config.WorkerLease
	return m.elapsedSince(machine.UnacknowledgedSince) > lease+lossMargin &&
		m.heartbeatAge(machine) < 3*lease &&
		m.loop.Now()-machine.OwnedSince > lease
}

// missingHeartbeatReason returns the reason to release a machine that has stopped sending
// heartbeats, or releaseNone. The timeout is shorter if the machine is missing from the
// cloud's list. It is longer if no owned machine sends heartbeats, because the cause is then
// more likely on this controller's side.
func (s *maintenanceScan) missingHeartbeatReason(machine *state.Machine) ReleaseReason {
	age, lease := s.heartbeatAge(machine), s.config.WorkerLease
	switch {
	case machine.MissingFromCloudList && age > 5*s.config.HeartbeatInterval/2 && s.receivesHeartbeats:
		return ReleaseSilentUnlisted
	case age > lease+lossMargin && (s.receivesHeartbeats || age > 3*lease) && s.loop.Now()-machine.OwnedSince > lease:
		return ReleaseSilent
	}
	return releaseNone
}

// firstAcknowledgementTimeout returns how long an acquired machine with cancelled tasks may
// take to acknowledge its token. Heartbeats alone do not prove that the machine is
// responsive, because they may have been delayed.
func (m *Maintenance) firstAcknowledgementTimeout() cluster.Time {
	return max(minFirstAcknowledgementTimeout, 2*m.config.HeartbeatInterval)
}

// hangsWithCancelledTasks reports whether a machine that may run tasks of a cancelled job
// seems to hang, so that it has to be released before the cancellation deadline.
func (m *Maintenance) hangsWithCancelledTasks(machine *state.Machine) bool {
	if !hasCancelledTask(machine) {
		return false
	}
	if m.heartbeatAge(machine) > m.config.WorkerLease+hangMargin {
		return true
	}
	if !machine.AwaitingFirstAcknowledgement {
		return false
	}
	if m.elapsedSince(machine.OwnedSince) > m.firstAcknowledgementTimeout() {
		return true
	}
	return m.hasLongCancelledTask(machine) && machine.PushInFlight && m.elapsedSince(machine.LastPushAt) > unansweredPushTimeout
}

// hasLongCancelledTask reports whether a machine may run a task that this process has
// known to be cancelled for more than half of the cancellation deadline. If the shard has
// changed owners several times since the cancellation, the rest of the deadline may be
// shorter than firstAcknowledgementTimeout.
func (m *Maintenance) hasLongCancelledTask(machine *state.Machine) bool {
	for _, assignment := range machine.Assignments {
		known := m.state.Jobs.FinalJob(assignment.Task.Job)
		if assignment.IsLive() && known != nil && known.FinalStatus == cluster.JobCancelled &&
			m.loop.Now()-known.FinalSince > m.config.CancelDeadline/2 {
			return true
		}
	}
	return false
}

// hasCancelledTask reports whether a machine may run a task of a cancelled job.
func hasCancelledTask(machine *state.Machine) bool {
	for _, assignment := range machine.Assignments {
		if assignment.IsLive() && assignment.Job.Cancelling {
			return true
		}
	}
	return false
}

// ignoresStop reports whether a machine may still run a cancelled task long after its stop
// was requested. The worker may ignore the stop, or the stop may not reach it.
func (m *Maintenance) ignoresStop(machine *state.Machine) bool {
	timeout := min(m.config.WorkerLease+hangMargin, m.config.CancelDeadline/2)
	for _, assignment := range machine.Assignments {
		if assignment.IsLive() && assignment.Job.Cancelling && assignment.StopRequestedAt > 0 &&
			m.loop.Now()-assignment.StopRequestedAt > timeout {
			return true
		}
	}
	return false
}
