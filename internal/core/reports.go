package core

import (
	"slices"
	"sort"
)

// What workers report, and what they are answered.

func (c *Core) onCheckin(e Checkin) {
	r := &e.Report
	c.workerContact.lastAnyReport = c.now
	if c.isolated() {
		// A 200 would hold the worker here, though a successor may be entitled.
		c.redirect(e.Req, "")
		return
	}
	m := c.machines[r.Machine]
	if m == nil {
		c.onUnknownReport(e)
		return
	}
	p := c.parts[m.part]
	switch {
	case !p.held || !p.ready:
		c.refuse(e.Req, ReplyUnavailable, 0, "")
		return
	case !c.entitled(p):
		// Another may have claimed the part unnoticed, and cancelled jobs of it.
		c.redirect(e.Req, "")
		return
	case r.Token > m.token:
		// Somebody later is entitled: a 200 with our token would be dropped
		// and hold the worker here while its lease runs out.
		c.checkOwner(m)
		c.redirect(e.Req, c.parts[m.part].holder)
		return
	case r.Session < m.session:
		c.redirect(e.Req, "")
		return
	}
	if m.pending != 0 {
		c.redirect(m.pending, "")
	}
	m.pending, m.pendingStamp, m.deadline = e.Req, r.Stamp, c.now+reportHold
	if c.reconcile(m, r, false) {
		c.workerContact.lastReport = c.now
		c.placement.request()
	}
	c.heldReports.changed = append(c.heldReports.changed, m)
}

// heldReports lists the machines whose reports have no answer yet, in the order
// in which they came in. One whose report was answered otherwise has no pending
// request, and is left out with the next release.
//
// All that are held are looked at ten times a second; in between only those that
// have come in or whose record was stored since the last look.
type heldReports struct {
	machines  []*machine // held back at the last look
	changed   []*machine // to be looked at with this event
	scheduled bool       // the next look at all
}

// releasePause is the time between two looks at all reports that are held.
const releasePause = 100 * milli

// reportHold is how long a report's answer waits for the record that lists its
// starts. The worker waits 4 s for it, and its lease counts from the sending.
const reportHold = 600 * milli

// isolated tells whether this node has had neither the store nor any other
// controller for so long that a successor may hold its parts.
func (c *Core) isolated() bool {
	if len(c.peers) == 0 || !c.storeLost(max(c.cfg.Lease, 10*second)) {
		return false
	}
	for _, p := range c.peers {
		if p.heard && c.now-p.answered < max(c.cfg.Lease, 10*second) {
			return false
		}
	}
	return true
}

// releaseReports answers the reports whose machine has no start on its way to
// the record; the others wait for it a moment, so that the answer carries it.
func (c *Core) releaseReports() {
	held := &c.heldReports
	changed := held.changed
	held.changed = nil
	for _, m := range changed {
		switch {
		case m.pending == 0:
		case !c.awaitsRecord(m):
			c.answerReport(m)
		case !m.reportHeld:
			m.reportHeld = true
			held.machines = append(held.machines, m)
		}
	}
	c.scheduleRelease()
}

// scheduleRelease has all reports that are held looked at after a pause.
func (c *Core) scheduleRelease() {
	held := &c.heldReports
	if len(held.machines) == 0 || held.scheduled {
		return
	}
	held.scheduled = true
	c.after(releasePause, func() {
		held.scheduled = false
		c.counters.visiting(held.machines)
		held.changed = append(held.changed, held.machines...)
		for _, m := range held.machines {
			m.reportHeld = false
		}
		held.machines = held.machines[:0]
	})
}

// awaitsRecord tells whether a machine's answer waits for a start's record.
func (c *Core) awaitsRecord(m *machine) bool {
	if c.now >= m.deadline || c.storeLost(500*milli) {
		return false
	}
	for _, a := range m.assigns {
		if a.phase == aRecording && !a.gone {
			return true
		}
	}
	return false
}

