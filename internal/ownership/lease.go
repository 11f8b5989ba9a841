package ownership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/membership"
	"stairrelay/internal/state"
)

// clockDrift bounds the drift between the monotonic clocks of two machines, as a
// fraction of the elapsed time. Each clock may be off by up to 0.05%.
const clockDrift = 0.001

// taskStopTime is how long a worker takes to notice that its lease has expired and to
// stop its tasks.
const taskStopTime = 2 * second

// MinResponseWindow is the minimum response window. With peers pinged once a second, a
// shorter window could let worker leases expire after a single lost ping. The minimum
// applies even if the settings allow less. Cancelled tasks may then run past the cancel
// deadline during an outage of the store.
const MinResponseWindow = 4 * second

// StartWindow is the maximum age of the last confirmation at which an owner starts
// tasks. Later, the shard may have a new owner, which would stop these tasks.
const StartWindow = 5 * second

// renewalAge is the age of the last confirmation after which the store is read to renew
// the ownership lease. While all peers answer their pings, the acknowledgements renew the
// lease without a read.
const renewalAge = 2 * second

// ResponseWindow returns how long after its last confirmation of ownership an owner may
// answer the shard's workers. Right after that confirmation, another controller may have
// acquired the shard and confirmed a cancellation to a user. The worker lease renewed by
// the last response must therefore expire, and the tasks must stop, within
// cancelDeadline of the confirmation of ownership. A lease starts when the worker sends
// the heartbeat. The result is negative if the settings leave no time.
func ResponseWindow(cancelDeadline, lease cluster.Time) cluster.Time {
	drift := cluster.Time(float64(cancelDeadline+lease) * clockDrift)
	return cancelDeadline - lease - taskStopTime - drift
}

// CanAnswer reports whether an owner whose last confirmation has the given age may
// answer the shard's workers.
func CanAnswer(age, cancelDeadline, lease cluster.Time) bool {
	return age <= max(ResponseWindow(cancelDeadline, lease), MinResponseWindow)
}

// CanStart reports whether an owner whose last confirmation has the given age may
// start tasks on the shard's machines.
func CanStart(age cluster.Time) bool { return age <= StartWindow }

// NeedsRenewal reports whether the claim record should be read to confirm ownership,
// given the age of the last confirmation.
func NeedsRenewal(age cluster.Time) bool { return age > renewalAge }

// Claim is this controller's claim of a shard that it owns.
type Claim struct {
	ShardID cluster.ShardID
	Term    cluster.Term
	// ConfirmedAt is the time as of which the store last confirmed the claim. This is when
	// the confirming request was sent, because the claim may have been lost before the
	// reply arrived.
	ConfirmedAt cluster.Time
}

// isConfirmedBy reports whether a peer's acknowledgement excludes a later claim by
// that peer. The peer must know of no later term, and its current process must have
// been first seen no later than ConfirmedAt, so that a claim by an earlier process of
// the peer would have shown in the store.
func (c Claim) isConfirmedBy(acknowledgement *membership.Acknowledgement) bool {
	return int(c.ShardID) < len(acknowledgement.Terms) &&
		acknowledgement.Terms[c.ShardID] <= c.Term &&
		acknowledgement.InstanceSeenAt <= c.ConfirmedAt
}

// LastConfirmedAt returns the latest time, at most now, at which it is certain that no
// other controller had acquired the shard. This is the later of ConfirmedAt and the send
// time of the oldest acknowledged ping. If any acknowledgement does not confirm the
// claim, only ConfirmedAt counts.
func (c Claim) LastConfirmedAt(now cluster.Time, acknowledgements []membership.Acknowledgement) cluster.Time {
	confirmedAt := now
	for i := range acknowledgements {
		if !c.isConfirmedBy(&acknowledgements[i]) {
			return c.ConfirmedAt
		}
		confirmedAt = min(confirmedAt, acknowledgements[i].SentAt)
	}
	return max(confirmedAt, c.ConfirmedAt)
}

// RecordConfirmation records that the reply to a request sent at sentAt showed that a
// claim of a shard was in force. The confirmation is ignored unless that claim is this
// controller's current one.
func (m *Manager) RecordConfirmation(shard *state.Shard, claim cluster.ModRevision, sentAt cluster.Time) {
	if shard.Owned && shard.ModRevision == claim {
		shard.ConfirmedAt = max(shard.ConfirmedAt, sentAt)
	}
}

// LastConfirmedAt returns the latest time at which it is certain that no other
// controller had acquired a shard that this one owns.
func (m *Manager) LastConfirmedAt(shard *state.Shard) cluster.Time {
	claim := Claim{ShardID: shard.ID, Term: shard.Term, ConfirmedAt: shard.ConfirmedAt}
	m.acknowledgements = m.peers.AppendAcknowledgements(m.acknowledgements[:0])
	return claim.LastConfirmedAt(m.loop.Now(), m.acknowledgements)
}

// confirmationAge returns the time since LastConfirmedAt.
func (m *Manager) confirmationAge(shard *state.Shard) cluster.Time {
	return m.loop.Now() - m.LastConfirmedAt(shard)
}

// CanAnswerWorkers reports whether the ownership lease of a shard allows this
// controller to answer the shard's workers.
func (m *Manager) CanAnswerWorkers(shard *state.Shard) bool {
	return CanAnswer(m.confirmationAge(shard), m.config.CancelDeadline, m.config.WorkerLease)
}

// CanStartTasks reports whether the ownership lease of a shard allows this controller
// to start tasks on the shard's machines.
func (m *Manager) CanStartTasks(shard *state.Shard) bool {
	return CanStart(m.confirmationAge(shard))
}

// RenewLeases reads the claim records of owned shards whose last confirmation is older
// than renewalAge, for example because a peer is down or has restarted.
func (m *Manager) RenewLeases() {
	if m.isStoreUnavailable() {
		return
	}
	for _, shard := range m.shards {
		if shard.Owned && NeedsRenewal(m.confirmationAge(shard)) {
			m.RereadClaim(shard)
		}
	}
}
