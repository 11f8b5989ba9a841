package controller

import (
	"stairrelay/internal/cluster"
)

// schedulingTrigger says when tasks are placed: once per step at most, and not
// more often than the pause after the last time allows.
//
// While a request waits for that pause, a timer is scheduled for its end.
type schedulingTrigger struct {
	requested  bool
	notBefore  cluster.Time
	timerArmed bool
}

// schedulingDecision says what follows from the requests so far.
type schedulingDecision int

const (
	scheduleNone  schedulingDecision = iota
	scheduleNow                      // tasks are to be placed now
	scheduleLater                    // a timer has to be scheduled for it
)

// request asks for placement, as something has changed that it depends on.
func (t *schedulingTrigger) request() { t.requested = true }

func (t *schedulingTrigger) check(now cluster.Time) schedulingDecision {
	switch {
	case !t.requested:
		return scheduleNone
	case now >= t.notBefore:
		return scheduleNow
	case !t.timerArmed:
		return scheduleLater
	default:
		return scheduleNone
	}
}

// begin notes that tasks are placed now, and when that may be done again.
func (t *schedulingTrigger) begin(notBefore cluster.Time) {
	t.requested, t.notBefore = false, notBefore
}

// armTimer notes that a timer is scheduled, and returns how long it takes.
func (t *schedulingTrigger) armTimer(now cluster.Time) cluster.Time {
	t.timerArmed = true
	return t.notBefore - now
}