// answerReport answers a machine's report with what it is to do.
func (c *Core) answerReport(m *machine) {
	req := m.pending
	m.pending = 0
	w := &WorkerAnswer{Token: m.token, Commands: c.commands(m, false)}
	if m.bumping {
		w.Commands = onlyStops(w.Commands)
	}
	for _, cmd := range w.Commands {
		if cmd.Verb == Start {
			a := m.assigns[cmd.Task]
			a.phase, a.viaOrders, a.sentStamp = aSent, false, m.pendingStamp
		}
	}
	m.orderQueued = false
	c.emit(Respond{Req: req, Status: ReplyOK, Worker: w})
}

// commands lists what the machine is to do now.
func (c *Core) commands(m *machine, urgentOnly bool) []Command {
	var out []Command
	var starts []Command
	mayStart := c.mayStart(c.parts[m.part])
	for _, a := range m.sorted() {
		switch {
		case a.gone:
		case a.stop && a.phase != aEnded && a.phase != aReady && a.phase != aRecording:
			if urgentOnly && a.stopSent > 0 {
				continue
			}
			if a.state == Saving && a.grace > 0 && !a.expired(c.now) {
				continue
			}
			g := a.grace
			if a.expired(c.now) {
				g = 0
			}
			if a.stopSent == 0 {
				a.stopSent = c.now
			}
			out = append(out, Command{Verb: Stop, Task: a.task, Attempt: a.attempt, Grace: g})
		case a.phase == aReady && !m.unsure && !m.returning && c.now >= m.notBefore && a.job.active():
			if !mayStart || m.holds(a.task) {
				continue
			}
			starts = append(starts, Command{Verb: Start, Task: a.task, Attempt: a.attempt})
		case a.completed() && !m.unsure && !urgentOnly && c.storedDone(a):
			out = append(out, Command{Verb: Forget, Task: a.task, Attempt: a.attempt})
		}
	}
	if !urgentOnly {
		for _, t := range sortedStarts(m.kill) {
			out = append(out, Command{Verb: Stop, Task: t.task, Attempt: t.attempt})
		}
		if !m.unsure {
			for _, t := range sortedStarts(m.reap) {
				out = append(out, Command{Verb: Forget, Task: t.task, Attempt: t.attempt})
			}
		}
	}
	return append(out, starts...)
}

// onlyStops leaves what may be sent under any token that the worker takes: a
// task that is to be stopped must not go on until a higher token is stored,
// which in an outage takes longer than a cancellation may.
func onlyStops(cmds []Command) []Command {
	return slices.DeleteFunc(cmds, func(x Command) bool { return x.Verb != Stop })
}

func (a *assign) expired(now Time) bool {
	return a.stopSent > 0 && float64(now-a.stopSent)/float64(second) > a.grace+2
}

func (c *Core) storedDone(a *assign) bool {
	return a.job.final != "" || a.job.state[a.task.Index] == tStored
}

// holds tells whether an earlier start of a task is still being cleared away.
func (m *machine) holds(t TaskID) bool {
	for s := range m.reap {
		if s.task == t {
			return true
		}
	}
	for s := range m.kill {
		if s.task == t {
			return true
		}
	}
	return false
}

func sortedStarts(m map[start]bool) []start {
	l := make([]start, 0, len(m))
	for t := range m {
		l = append(l, t)
	}
	sort.Slice(l, func(i, k int) bool {
		a, b := l[i], l[k]
		if a.task != b.task {
			return a.task.Job < b.task.Job || a.task.Job == b.task.Job && a.task.Index < b.task.Index
		}
		return a.attempt < b.attempt
	})
	return l
}

