// Package ownership bounds how long the owner of a shard may act on what it last
// knew for certain: its ownership lease.
//
// An owner that the store does not serve can't see that another controller has
// acquired its shard. That one may have confirmed cancellations of jobs whose
// tasks run on machines which still send heartbeats to the former owner, and each
// of its answers would renew the lease of those machines. So an owner counts from
// the last moment at which it was certain that nobody had acquired the shard
// after it, and stops answering the shard's workers early enough that their
// leases expire in time (docs/safety.md, "Gap").
//
// Two things confirm ownership. Every exchange with the store that shows the
// claim in force confirms it as of the beginning of that exchange. Peer
// acknowledgements confirm it as of the sending of the calls, once every other
// controller has answered one with the terms that it knows, none of them later.
// A controller that acquires a shard knows its term from then on, and acts on it
// only after that. An acknowledgement counts only for the peer's present process,
// as an earlier process may have acquired the shard and forgotten it: such a claim
// shows in the store alone, so the store must have been read since. While all
// peers acknowledge, an outage of the store costs nothing.
package ownership

import "stairrelay/internal/cluster"

// clockDrift bounds how far the steady clocks of two machines drift apart:
// twice the protocol's 0.05%.
const clockDrift = 0.001

// stopMargin is left for what a worker takes to notice that its lease is over.
const stopMargin = 2 * cluster.Second

// MinAnswerWindow is what calls each second need: with less, one lost call would cost
// tasks. Where the settings leave less than that, the bound on cancellations
// can't be kept in every outage.
const MinAnswerWindow = 4 * cluster.Second

// StartWindow is how old a certainty may be for starts: one that is sent by a
// holder that was succeeded would only be stopped again.
const StartWindow = 5 * cluster.Second

// renewalAge is how old a certainty gets before the store is asked: calls renew
// it each second while all controllers answer.
const renewalAge = 2 * cluster.Second

// AnswerWindow is how long after a holder was last certain of its part it may answer
// the part's workers: a cancellation that it can't know of was confirmed after
// that moment, and the lease that its last answer renews, counted from the
// sending of a report, must be over within cancelWithin of it.
func AnswerWindow(cancelWithin, lease cluster.Time) cluster.Time {
	drift := cluster.Time(float64(cancelWithin+lease) * clockDrift)
	return cancelWithin - lease - stopMargin - drift
}

// CanAnswer tells whether a holder may answer the part's workers at an age of
// its certainty.
func CanAnswer(age, cancelWithin, lease cluster.Time) bool {
	return age <= max(AnswerWindow(cancelWithin, lease), MinAnswerWindow)
}

// CanStart tells whether tasks of the part may be sent to its machines at an age
// of the certainty.
func CanStart(age cluster.Time) bool { return age <= StartWindow }

// NeedsRenewal tells whether the store should be asked at an age of the certainty.
func NeedsRenewal(age cluster.Time) bool { return age > renewalAge }

// Claim is a holder's own claim of a part.
type Claim struct {
	ShardID cluster.ShardID
	Term    cluster.Term
	// ConfirmedAt is when the last exchange with the store began that showed the
	// claim in force.
	ConfirmedAt cluster.Time
}

// Acknowledgement is what another controller has last answered to a call.
type Acknowledgement struct {
	// SentAt is when that call was sent; 0: none was answered in the present run.
	SentAt cluster.Time
	// InstanceSeenAt is when the controller's present run was first heard of.
	InstanceSeenAt cluster.Time
	// Terms are the latest that it knows, by part; none from an older release.
	Terms []cluster.Term
}

// covers tells whether a word says that there is no later claim than the given.
func (w *Acknowledgement) covers(c Claim) bool {
	return int(c.ShardID) < len(w.Terms) && w.Terms[c.ShardID] <= c.Term && w.InstanceSeenAt <= c.ConfirmedAt
}

// LastConfirmedAt is the last moment up to now at which it is certain that nobody had
// claimed the part later, by the words of all other controllers and the store.
func (c Claim) LastConfirmedAt(now cluster.Time, words []Acknowledgement) cluster.Time {
	agreed := now
	for i := range words {
		if !words[i].covers(c) {
			return c.ConfirmedAt
		}
		agreed = min(agreed, words[i].SentAt)
	}
	return max(agreed, c.ConfirmedAt)
}
