package jobs

import "stairrelay/internal/cluster"

// linearizableReadInterval is the minimum time between the starts of two linearizable
// reads. Requests that arrive in between share the next read.
const linearizableReadInterval = 100 * millisecond

// linearizableReads provides reads of the job records that cover every change stored
// before the read was requested.
//
// A read serves only the requests made before it started, and at most one read is in
// flight.
type linearizableReads struct {
	*shared

	records          *Records
	admissionRecords *AdmissionRecords

	waiting       []func(ok bool)
	scheduled     bool // a read is scheduled or in flight
	lastStartedAt cluster.Time
}

// read calls handle with true after all changes stored before this call are applied, or
// with false if they could not be read.
func (l *linearizableReads) read(handle func(ok bool)) {
	if l.writeQueue.IsUnavailableFor(maxStoreOutage) || l.state.Jobs.AppliedRevision == 0 || !l.admissionRecords.loaded {
		handle(false)
		return
	}
	l.waiting = append(l.waiting, handle)
	if !l.scheduled {
		l.schedule()
	}
}

// schedule starts the next read as soon as linearizableReadInterval has passed since the
// last start.
func (l *linearizableReads) schedule() {
	l.scheduled = true
	l.loop.After(max(0, l.lastStartedAt+linearizableReadInterval-l.loop.Now()), l.readChanges)
}

// readChanges reads the changes of the jobs' own records and of the admission records,
// and then calls the waiting handlers.
func (l *linearizableReads) readChanges() {
	handlers := l.waiting
	l.waiting, l.lastStartedAt = nil, l.loop.Now()
	outstanding, allRead := 2, true
	done := func(ok bool) {
		allRead = allRead && ok
		outstanding--
		if outstanding > 0 {
			return
		}
		for _, handle := range handlers {
			handle(allRead)
		}
		l.scheduled = false
		if len(l.waiting) > 0 {
			l.schedule()
		}
	}
	l.admissionRecords.readChanges(done)
	l.records.readChanges(done)
}
