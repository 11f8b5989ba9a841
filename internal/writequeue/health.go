package writequeue

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// SlowThreshold is well above the few hundred milliseconds that some answers
	// take.
	SlowThreshold = 600 * millisecond
	// unresponsiveAfter is how long failures last before the state service counts
	// as unresponsive.
	unresponsiveAfter = second / 4
	// stableAfter is how long answers must have come without a failure or a gap
	// for the state service to count as stable.
	stableAfter = 3 * second
	// stableFreshness is how recent the last answer must be for that.
	stableFreshness = 3 * second / 2
)

// Health tells whether the state service serves this controller.
//
// While failing, failingSince is when the first of the failures in a row came;
// while not, HealthySince is when the present run of answers began. inFlight counts
// the requests sent that have no answer yet.
type Health struct {
	// LastSuccess is when a request was last answered; 0: never.
	LastSuccess cluster.Time
	// HealthySince is when the present run of answers began.
	HealthySince cluster.Time
	// ProbeUntil is until when the state service is asked though nothing is wanted
	// of it.
	ProbeUntil cluster.Time

	failing         bool
	failingSince    cluster.Time
	inFlight        int          // but for watches
	unansweredSince cluster.Time // since when there have been some and none was answered
}

// MarkFailing records that requests have failed since a time.
func (h *Health) MarkFailing(since cluster.Time) {
	if !h.failing {
		h.failing, h.failingSince = true, since
	}
}

// IsFailing tells whether the last request failed.
func (h *Health) IsFailing() bool { return h.failing }

// IsUnavailableFor tells whether the state service has not served this controller
// for longer than a time.
func (h *Health) IsUnavailableFor(now, duration cluster.Time) bool {
	return h.failing && now-h.failingSince > duration
}

// IsStable tells whether the state service has served this controller all along
// until now.
func (h *Health) IsStable(now cluster.Time) bool {
	return !h.failing && h.LastSuccess > 0 && now-h.LastSuccess < stableFreshness && now-h.HealthySince > stableAfter
}

// IsUnresponsive tells whether the state service owes answers and has given none
// for longer than the slow ones take. A partition that drops packets shows so long
// before any request is given up, and on a controller that asks for little only
// now.
func (h *Health) IsUnresponsive(now cluster.Time) bool {
	return h.IsUnavailableFor(now, unresponsiveAfter) || h.inFlight > 0 && now-h.unansweredSince > SlowThreshold
}

// ShouldProbe tells whether the state service should be asked for nothing but an
// answer.
func (h *Health) ShouldProbe(now cluster.Time) bool {
	return (h.failing || now < h.ProbeUntil) && h.inFlight == 0
}

// recordRequest records a request that should be answered soon.
func (h *Health) recordRequest(now cluster.Time) {
	if h.inFlight++; h.inFlight == 1 {
		h.unansweredSince = now
	}
}

// recordOutcome records the outcome of such a request.
func (h *Health) recordOutcome(now cluster.Time, outcome messages.Outcome) {
	h.inFlight, h.unansweredSince = h.inFlight-1, now
	switch outcome {
	case messages.NotApplied, messages.UnknownOutcome:
		h.MarkFailing(now)
	case messages.Throttled: // it answers, but does not serve
	case messages.OK, messages.Conflict, messages.NotFound, messages.Compacted, messages.Invalid:
		if h.failing || h.LastSuccess == 0 || now-h.LastSuccess > stableAfter {
			h.HealthySince = now
		}
		h.failing = false
		h.LastSuccess = now
	}
}
