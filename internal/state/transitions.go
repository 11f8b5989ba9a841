package state

import "stairrelay/internal/cluster"

// The transitions of assignments and machines that follow what a worker was sent and
// has shown. Recorded, ended and proven absent are beside the records and the sums that
// depend on them: MarkRecorded, MarkEnded, MarkConfirmedAbsent.

// DispatchWithAnswer records that the start goes with the answer to the heartbeat of
// a sequence number. Only a later heartbeat was made after that answer arrived: an
// earlier one that is delivered late does not show that the start was lost.
func (a *Assignment) MarkDispatchedInReply(sequence cluster.SequenceNumber) {
	a.Phase = PhaseDispatched
	a.Pushed = false
	a.DispatchedAtSequence = sequence
}

// DispatchWithPush records that the start is pushed. Until the push is answered it
// may still arrive, whatever heartbeats show.
func (a *Assignment) MarkDispatchedByPush() {
	a.Phase = PhaseDispatched
	a.Pushed = true
}

// Redispatch records that a dispatched start did not arrive and never will, so that
// it may be sent again. To call this while the start may still arrive would run the
// task twice.
func (a *Assignment) MarkStartLost() { a.Phase = PhaseReady }

// Acknowledge records that a heartbeat has shown the task in a state.
func (a *Assignment) Acknowledge(shown cluster.TaskState) {
	a.StartUnobserved = a.StartUnobserved || a.Phase == PhaseUnverified
	a.Phase = PhaseAcknowledged
	a.State = shown
}

// RecordRunning records that a heartbeat has shown the task running; true: it was the
// first to do so.
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

// RequestStop records that the task is to be stopped, after a grace in seconds for a
// task checkpoint. The time of the first request is kept when the stop is requested
// anew: it tells how long the worker has ignored it.
func (a *Assignment) RequestStop(grace float64, now cluster.Time) {
	a.StopRequested, a.GraceSeconds = true, grace
	if a.StopRequestedAt == 0 {
		a.StopRequestedAt = now
	}
}

// MarkStopSent records when the stop was first sent. The worker's grace counts from
// then.
func (a *Assignment) MarkStopSent(now cluster.Time) {
	if a.StopSentAt == 0 {
		a.StopSentAt = now
	}
}

// AwaitFirstAcknowledgements records that none of the shard's machines has
// acknowledged the fencing token of a new claim, and returns how many have to:
// one that is still booting has had no other token.
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

// RecordFirstAcknowledgement records that a machine taken over with the shard has
// acknowledged this owner's token.
func (s *Shard) RecordFirstAcknowledgement(m *Machine, now cluster.Time) {
	m.AwaitingFirstAcknowledgement = false
	s.AwaitingFirstAcknowledgementCount--
	s.LastAcknowledgedAt = now
}

// MarkBooted records a machine's first heartbeat. It has not been idle while it booted.
func (m *Machine) MarkBooted(now cluster.Time) {
	m.Booting = false
	m.IdleSince = now
}

// BeginPush records that commands are being pushed to the machine. While they are, no
// others are pushed: they might overtake the first.
func (m *Machine) BeginPush(now cluster.Time) {
	m.PushInFlight = true
	m.LastPushAt = now
}

// EndPush records that the outcome of the push is there.
func (m *Machine) EndPush() { m.PushInFlight = false }

// MarkStartInDoubt records that the outcome of pushed starts is unknown. They may arrive
// minutes late, when the tasks run elsewhere. Only a higher token ends that, once it is
// acknowledged; until then nothing more is started here and no end is acknowledged.
func (m *Machine) MarkStartInDoubt() { m.StartInDoubt = true }
