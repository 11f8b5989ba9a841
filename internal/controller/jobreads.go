package controller

import (
	"stairrelay/internal/cluster"
	"stairrelay/internal/messages"
	"stairrelay/internal/state"
)

// jobReadInterval is the least time between the beginnings of two readings of the
// same changes: those who ask in between share the next one.
const jobReadInterval = 100 * millisecond

// linearizableJobReads gathers those who wait for a reading of what the store holds of jobs.
//
// A reading serves only those who asked before it began, and no two run at a
// time.
type linearizableJobReads struct {
	waiting   []func(ok bool)
	scheduled bool // a reading runs, or is about to
	startedAt cluster.Time
}

// enqueue queues fn for the next reading; true: that has yet to be scheduled.
func (r *linearizableJobReads) enqueue(fn func(ok bool)) bool {
	r.waiting = append(r.waiting, fn)
	if r.scheduled {
		return false
	}
	r.scheduled = true
	return true
}

// takeBatch takes those whom the reading that begins now serves.
func (r *linearizableJobReads) takeBatch(now cluster.Time) []func(ok bool) {
	served := r.waiting
	r.waiting, r.startedAt = nil, now
	return served
}

// finish tells whether another reading has to follow.
func (r *linearizableJobReads) finish() bool {
	r.scheduled = len(r.waiting) > 0
	return r.scheduled
}

// delay is how long the next reading has to wait.
func (r *linearizableJobReads) delay(now cluster.Time) cluster.Time {
	return max(0, r.startedAt+jobReadInterval-now)
}

// linearizableJobRead calls fn after everything has been learned that was stored about jobs
// before this call, with readings begun after it; false: that could not be read.
func (c *Controller) linearizableJobRead(fn func(bool)) {
	if c.writeQueue.IsUnavailableFor(second) || c.state.Jobs.AppliedRevision == 0 || !c.admissions.loaded {
		fn(false)
		return
	}
	if c.jobReads.enqueue(fn) {
		c.loop.After(c.jobReads.delay(c.loop.Now()), c.readJobChanges)
	}
}

// readJobChanges reads the jobs' own records and those of several.
func (c *Controller) readJobChanges() {
	served := c.jobReads.takeBatch(c.loop.Now())
	left, good := 2, true
	done := func(ok bool) {
		good = good && ok
		if left--; left > 0 {
			return
		}
		for _, fn := range served {
			fn(good)
		}
		if c.jobReads.finish() {
			c.loop.After(c.jobReads.delay(c.loop.Now()), c.readJobChanges)
		}
	}
	c.readAdmissionChanges(done)
	c.writeQueue.ReadChanges(state.JobKeyPrefix, c.state.Jobs.AppliedRevision, func(r messages.WatchReply) {
		for _, kv := range r.Items {
			c.applyJobRecord(kv, nil)
		}
		done(r.Outcome == messages.OK)
	})
}