// reconcile compares a worker's account with what is believed of it. It
// returns false for an account older than one already taken in.
func (c *Core) reconcile(m *machine, r *Report, viaOrders bool) bool {
	fresh := r.Session > m.session
	if r.Session < m.session || !fresh && r.Stamp <= m.stamp {
		return false
	}
	// A lease that ran out, or a start in an answer without effect, may mean
	// that what is sent to the machine does not reach it though its reports
	// come. A higher token, once acknowledged, proves that it does; until then
	// the machine gets no new work, and in the end it is returned.
	deaf := fresh && m.session > 0
	m.session, m.stamp, m.heard = r.Session, r.Stamp, c.now
	if m.booting {
		m.booting = false
		c.booted(m)
	}
	if m.addr != r.Addr && r.Addr != "" {
		m.addr = r.Addr
	}
	c.reconcileToken(m, r)
	if fresh {
		m.images = nil
	}
	if r.Notice >= 0 {
		c.onNotice(m, r.Notice)
	}
	present := c.reconcilePresent(m, r)
	if m.acked {
		// Only under our token is absence proof: the report may be minutes
		// old, or an earlier holder's late start may still be executed.
		deaf = c.reconcileAbsent(m, r, present, fresh, viaOrders) || deaf
	}
	if deaf && m.acked {
		c.bump(m)
	}
	m.forgetCleared(present)
	return true
}

// reconcileToken takes in which token a worker has seen.
func (c *Core) reconcileToken(m *machine, r *Report) {
	// A worker that has seen no token at all, on a machine that nobody but this
	// claim has ever owned, can have no older command on its way to it.
	acked := r.Token == m.token || r.Token == 0 && m.token == m.first && !m.unsure && !m.bumping
	if m.acked && !acked {
		m.unackedAt = c.now
	}
	m.acked = acked
	if acked && m.taken {
		p := c.parts[m.part]
		m.taken = false
		p.unanswered--
		p.ackedAt = c.now
	}
	if m.acked && !m.bumping {
		m.unsure = false
	}
}

// reconcilePresent takes in the tasks that a report shows, and returns them. It
// goes by start, not by task: an old report may show an earlier attempt of a
// task that runs here now, and must not make that one look gone.
func (c *Core) reconcilePresent(m *machine, r *Report) map[start]bool {
	present := make(map[start]bool, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		present[start{t.Task, t.Attempt}] = true
		a := m.assigns[t.Task]
		if a == nil || a.attempt != t.Attempt {
			c.unlistedTask(m, t)
			continue
		}
		c.seen(m, a, t)
	}
	return present
}

// reconcileAbsent takes in that a report under our token does not show the other
// tasks. It tells whether a start was lost that an answer carried.
func (c *Core) reconcileAbsent(m *machine, r *Report, present map[start]bool, fresh, viaOrders bool) bool {
	lostInAnswer := false
	for _, a := range m.sorted() {
		if present[a.start()] || a.gone {
			continue
		}
		switch a.phase {
		case aDoubt, aSeen:
			c.setGone(m, a)
		case aSent:
			arrived := !a.viaOrders && !viaOrders && r.Stamp > a.sentStamp // the answer that carried it
			if !fresh && !arrived && !(a.viaOrders && !m.unsure && !m.ordersBusy) {
				continue
			}
			a.phase = aReady
			lostInAnswer = lostInAnswer || !a.viaOrders
			if !a.job.active() {
				c.setGone(m, a)
			}
		case aEnded:
			if a.cause != CauseDone || c.storedDone(a) {
				c.setGone(m, a)
			}
		}
	}
	return lostInAnswer
}

// forgetCleared forgets the starts to be cleared away that a report shows no more.
func (m *machine) forgetCleared(present map[start]bool) {
	for s := range m.reap {
		if !present[s] {
			delete(m.reap, s)
		}
	}
	for s := range m.kill {
		if !present[s] {
			delete(m.kill, s)
		}
	}
}

// setGone notes that a task is proven to be off the machine. The record must
// say so before it may start elsewhere; when nobody waits for that, it can
// share a later write.
func (c *Core) setGone(m *machine, a *assign) {
	if a.gone {
		return
	}
	m.markGone(a)
	if a.job.where[a.task.Index] == a && a.job.active() {
		c.writeMachine(m, prioStart)
		return
	}
	// Nobody waits for it: the next checkpoint takes it along.
}

// unlistedTask is a task that the machine's record does not list.
func (c *Core) unlistedTask(m *machine, t *TaskReport) {
	s := start{t.Task, t.Attempt}
	if c.completedUnlisted(m, t) {
		return
	}
	if t.State == Ended {
		delete(m.kill, s)
		m.reap[s] = true
		return
	}
	if !m.kill[s] {
		c.logf(LogInfo, "stray task", "machine", string(m.id), "task", t.Task.String(), "attempt", uint64(t.Attempt))
	}
	m.kill[s] = true
}

