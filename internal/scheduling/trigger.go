package scheduling

import "stairrelay/internal/cluster"

// Trigger says when tasks are assigned: once per step at most, and not more often
// than the pause after the last time allows.
//
// While a request waits for that pause, a timer is set for its end.
type Trigger struct {
	requested  bool
	notBefore  cluster.Time
	timerArmed bool
}

// triggerDecision says what follows from the requests so far.
type triggerDecision int

const (
	runNone  triggerDecision = iota
	runNow                   // tasks are to be assigned now
	runLater                 // a timer has to be set for it
)

// Request asks for tasks to be assigned, as something has changed that it depends on.
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

// begin records that tasks are assigned now, and when that may be done again.
func (t *Trigger) begin(notBefore cluster.Time) {
	t.requested, t.notBefore = false, notBefore
}

// armTimer records that a timer is set, and returns its delay.
func (t *Trigger) armTimer(now cluster.Time) cluster.Time {
	t.timerArmed = true
	return t.notBefore - now
}

// handleTimer records that the timer has run.
func (t *Trigger) handleTimer() { t.timerArmed = false }
