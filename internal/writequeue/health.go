package writequeue

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
)

const (
	// SlowThreshold is the time after which an unanswered request counts as slow.
	// Ordinary replies may take a few hundred milliseconds.
	SlowThreshold = 600 * millisecond
	// unresponsiveAfter is how long requests must have failed before the store
	// counts as unresponsive.
	unresponsiveAfter = second / 4
	// stableAfter is how long requests must have succeeded, without a failure or a
	// gap of this length, before the store counts as stable.
	stableAfter = 3 * second
	// stableFreshness is the maximum age of the last success while the store counts
	// as stable.
	stableFreshness = 3 * second / 2
)

// Health tracks whether the store serves this controller.
type Health struct {
	// LastSuccess is the time of the last successful request, or 0 if there was none.
	LastSuccess cluster.Time
	// HealthySince is the start of the current series of successful requests.
	HealthySince cluster.Time
	// ProbeUntil is the time until which the store is probed even if no request has
	// failed.
	ProbeUntil cluster.Time

	failing         bool
	failingSince    cluster.Time // start of the current series of failures
	inFlight        int          // requests without a reply, other than watches
	unansweredSince cluster.Time // when inFlight last increased to 1 or a reply last arrived
}

// MarkFailing records that requests have been failing since the given time. It has no
// effect if they are already known to be failing.
func (h *Health) MarkFailing(since cluster.Time) {
	if !h.failing {
		h.failing, h.failingSince = true, since
	}
}

// IsFailing reports whether requests have been failing since the last success.
func (h *Health) IsFailing() bool { return h.failing }

// IsUnavailableFor reports whether requests have been failing for longer than the
// given duration.
func (h *Health) IsUnavailableFor(now, duration cluster.Time) bool {
	return h.failing && now-h.failingSince > duration
}

// IsStable reports whether requests have been succeeding for longer than stableAfter,
// the last one recently.
func (h *Health) IsStable(now cluster.Time) bool {
	return !h.failing && h.LastSuccess > 0 && now-h.LastSuccess < stableFreshness && now-h.HealthySince > stableAfter
}

// IsUnresponsive reports whether requests have been failing for longer than
// unresponsiveAfter, or have been in flight without any reply for longer than
// SlowThreshold. The latter detects a network partition long before a request times out.
func (h *Health) IsUnresponsive(now cluster.Time) bool {
	return h.IsUnavailableFor(now, unresponsiveAfter) || h.inFlight > 0 && now-h.unansweredSince > SlowThreshold
}

// ShouldProbe reports whether a request should be sent for the sole purpose of finding
// out whether the store replies.
func (h *Health) ShouldProbe(now cluster.Time) bool {
	return (h.failing || now < h.ProbeUntil) && h.inFlight == 0
}

// recordRequest records that a request was sent. It must not be called for watch requests,
// because the store replies to them only after a change or a timeout.
func (h *Health) recordRequest(now cluster.Time) {
	if h.inFlight++; h.inFlight == 1 {
		h.unansweredSince = now
	}
}

// recordOutcome records the outcome of a request that was counted by recordRequest.
func (h *Health) recordOutcome(now cluster.Time, outcome messages.Outcome) {
	h.inFlight, h.unansweredSince = h.inFlight-1, now
	switch outcome {
	case messages.NotApplied, messages.UnknownOutcome:
		h.MarkFailing(now)
	case messages.Throttled: // neither a success nor a failure
	case messages.OK, messages.Conflict, messages.NotFound, messages.Compacted, messages.Invalid:
		if h.failing || h.LastSuccess == 0 || now-h.LastSuccess > stableAfter {
			h.HealthySince = now
		}
		h.failing = false
		h.LastSuccess = now
	}
}
