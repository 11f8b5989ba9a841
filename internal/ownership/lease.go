package ownership

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/state"
)

// clockDrift bounds how far the steady clocks of two machines drift apart:
// twice the protocol's 0.05%.
const clockDrift = 0.001

// stopMargin is left for what a worker takes to notice that its lease is over.
const stopMargin = 2 * second

// MinAnswerWindow is what pings each second need: with less, one lost ping would
// cost tasks. Where the settings leave less than that, the bound on cancellations
// can't be kept in every outage.
const MinAnswerWindow = 4 * second

// StartWindow is how old the last confirmation may be for starts: one that is sent
// by an owner that was succeeded would only be stopped again.
const StartWindow = 5 * second

// renewalAge is how old the last confirmation gets before the state service is
// asked: pings renew it each second while all controllers answer.
const renewalAge = 2 * second

// AnswerWindow is how long after its ownership was last confirmed an owner may
// answer the shard's workers: a cancellation that it can't know of was confirmed
// after that moment, and the lease that its last answer renews, counted from the
// sending of a heartbeat, must be over within cancelDeadline of it.
func AnswerWindow(cancelDeadline, workerLease cluster.Time) cluster.Time {
	drift := cluster.Time(float64(cancelDeadline+workerLease) * clockDrift)
	return cancelDeadline - workerLease - stopMargin - drift
}

// CanAnswer tells whether an owner may answer the shard's workers at an age of its
// last confirmation.
func CanAnswer(age, cancelDeadline, workerLease cluster.Time) bool {
	return age <= max(AnswerWindow(cancelDeadline, workerLease), MinAnswerWindow)
}

// CanStart tells whether tasks of the shard may be sent to its machines at an age
// of the last confirmation.
func CanStart(age cluster.Time) bool { return age <= StartWindow }

// NeedsRenewal tells whether the state service should be asked at an age of the
// last confirmation.
func NeedsRenewal(age cluster.Time) bool { return age > renewalAge }

// Claim is what an owner knows of its own claim of a shard.
type Claim struct {
	ShardID cluster.ShardID
	Term    cluster.Term
	// ConfirmedAt is when the last exchange with the state service began that
	// showed the claim in force.
	ConfirmedAt cluster.Time
}

// Acknowledgement is what another controller has last answered to a ping.
type Acknowledgement struct {
	// SentAt is when that ping was sent; 0: the present process has answered none.
	SentAt cluster.Time
	// InstanceSeenAt is when the controller's present process was first heard of.
	InstanceSeenAt cluster.Time
	// Terms are the latest that it knows, by shard; none from an older release.
	Terms []cluster.Term
}

// covers tells whether an acknowledgement says that there is no later claim than
// the given.
func (a *Acknowledgement) covers(c Claim) bool {
	return int(c.ShardID) < len(a.Terms) && a.Terms[c.ShardID] <= c.Term && a.InstanceSeenAt <= c.ConfirmedAt
}

// LastConfirmedAt is the last moment up to now at which it is certain that nobody
// had acquired the shard later, by the acknowledgements of all other controllers
// and the state service.
func (c Claim) LastConfirmedAt(now cluster.Time, acknowledgements []Acknowledgement) cluster.Time {
	agreedAt := now
	for i := range acknowledgements {
		if !acknowledgements[i].covers(c) {
			return c.ConfirmedAt
		}
		agreedAt = min(agreedAt, acknowledgements[i].SentAt)
	}
	return max(agreedAt, c.ConfirmedAt)
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
