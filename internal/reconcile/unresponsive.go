package reconcile

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

const (
	// leaseMargin is added to the worker's lease before a machine counts as hung.
	hangMargin = 2 * second
	// lossMargin is added to the worker's lease before a machine counts as lost.
	lossMargin = 5 * second
	// slowPushThreshold is well above what a call takes to a machine that runs.
	unansweredPushTimeout = 1500 * millisecond
	// minFirstAcknowledgementTimeout bounds firstAcknowledgementTimeout from below.
	minFirstAcknowledgementTimeout = 5 * second
)

// elapsedSince is how long ago something was, counted from the end of the last process
// pause at the earliest: that nothing was heard during the pause says nothing about
// the machines.
func (s *shared) elapsedSince(start cluster.Time) cluster.Time {
	return s.loop.Now() - max(start, s.deps.Process.ResumedAt())
}

// heartbeatAge is how long a machine could have been heard and was not.
func (s *shared) heartbeatAge(machine *state.Machine) cluster.Time {
	return s.elapsedSince(machine.LastHeartbeat)
}

// stopFailureReason says why a machine can't be relied on to stop tasks, if it can't.
// One that hangs with a cancelled job's tasks must be gone before its cancellation's
// time is up.
func (m *Maintenance) stopFailureReason(machine *state.Machine) ReleaseReason {
	switch {
	case m.hangsWithCancelledTasks(machine):
		return ReleaseHungWithCancelledTasks
	case m.ignoresStop(machine):
		return ReleaseIgnoresStop
	case m.isUnreachableForCommands(machine):
		return ReleaseUnreachable
	}
	return releaseNone
}

// isUnreachableForCommands tells whether a machine's heartbeats come, but nothing that
// is sent to it has an effect.
func (m *Maintenance) isUnreachableForCommands(machine *state.Machine) bool {
	if machine.TokenAcknowledged || machine.RaisingToken || machine.Incarnation == 0 {
		return false
	}
	lease := m.config.WorkerLease
	return m.elapsedSince(machine.UnacknowledgedSince) > lease+lossMargin &&
		m.heartbeatAge(machine) < 3*lease &&
		m.loop.Now()-machine.OwnedSince > lease
}

// silenceReason says why a machine that is not heard any more counts as lost, if it
// does. When no worker is heard, the fault is more likely on this controller's side,
// and the machines have longer.
func (s *maintenanceScan) silenceReason(machine *state.Machine) ReleaseReason {
	silence, lease := s.heartbeatAge(machine), s.config.WorkerLease
	switch {
	case machine.MissingFromCloudList && silence > 5*s.config.HeartbeatInterval/2 && s.workersReporting:
		return ReleaseSilentUnlisted
	case silence > lease+lossMargin && (s.workersReporting || silence > 3*lease) && s.loop.Now()-machine.OwnedSince > lease:
		return ReleaseSilent
	}
	return releaseNone
}

// firstAcknowledgementTimeout is how long a machine taken over with cancelled tasks may
// take to acknowledge its token. That a heartbeat of it came says nothing by itself: it
// may be a copy that was held up until now, while the machine hangs.
func (m *Maintenance) firstAcknowledgementTimeout() cluster.Time {
	return max(minFirstAcknowledgementTimeout, 2*m.config.HeartbeatInterval)
}

// hangsWithCancelledTasks tells whether a machine that may run tasks of a cancelled job
// seems to hang, so that it has to be released before the cancellation's time is up.
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

// hasLongCancelledTask tells whether half of the time for a cancellation has passed
// since this process learnt of one whose tasks may be on a machine. Where each owner
// of the shard was deposed before firstAcknowledgementTimeout was over, the rest may
// not be enough for that either.
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

// hasCancelledTask tells whether a task of a cancelled job may be on a machine.
func hasCancelledTask(machine *state.Machine) bool {
	for _, assignment := range machine.Assignments {
		if assignment.IsLive() && assignment.Job.Cancelling {
			return true
		}
	}
	return false
}

// ignoresStop tells whether a cancelled task goes on in spite of stop commands: perhaps
// they don't reach the machine.
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
