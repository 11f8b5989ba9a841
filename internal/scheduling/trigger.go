package scheduling

import "stairrelay/internal/cluster"

// Trigger rate-limits scheduling runs. Requests are coalesced: one run handles all requests
// since the last run, and starts at the earliest when the minimum interval since the last
// run has passed. A timer is set if a run is requested before then.
type Trigger struct {
	requested  bool
	notBefore  cluster.Time
	timerArmed bool
}

// triggerDecision is the result of Trigger.decide.
type triggerDecision int

const (
	runNone  triggerDecision = iota // do nothing, as no run is requested or a timer is already set
	runNow                          // start a run now
	runLater                        // set a timer for the run
)

// Request requests a scheduling run. It is called when something changes that may let
// pending tasks start.
func (t *Trigger) Request() { t.requested = true }

func (t *Trigger) decide(now cluster.Time) triggerDecision {
	switch {
	case !t.requested:
		return runNone
	case now >= t.notBefore:
		return runNow
	case !t.timerArmed:
		return runLater
	default:
		return runNone
	}
}

// begin records that a run starts, and the earliest time of the next one.
func (t *Trigger) begin(notBefore cluster.Time) {
	t.requested, t.notBefore = false, notBefore
}

// armTimer records that a timer is being set, and returns its delay.
func (t *Trigger) armTimer(now cluster.Time) cluster.Time {
	t.timerArmed = true
	return t.notBefore - now
}

// handleTimer records that the timer has fired.
func (t *Trigger) handleTimer() { t.timerArmed = false }
