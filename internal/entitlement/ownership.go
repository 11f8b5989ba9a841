// Package entitlement bounds how long the holder of a part may act on what it
// last knew for certain.
//
// A holder that the store does not serve can't see that another has claimed its
// part, and that other may have confirmed cancellations of jobs whose tasks run
// on machines which still report to the former holder. Each of its answers would
// keep those tasks alive. So a holder counts from the last moment at which it
// was certain that nobody had claimed the part after it, and stops answering the
// part's workers early enough that their leases end in time (docs/safety.md,
// "Gap").
//
// It is certain as of the beginning of every exchange with the store that shows
// its claim in force, and as of the sending of calls that every other controller
// has answered with its word: that it knows of no later term. A controller that
// claims a part knows its term from then on, and acts on it only after that. Its
// word counts only for its present run, as it forgets what an earlier run did: a
// claim of that one shows in the store alone, so that must have been read since.
// While all give their word, an outage of the store costs nothing.
package entitlement

import "stairrelay/internal/model"

// clockDrift bounds how far the steady clocks of two machines drift apart:
// twice the protocol's 0.05%.
const clockDrift = 0.001

// killSlack is left for what a worker takes to notice that its lease is over.
const stopMargin = 2 * model.Second

// Least is what calls each second need: with less, one lost call would cost
// tasks. Where the settings leave less than that, the bound on cancellations
// can't be kept in every outage.
const MinAnswerWindow = 4 * model.Second

// StartBound is how old a certainty may be for starts: one that is sent by a
// holder that was succeeded would only be stopped again.
const StartWindow = 5 * model.Second

// proofAge is how old a certainty gets before the store is asked: calls renew
// it each second while all controllers answer.
const renewalAge = 2 * model.Second

// Bound is how long after a holder was last certain of its part it may answer
// the part's workers: a cancellation that it can't know of was confirmed after
// that moment, and the lease that its last answer renews, counted from the
// sending of a report, must be over within cancelWithin of it.
func AnswerWindow(cancelWithin, lease model.Time) model.Time {
	drift := model.Time(float64(cancelWithin+lease) * clockDrift)
	return cancelWithin - lease - stopMargin - drift
}

// MayAnswer tells whether a holder may answer the part's workers at an age of
// its certainty.
func CanAnswer(age, cancelWithin, lease model.Time) bool {
	return age <= max(AnswerWindow(cancelWithin, lease), MinAnswerWindow)
}

// MayStart tells whether tasks of the part may be sent to its machines at an age
// of the certainty.
func CanStart(age model.Time) bool { return age <= StartWindow }

// NeedsProof tells whether the store should be asked at an age of the certainty.
func NeedsRenewal(age model.Time) bool { return age > renewalAge }

// Claim is a holder's own claim of a part.
type Claim struct {
	ShardID model.ShardID
	Term    model.Term
	// ProvenAt is when the last exchange with the store began that showed the
	// claim in force.
	ConfirmedAt model.Time
}

// Word is what another controller has last answered to a call.
type Acknowledgement struct {
	// At is when that call was sent; 0: none was answered in the present run.
	SentAt model.Time
	// RunSince is when the controller's present run was first heard of.
	InstanceSeenAt model.Time
	// Terms are the latest that it knows, by part; none from an older release.
	Terms []model.Term
}

// covers tells whether a word says that there is no later claim than the given.
func (w *Acknowledgement) covers(c Claim) bool {
	return int(c.ShardID) < len(w.Terms) && w.Terms[c.ShardID] <= c.Term && w.InstanceSeenAt <= c.ConfirmedAt
}

// CertainAt is the last moment up to now at which it is certain that nobody had
// claimed the part later, by the words of all other controllers and the store.
func (c Claim) LastConfirmedAt(now model.Time, words []Acknowledgement) model.Time {
	agreed := now
	for i := range words {
		if !words[i].covers(c) {
			return c.ConfirmedAt
		}
		agreed = min(agreed, words[i].SentAt)
	}
	return max(agreed, c.ConfirmedAt)
}
