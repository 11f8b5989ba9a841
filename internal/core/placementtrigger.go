package core

// placementTrigger says when tasks are placed: once per step at most, and not
// more often than the pause after the last time allows.
//
// While a request waits for that pause, a timer is scheduled for its end.
type placementTrigger struct {
	requested     bool
	notBefore     Time
	wakeScheduled bool
}

// placementTime says what follows from the requests so far.
type placementTime int

const (
	placeNot   placementTime = iota
	placeNow                 // tasks are to be placed now
	placeLater               // a timer has to be scheduled for it
)

// request asks for placement, as something has changed that it depends on.
func (t *placementTrigger) request() { t.requested = true }

func (t *placementTrigger) check(now Time) placementTime {
	switch {
	case !t.requested:
		return placeNot
	case now >= t.notBefore:
		return placeNow
	case !t.wakeScheduled:
		return placeLater
	default:
		return placeNot
	}
}

// begin notes that tasks are placed now, and when that may be done again.
func (t *placementTrigger) begin(notBefore Time) { t.requested, t.notBefore = false, notBefore }

// schedule notes that a timer is scheduled, and returns how long it takes.
func (t *placementTrigger) schedule(now Time) Time {
	t.wakeScheduled = true
	return t.notBefore - now
}