// completedUnlisted takes in that a task has run to its end under an earlier
// holder of its part, who had not stored that yet. The worker shows it until it
// is stored. It returns false where that is of no use here.
func (c *Core) completedUnlisted(m *machine, t *TaskReport) bool {
	j := c.jobs.held[t.Task.Job]
	if t.State != Ended || t.Cause != CauseDone || j == nil || !j.active() || t.Task.Index >= len(j.state) || m.assigns[t.Task] != nil {
		return false
	}
	if j.loading > 0 { // perhaps it is stored already
		return true
	}
	if j.state[t.Task.Index] != tPending {
		return false
	}
	a := &assign{task: t.Task, mach: m.id, job: j, attempt: t.Attempt, phase: aEnded, cause: CauseDone, need: j.spec.Need, partial: true, unlisted: true}
	m.addAssign(a)
	c.taskDone(j, t.Task.Index)
	return true
}

// taskDone notes that a task has run to its end; with the last of its job that
// is stored at once.
func (c *Core) taskDone(j *job, index int) {
	j.setDone(index)
	if j.final == "" && j.loading == 0 && j.done == j.spec.Tasks {
		c.writeJob(j, prioAccept)
	}
}

// seen takes in one listed task's state.
func (c *Core) seen(m *machine, a *assign, t *TaskReport) {
	if a.phase == aEnded {
		return
	}
	a.partial = a.partial || a.phase == aDoubt
	a.phase = aSeen
	a.state = t.State
	switch t.State {
	case Running:
		if a.runAt == 0 {
			a.runAt = c.now
			if a.job.firstRun == 0 {
				a.job.firstRun = c.now
			}
			a.job.lastRun = c.now
			m.addImage(a.job, c.types[m.typ].CacheGB)
		}
	case Ended:
		c.ended(m, a, t)
	}
}

func (m *machine) addImage(j *job, cache float64) {
	for i, im := range m.images {
		if im.name == j.spec.Image {
			m.images = append(append(m.images[:i:i], m.images[i+1:]...), im)
			return
		}
	}
	m.images = append(m.images, image{j.spec.Image, j.spec.ImageGB})
	sum := 0.0
	for _, im := range m.images {
		sum += im.gb
	}
	for len(m.images) > 1 && sum > cache {
		sum -= m.images[0].gb
		m.images = m.images[1:]
	}
}

func (m *machine) hasImage(name string) bool {
	for _, im := range m.images {
		if im.name == name {
			return true
		}
	}
	return false
}

func (c *Core) ended(m *machine, a *assign, t *TaskReport) {
	j := a.job
	m.markEnded(a, t.Cause)
	if t.Cause == CauseDone {
		c.learnRuntime(m, a)
		c.taskDone(j, a.task.Index)
		return
	}
	switch t.Cause {
	case CauseError:
		c.onTaskError(m, a)
	case CauseFull, CauseBusy:
		m.notBefore = c.now + 3*second
	case CauseNoSuch:
		j.holdUntil = c.now + 3*second
	}
	c.setGone(m, a)
	if !j.active() {
		m.reap[a.start()] = true
	}
}

// onTaskError tells a faulty machine from a faulty job: several jobs failing
// on one machine speak against the machine, one job failing on several
// machines against the job, which is then retried ever more slowly.
func (c *Core) onTaskError(m *machine, a *assign) {
	j := a.job
	m.errors++
	m.failedJobs[j.spec.ID] = true
	j.errors++
	j.failedOn[m.id] = true
	if len(j.failedOn) >= 2 {
		j.holdUntil = c.now + min(second<<min(len(j.failedOn)+j.errors/2, 6), 60*second)
	}
	if len(m.failedJobs) >= 2 && !m.draining {
		c.logf(LogInfo, "machine fails tasks", "machine", string(m.id), "errors", m.errors)
		c.drain(m)
	}
}

func (c *Core) drain(m *machine) {
	m.draining = true
	c.placement.request()
}
