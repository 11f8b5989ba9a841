package state

import "stairrelay/internal/cluster"

// The methods below record what was sent to a worker and what its heartbeats show. See
// also MarkRecorded, MarkEnded and MarkConfirmedAbsent.

// MarkDispatchedInResponse records that the start is sent in the response to the heartbeat
// with the given sequence number. Only a later heartbeat without the task shows that the
// start was lost, as the worker sends the next heartbeat after the response has arrived or
// timed out.
func (a *Assignment) MarkDispatchedInResponse(sequence cluster.SequenceNumber) {
	a.Phase = PhaseDispatched
	a.Pushed = false
	a.DispatchedAtSequence = sequence
}

// MarkDispatchedByPush records that the start is pushed. Until the outcome of the push is
// known, the start may still arrive, even if heartbeats do not show the task.
func (a *Assignment) MarkDispatchedByPush() {
	a.Phase = PhaseDispatched
	a.Pushed = true
}

// MarkStartLost records that a dispatched start did not arrive and never will, so that it
// may be sent again. Calling it while the start may still arrive would run the task twice.
func (a *Assignment) MarkStartLost() { a.Phase = PhaseReady }

// Acknowledge records that a heartbeat has shown the task in the given state.
func (a *Assignment) Acknowledge(shown cluster.TaskState) {
	a.StartUnobserved = a.StartUnobserved || a.Phase == PhaseUnverified
	a.Phase = PhaseAcknowledged
	a.State = shown
}

// RecordRunning records that a heartbeat has shown the task running. It reports whether
// that heartbeat was the first to do so. Only the first one sets RunningSince, the job's
// LastRunAt and, if it is not set yet, the job's FirstRunAt.
func (a *Assignment) RecordRunning(now cluster.Time) bool {
	if a.RunningSince != 0 {
		return false
	}
	a.RunningSince = now
	if a.Job.FirstRunAt == 0 {
		a.Job.FirstRunAt = now
	}
	a.Job.LastRunAt = now
	return true
}

// RequestStop records that the task is to be stopped after a grace period for a
// checkpoint. A repeated request replaces the grace period. It keeps the time of the first
// request, which shows how long the worker has been ignoring the stop.
func (a *Assignment) RequestStop(graceSeconds float64, now cluster.Time) {
	a.StopRequested, a.GraceSeconds = true, graceSeconds
	if a.StopRequestedAt == 0 {
		a.StopRequestedAt = now
	}
}

// MarkStopSent records when the stop was sent, unless an earlier time is recorded. The
// grace period begins at the recorded time.
func (a *Assignment) MarkStopSent(now cluster.Time) {
	if a.StopSentAt == 0 {
		a.StopSentAt = now
	}
}

// AwaitFirstAcknowledgements marks the shard's machines as not having acknowledged the
// fencing token of a new claim, and returns their number. Machines that are booting are
// excluded, as their workers do not send heartbeats yet.
func (s *Shard) AwaitFirstAcknowledgements(now cluster.Time) int {
	s.AwaitingFirstAcknowledgementCount, s.LastAcknowledgedAt = 0, now
	for _, machine := range s.Machines {
		machine.AwaitingFirstAcknowledgement = !machine.Booting
		if machine.AwaitingFirstAcknowledgement {
			s.AwaitingFirstAcknowledgementCount++
		}
	}
	return s.AwaitingFirstAcknowledgementCount
}

// RecordFirstAcknowledgement records that a machine acquired with the shard has
// acknowledged its token for the first time under this claim.
func (s *Shard) RecordFirstAcknowledgement(m *Machine, now cluster.Time) {
	m.AwaitingFirstAcknowledgement = false
	s.AwaitingFirstAcknowledgementCount--
	s.LastAcknowledgedAt = now
}

// MarkBooted records a machine's first heartbeat. The machine's idle time begins then.
func (m *Machine) MarkBooted(now cluster.Time) {
	m.Booting = false
	m.IdleSince = now
}

// BeginPush records that commands are being pushed to the machine. No other push may
// begin until EndPush, as it might overtake this one.
func (m *Machine) BeginPush(now cluster.Time) {
	m.PushInFlight = true
	m.LastPushAt = now
}

// MarkStartsPushed records that starts are pushed under the machine's token.
func (m *Machine) MarkStartsPushed() { m.PushedStartToken = m.Token }

// EndPush records that the outcome of the push is known.
func (m *Machine) EndPush() { m.PushInFlight = false }

// MarkStartInDoubt records that the outcome of pushed starts is unknown. The starts may
// arrive minutes late, when the tasks already run elsewhere. Until the worker has
// acknowledged a higher token, no task is started on the machine and no end of a task is
// acknowledged to the worker.
func (m *Machine) MarkStartInDoubt() { m.StartInDoubt = true }
