package ownership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/state"
)

// clockDrift bounds how far the steady clocks of two machines drift apart, as a
// fraction of the time that passes: twice the protocol's 0.05%.
const clockDrift = 0.001

// stopMargin is the time in which a worker notices that its lease has expired and
// stops its tasks.
const stopMargin = 2 * second

// MinAnswerWindow is what peer calls each second need: with a shorter window one
// lost call would cost tasks. Where the settings leave less, this much is used all
// the same, and the bound on cancellations does not hold in every outage.
const MinAnswerWindow = 4 * second

// StartWindow is the greatest age of the last confirmation at which tasks are
// started. Starts by an owner that was succeeded would only be stopped again.
const StartWindow = 5 * second

// renewalAge is the age of the last confirmation from which on the store is read.
// While all controllers answer, peer calls confirm ownership each second.
const renewalAge = 2 * second

// AnswerWindow returns how long after its ownership was last confirmed an owner may
// answer the shard's workers. A new owner, which this one does not know of yet, may
// have confirmed a cancellation at any time after that. The worker lease that the
// last answer renews is counted from the sending of the heartbeat and must expire
// within cancelWithin of the confirmation. The result is negative for settings that
// leave no time at all.
func AnswerWindow(cancelWithin, lease cluster.Time) cluster.Time {
	drift := cluster.Time(float64(cancelWithin+lease) * clockDrift)
	return cancelWithin - lease - stopMargin - drift
}

// CanAnswer reports whether an owner whose last confirmation has the given age may
// answer the shard's workers.
func CanAnswer(age, cancelWithin, lease cluster.Time) bool {
	return age <= max(AnswerWindow(cancelWithin, lease), MinAnswerWindow)
}

// CanStart reports whether an owner whose last confirmation has the given age may
// start tasks on the shard's machines.
func CanStart(age cluster.Time) bool { return age <= StartWindow }

// NeedsRenewal reports whether the store should be read to confirm ownership again,
// given the age of the last confirmation.
func NeedsRenewal(age cluster.Time) bool { return age > renewalAge }

// Claim is an owner's own claim of a shard.
type Claim struct {
	ShardID cluster.ShardID
	Term    cluster.Term
	// ConfirmedAt is the beginning of the last exchange with the store that showed
	// the claim in force.
	ConfirmedAt cluster.Time
}

// isCoveredBy reports whether a peer's acknowledgement excludes a later claim: the
// peer knows none, and its present process was noticed before the store was last
// read, so that whatever an earlier process acquired would have shown there.
func (c Claim) isCoveredBy(acknowledgement *membership.Acknowledgement) bool {
	return int(c.ShardID) < len(acknowledgement.Terms) &&
		acknowledgement.Terms[c.ShardID] <= c.Term &&
		acknowledgement.InstanceSeenAt <= c.ConfirmedAt
}

// LastConfirmedAt returns the last moment, at most now, at which it is certain that
// nobody had acquired the shard after the claim. It follows from the acknowledgements
// of all other controllers and from the store; one that does not cover the claim
// leaves only what the store has confirmed.
func (c Claim) LastConfirmedAt(now cluster.Time, acknowledgements []membership.Acknowledgement) cluster.Time {
	confirmedAt := now
	for i := range acknowledgements {
		if !c.isCoveredBy(&acknowledgements[i]) {
			return c.ConfirmedAt
		}
		confirmedAt = min(confirmedAt, acknowledgements[i].SentAt)
	}
	return max(confirmedAt, c.ConfirmedAt)
}

// RecordConfirmation records that the state service has shown a claim of a shard in
// force, by an exchange that began at a time.
func (m *Manager) RecordConfirmation(shard *state.Shard, claim cluster.ModRevision, begunAt cluster.Time) {
	if shard.Owned && shard.ModRevision == claim {
		shard.ConfirmedAt = max(shard.ConfirmedAt, begunAt)
	}
}

// LastConfirmedAt is the last moment at which it is certain that nobody had acquired
// an owned shard after this controller.
func (m *Manager) LastConfirmedAt(shard *state.Shard) cluster.Time {
	claim := Claim{ShardID: shard.ID, Term: shard.Term, ConfirmedAt: shard.ConfirmedAt}
	m.acknowledgements = m.peers.AppendAcknowledgements(m.acknowledgements[:0])
	return claim.LastConfirmedAt(m.loop.Now(), m.acknowledgements)
}

// confirmationAge is how long ago that was.
func (m *Manager) confirmationAge(shard *state.Shard) cluster.Time {
	return m.loop.Now() - m.LastConfirmedAt(shard)
}

// CanAnswerWorkers tells whether this controller may still answer a shard's workers.
func (m *Manager) CanAnswerWorkers(shard *state.Shard) bool {
	return CanAnswer(m.confirmationAge(shard), m.config.CancelDeadline, m.config.WorkerLease)
}

// CanStartTasks tells whether tasks of a shard may be sent to its machines.
func (m *Manager) CanStartTasks(shard *state.Shard) bool {
	return CanStart(m.confirmationAge(shard))
}

// RenewLeases reads the claim records of owned shards that some controller has not
// acknowledged lately, as when one is down or was restarted.
func (m *Manager) RenewLeases() {
	if m.isStoreOut() {
		return
	}
	for _, shard := range m.shards {
		if shard.Owned && NeedsRenewal(m.confirmationAge(shard)) {
			m.RereadClaim(shard)
		}
	}
}
