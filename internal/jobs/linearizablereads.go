package jobs

import "stairrelay/internal/cluster"

// linearizableReadInterval is the least time between the beginnings of two reads of
// the jobs' changes: those who ask in between share the next one.
const linearizableReadInterval = 100 * millisecond

// linearizableReads reads all that was stored of jobs, for those who must not answer
// before they know it.
//
// A read serves only those who asked before it began, and no two run at a time.
type linearizableReads struct {
	*shared

	records          *Records
	admissionRecords *AdmissionRecords

	waiting   []func(ok bool)
	scheduled bool // a read runs, or is about to
	startedAt cluster.Time
}

// read calls handle after all was applied that was stored of jobs before this call,
// from reads begun after it; false: that could not be read.
func (l *linearizableReads) read(handle func(ok bool)) {
	if l.writeQueue.IsUnavailableFor(storeTimeout) || l.state.Jobs.AppliedRevision == 0 || !l.admissionRecords.loaded {
		handle(false)
		return
	}
	l.waiting = append(l.waiting, handle)
	if !l.scheduled {
		l.schedule()
	}
}

// schedule has the next read begin when the interval since the last one is over.
func (l *linearizableReads) schedule() {
	l.scheduled = true
	l.loop.After(max(0, l.startedAt+linearizableReadInterval-l.loop.Now()), l.readChanges)
}

// readChanges reads the changes of the jobs' own records and of the admission records.
func (l *linearizableReads) readChanges() {
	served := l.waiting
	l.waiting, l.startedAt = nil, l.loop.Now()
	unanswered, allRead := 2, true
	done := func(ok bool) {
		allRead = allRead && ok
		unanswered--
		if unanswered > 0 {
			return
		}
		for _, handle := range served {
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
