package core

// readPause is the least time between the beginnings of two readings of the
// same changes: those who ask in between share the next one.
const readPause = 100 * milli

// jobReads gathers those who wait for a reading of what the store holds of jobs.
//
// A reading serves only those who asked before it began, and no two run at a
// time.
type jobReads struct {
	waiting   []func(ok bool)
	scheduled bool // a reading runs, or is about to
	begunAt   Time
}

// wait queues fn for the next reading; true: that has yet to be scheduled.
func (r *jobReads) wait(fn func(ok bool)) bool {
	r.waiting = append(r.waiting, fn)
	if r.scheduled {
		return false
	}
	r.scheduled = true
	return true
}

// begin takes those whom the reading that begins now serves.
func (r *jobReads) begin(now Time) []func(ok bool) {
	served := r.waiting
	r.waiting, r.begunAt = nil, now
	return served
}

// end tells whether another reading has to follow.
func (r *jobReads) end() bool {
	r.scheduled = len(r.waiting) > 0
	return r.scheduled
}

// delay is how long the next reading has to wait.
func (r *jobReads) delay(now Time) Time { return max(0, r.begunAt+readPause-now) }

// freshen calls fn after everything has been learned that was stored about jobs
// before this call, with readings begun after it; false: that could not be read.
func (c *Core) freshen(fn func(bool)) {
	if c.storeLost(second) || c.jobs.epoch == 0 || !c.acceptances.loaded {
		fn(false)
		return
	}
	if c.jobReads.wait(fn) {
		c.after(c.jobReads.delay(c.now), c.readChanges)
	}
}

// readChanges reads the jobs' own records and those of several.
func (c *Core) readChanges() {
	served := c.jobReads.begin(c.now)
	left, good := 2, true
	done := func(ok bool) {
		good = good && ok
		if left--; left > 0 {
			return
		}
		for _, fn := range served {
			fn(good)
		}
		if c.jobReads.end() {
			c.after(c.jobReads.delay(c.now), c.readChanges)
		}
	}
	c.readAccepts(done)
	c.readSince(jobPrefix, c.jobs.epoch, func(r WatchReply) {
		for _, kv := range r.Items {
			c.learnJob(kv, nil)
		}
		done(r.Out == OK)
	})
}
